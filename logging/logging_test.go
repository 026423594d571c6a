package logging_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
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

// recordedWrites keeps what each call of Write has written.
type recordedWrites struct {
	mu     sync.Mutex
	writes [][]byte
}

func (r *recordedWrites) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

// pipeBuffer is PIPE_BUF of Linux, the size up to which a write to a pipe is atomic.
const pipeBuffer = 4096

// Guards against lines that are split across two writes, or by the pipe, so that lines of other processes are interleaved with the
// parts; also against a line longer than the buffer that is split.
func TestWritesEndWithWholeLines(t *testing.T) {
	out := &recordedWrites{}
	w := logging.NewWriter(out, tally.NoopScope)
	var expected strings.Builder
	for i := range 1000 {
		line := fmt.Sprintf("%d %s\n", i, strings.Repeat("x", 100+i%97))
		if i == 500 {
			line = fmt.Sprintf("%d %s\n", i, strings.Repeat("x", 100_000))
		}
		expected.WriteString(line)
		_, _ = w.Write([]byte(line))
	}
	w.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	qt.Assert(t, len(out.writes) > 1, qt.IsTrue)
	for _, written := range out.writes {
		qt.Assert(t, bytes.HasSuffix(written, []byte("\n")), qt.IsTrue, qt.Commentf("a write of %d bytes ends within a line", len(written)))
		isSingle := bytes.IndexByte(written, '\n') == len(written)-1
		qt.Assert(t, len(written) <= pipeBuffer || isSingle, qt.IsTrue, qt.Commentf("a write of several lines with %d bytes", len(written)))
	}
	qt.Assert(t, string(bytes.Join(out.writes, nil)) == expected.String(), qt.IsTrue)
}
