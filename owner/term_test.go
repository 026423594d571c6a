package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against long-running tasks that are down for more than nine seconds after the loss of the owner's host, or of an
// executor that was granted its lease on its last, already aged lists. Incident inc-5152 of vaidlusmaja had 9.6 s with leases
// of 7 s.
func TestTasksRestartWithinLossLimit(t *testing.T) {
	const (
		limit = 9 * time.Second
		// maxLeaseListAge is the maximum age of lists for which the owner still grants a lease.
		maxLeaseListAge = 1300 * time.Millisecond
		// longestStop is the longest stop time in the settings of the deployments.
		longestStop = 900 * time.Millisecond
	)
	qt.Assert(t, executorLeaseExpiry+TakeoverSlack < limit, qt.IsTrue)
	qt.Assert(t, executorLeaseExpiry+maxLeaseListAge+longestStop-MinStopMargin < limit, qt.IsTrue)
}
