// Package logging writes structured lines to standard output without ever blocking the code that logs.
package logging

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

const (
	// maxQueuedLines bounds the lines that wait to be written; more are dropped and counted.
	maxQueuedLines = 4096
	// flushInterval is how long a line may wait for others before it is written.
	flushInterval = 50 * time.Millisecond
	// bufferBytes is the size of one write.
	bufferBytes = 32 << 10
)

// Writer passes lines on in the background. It implements io.Writer.
type Writer struct {
	lines         chan []byte
	flushRequests chan chan struct{}
	dropped       atomic.Int64
	counter       tally.Counter
}

// NewWriter returns a writer in front of out. Lines that don't fit its queue are counted as log_lines_dropped.
func NewWriter(out io.Writer, scope tally.Scope) *Writer {
	w := &Writer{
		lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{}),
		counter: scope.Counter("log_lines_dropped"),
	}
	go w.writeLoop(out)
	return w
}

// Write queues one line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.counter.Inc(1)
	}
	return len(line), nil
}

// Dropped returns how many lines did not fit the queue.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the queued lines are written, for a second at most.
func (w *Writer) Flush() {
	done := make(chan struct{})
	select {
	case w.flushRequests <- done:
		<-done
	case <-time.After(time.Second):
	}
}

func (w *Writer) writeLoop(out io.Writer) {
	buffer := bufio.NewWriterSize(out, bufferBytes)
	for {
		select {
		case line := <-w.lines:
			w.write(buffer, line)
		case done := <-w.flushRequests:
			w.drain(buffer)
			close(done)
			continue
		}
		time.Sleep(flushInterval)
		w.drain(buffer)
	}
}

// drain writes what is queued. A broken standard output leaves nothing to report the error to.
func (w *Writer) drain(buffer *bufio.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(buffer, line)
		default:
			_ = buffer.Flush()
			return
		}
	}
}

func (w *Writer) write(buffer *bufio.Writer, line []byte) { _, _ = buffer.Write(line) }

// New returns a logger of JSON lines.
func New(name string, w io.Writer, level hclog.Level) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: name, Output: w, JSONFormat: true, Level: level, TimeFormat: "15:04:05.000",
	})
}
