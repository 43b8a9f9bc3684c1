package logline

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// maxPendingBytes is how much waits for a slow reader of the log before lines
// are left out: some seconds of a busy daemon.
const maxPendingBytes = 1 << 20

// DroppingWriter passes what is written on without ever blocking its writers. What
// does not fit while the reader is slow is left out and counted. It is safe
// for concurrent use.
type DroppingWriter struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	// leftOut counts lines since the last one that told so, total all.
	leftOut, total int64
	closed         bool
	wake           chan struct{}
	done           chan struct{}
}

// NewDroppingWriter returns a writer to out. Close must be called for what waits.
func NewDroppingWriter(out io.Writer) *DroppingWriter {
	b := &DroppingWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes whole lines. It never fails.
func (b *DroppingWriter) Write(lines []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.pending)+len(lines) > maxPendingBytes {
		n := int64(bytes.Count(lines, []byte("\n")))
		b.leftOut += n
		b.total += n
		return len(lines), nil
	}
	b.pending = append(b.pending, lines...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(lines), nil
}

// Dropped returns how many lines were left out.
func (b *DroppingWriter) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Close writes what waits and returns when it is written.
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

func (b *DroppingWriter) run() {
	defer close(b.done)
	var spare []byte
	for range b.wake {
		spare = b.pass(spare)
	}
	b.pass(spare)
}

// pass writes what waits and returns the buffer for the next time. A log that
// cannot be written has no place to say so; its lines count as left out.
func (b *DroppingWriter) pass(spare []byte) []byte {
	b.mu.Lock()
	lines, leftOut := b.pending, b.leftOut
	b.pending, b.leftOut = spare[:0], 0
	b.mu.Unlock()
	if leftOut > 0 {
		lines = fmt.Appendf(lines, "level=warn event=log.left_out lines=%d\n", leftOut)
	}
	if len(lines) == 0 {
		return lines
	}
	if _, err := b.out.Write(lines); err != nil {
		b.mu.Lock()
		b.total += int64(bytes.Count(lines, []byte("\n")))
		b.mu.Unlock()
	}
	return lines
}
