package logline

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// maxPendingBytes limits the lines buffered for a slow output before further lines
// are dropped. It holds a few seconds of the log of a busy daemon.
const maxPendingBytes = 1 << 20

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
	b := &DroppingWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.writeLoop()
	return b
}

// Write buffers complete lines or drops them. It never fails.
func (b *DroppingWriter) Write(lines []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.pending)+len(lines) > maxPendingBytes {
		n := int64(bytes.Count(lines, []byte("\n")))
		b.unreported += n
		b.totalDropped += n
		return len(lines), nil
	}
	b.pending = append(b.pending, lines...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(lines), nil
}

// Dropped returns the number of lines dropped so far.
func (b *DroppingWriter) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalDropped
}

// Close writes the buffered lines and waits for the output to accept them.
func (b *DroppingWriter) Close() error {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.wake)
	}
	b.mu.Unlock()
	<-b.done
	return nil
}

func (b *DroppingWriter) writeLoop() {
	defer close(b.done)
	var recycled []byte
	for range b.wake {
		recycled = b.writePending(recycled)
	}
	b.writePending(recycled)
}

// writePending writes the buffered lines and returns their buffer for reuse. A
// write error cannot be logged, so the lines count as dropped.
func (b *DroppingWriter) writePending(recycled []byte) []byte {
	b.mu.Lock()
	lines, dropped := b.pending, b.unreported
	b.pending, b.unreported = recycled[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn event=log.left_out lines=%d\n", dropped)
	}
	if len(lines) == 0 {
		return lines
	}
	if _, err := b.out.Write(lines); err != nil {
		b.mu.Lock()
		b.totalDropped += int64(bytes.Count(lines, []byte("\n")))
		b.mu.Unlock()
	}
	return lines
}
