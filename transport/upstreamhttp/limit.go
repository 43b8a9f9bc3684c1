package upstreamhttp

import (
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	// maxHeadBytes limits the status line and the header of one answer, together with
	// the interim answers before it, up to the bytes that the connection's buffer reads
	// ahead.
	maxHeadBytes = 64 << 10
	// MaxAnswerBytes limits the body of an answer.
	MaxAnswerBytes = 32 << 20
	// minBodyBuffer is the first buffer of a body. It holds a typical one.
	minBodyBuffer = 4 << 10
	// smallBodyBytes is the part of a body that is read without regard to other
	// bodies.
	smallBodyBytes = 256 << 10
	// largeBodyMemory limits the memory of all bodies above smallBodyBytes that a
	// client of New is reading. It has room for one body of MaxAnswerBytes while its
	// buffer grows for the last time.
	largeBodyMemory = 2*MaxAnswerBytes + 1
)

// Errors after which the request may have run.
var (
	// ErrHeadTooLarge means that the status line and the header of an answer, together
	// with the interim answers before it, exceed 64 KiB.
	ErrHeadTooLarge = errors.New("status line and header of answer are larger than 64 KiB")
	// ErrTooLarge means that the body of an answer exceeds MaxAnswerBytes.
	ErrTooLarge = errors.New("answer body is larger than 32 MiB")
	// ErrBodyMemory means that a large body was not read to its end, because other
	// large bodies use the memory for them.
	ErrBodyMemory = errors.New("memory for large answer bodies is in use")
)

// BodyMemory is the memory that the answers which are being read share. It is safe for
// concurrent use.
type BodyMemory interface {
	// TryAcquire reserves n bytes and reports whether they are free.
	TryAcquire(n int64) bool
	Release(n int64)
}

// headLimiter limits the bytes that are read from a connection while the head of an
// answer, its status line and header, is parsed. http.ReadResponse has no limit.
type headLimiter struct {
	source io.Reader
	// limited is set while a head is parsed. left is the number of bytes that may
	// still be read for it.
	limited bool
	left    int
}

// begin starts the limit of a head.
func (h *headLimiter) begin() { h.limited, h.left = true, maxHeadBytes }

// end lifts the limit, since a body has its own. It returns err, the result of
// parsing the head, or ErrHeadTooLarge if the limit is its cause.
func (h *headLimiter) end(err error) error {
	h.limited = false
	if err != nil && h.left <= 0 {
		return ErrHeadTooLarge
	}
	return err
}

// Read reads from the connection, or returns ErrHeadTooLarge.
func (h *headLimiter) Read(p []byte) (int, error) {
	if !h.limited {
		return h.source.Read(p)
	}
	if h.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := h.source.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// readBody reads a body of at most MaxAnswerBytes. What its buffer needs beyond
// smallBodyBytes is taken from memory until the body has been read.
func readBody(body io.Reader, memory BodyMemory) ([]byte, error) {
	reserved := int64(0)
	defer func() { memory.Release(reserved) }()
	buffer := make([]byte, 0, minBodyBuffer)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		case len(buffer) > MaxAnswerBytes:
			return nil, ErrTooLarge
		case len(buffer) < cap(buffer):
			continue
		}
		grown := min(2*cap(buffer), MaxAnswerBytes+1)
		if grown <= smallBodyBytes {
			buffer = append(make([]byte, 0, grown), buffer...)
			continue
		}
		if !awaitMemory(memory, int64(grown)) {
			return nil, ErrBodyMemory
		}
		buffer = append(make([]byte, 0, grown), buffer...)
		memory.Release(reserved)
		reserved = int64(grown)
	}
}

const (
	// memoryTimeout is how long a body waits for memory. Its request has run, so an answer
	// is worth waiting for; a server that cannot send for longer may cut it off.
	memoryTimeout  = time.Second
	memoryInterval = 10 * time.Millisecond
)

// awaitMemory reserves n bytes, and waits for them until memoryTimeout has passed.
func awaitMemory(memory BodyMemory, n int64) bool {
	for end := time.Now().Add(memoryTimeout); !memory.TryAcquire(n); time.Sleep(memoryInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
