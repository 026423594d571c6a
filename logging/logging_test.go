package logging_test

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/logging"
)

// Guards against a logger that blocks the process when its output isn't read, and against lines that are dropped without being
// counted.
func TestBlockedOutputDropsAndCountsLines(t *testing.T) {
	reader, out := io.Pipe()
	defer reader.Close()
	w := logging.NewWriter(out, tally.NoopScope)
	const lines = 20000
	for range lines {
		n, err := w.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, 5)
	}
	qt.Assert(t, w.Dropped() > 0, qt.IsTrue)
	qt.Assert(t, w.Dropped() < lines, qt.IsTrue)
}
