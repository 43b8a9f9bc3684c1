package logline

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxPendingBytes limits the lines buffered for a slow output before further lines
// are dropped. It holds a few seconds of the log of a busy daemon.
const maxPendingBytes = 1 << 20

// closeTimeout limits the wait for an output that accepts no lines when the writer is
// closed.
const closeTimeout = 100 * time.Millisecond

// ErrOutputStalled means that the output did not accept the last lines.
var ErrOutputStalled = errors.New("log output does not accept lines")

// DroppingWriter forwards log lines to an output without blocking the callers of
// Write. Lines that do not fit into the buffer while the output is slow are dropped
// and counted. It is safe for concurrent use.
type DroppingWriter struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	// unreported counts the lines dropped since the last event log.left_out,
	// totalDropped all dropped lines.
	unreported, totalDropped int64
	closed                   bool
	wake                     chan struct{}
	done                     chan struct{}
}

// NewDroppingWriter returns a writer that forwards to out. Close must be called to
// write the lines that are still buffered.
func NewDroppingWriter(out io.Writer) *DroppingWriter {
	w := &DroppingWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.writeLoop()
	return w
}

// Write buffers complete lines or drops them. It never fails.
func (w *DroppingWriter) Write(lines []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(lines) > maxPendingBytes {
		n := int64(bytes.Count(lines, []byte("\n")))
		w.unreported += n
		w.totalDropped += n
		return len(lines), nil
	}
	w.pending = append(w.pending, lines...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(lines), nil
}

// Dropped returns the number of lines dropped so far.
func (w *DroppingWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// Close writes the buffered lines. It returns ErrOutputStalled if the output does not
// accept them within closeTimeout.
func (w *DroppingWriter) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-time.After(closeTimeout):
		return ErrOutputStalled
	}
}

func (w *DroppingWriter) writeLoop() {
	defer close(w.done)
	var recycled []byte
	for range w.wake {
		recycled = w.writePending(recycled)
	}
	w.writePending(recycled)
}

// writePending writes the buffered lines and returns their buffer for reuse. A
// write error cannot be logged, so the lines count as dropped.
func (w *DroppingWriter) writePending(recycled []byte) []byte {
	w.mu.Lock()
	lines, dropped := w.pending, w.unreported
	w.pending, w.unreported = recycled[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn event=log.left_out lines=%d\n", dropped)
	}
	if len(lines) == 0 {
		return lines
	}
	if _, err := w.out.Write(lines); err != nil {
		w.mu.Lock()
		w.totalDropped += int64(bytes.Count(lines, []byte("\n")))
		w.mu.Unlock()
	}
	return lines
}
