package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against tasks that last and stand still for longer than nine seconds after the loss of the owner's host, or of an
// executor whose last lists earned a grant (seen in inc-5152 of vaidlusmaja: 9.6 s with grants of 7 s).
func TestTasksRestartWithinLossLimit(t *testing.T) {
	const (
		limit = 9 * time.Second
		// oldestGrant is the age up to which lists earn a grant.
		oldestGrant = 1300 * time.Millisecond
	)
	qt.Assert(t, lapseTimeout+takeoverSlack < limit, qt.IsTrue)
	qt.Assert(t, lapseTimeout+oldestGrant < limit, qt.IsTrue)
}
