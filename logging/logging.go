// Package logging writes structured log lines in the background, so that logging never blocks its caller.
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
	// maxQueuedLines is the capacity of the queue; further lines are dropped and counted.
	maxQueuedLines = 4096
	// flushInterval is how long lines are collected before they are written together.
	flushInterval = 50 * time.Millisecond
	// bufferBytes is the maximum size of a combined write; only a single line may be longer. It is PIPE_BUF of Linux: writes to a pipe
	// of up to that size are atomic, so they are never interleaved with output of other processes, and collectors read at least as
	// much at a time.
	bufferBytes = 4 << 10
)

// Writer writes lines to another writer in the background. It implements io.Writer and is safe for concurrent use.
type Writer struct {
	lines         chan []byte
	flushRequests chan chan struct{}
	dropped       atomic.Int64
	counter       tally.Counter
}

// NewWriter returns a Writer for out. Lines that are dropped because the queue is full are counted as log_lines_dropped.
func NewWriter(out io.Writer, scope tally.Scope) *Writer {
	w := &Writer{
		lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{}),
		counter: scope.Counter("log_lines_dropped"),
	}
	go w.writeLoop(out)
	return w
}

// Write queues a line, or drops it if the queue is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.counter.Inc(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the queued lines are written. If the writer is busy for a second, it returns without that.
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

// drain writes the queued lines. It ignores errors, since there is nowhere to report that the output is broken.
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

// write adds a line to the buffer. A line that doesn't fit is not cut apart: it follows in the next write, or in one of its own if it
// is longer than the buffer.
func (w *Writer) write(buffer *bufio.Writer, line []byte) {
	if len(line) > buffer.Available() {
		_ = buffer.Flush()
	}
	_, _ = buffer.Write(line)
}

// New returns a logger that writes JSON lines.
func New(name string, w io.Writer, level hclog.Level) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: name, Output: w, JSONFormat: true, Level: level, TimeFormat: "15:04:05.000",
	})
}
