// Package httplimit bounds what is read of an HTTP response from a peer that may be
// faulty.
package httplimit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// MaxResponseHeaderBytes limits the status line and the header of a response, and
// each interim response. It is the MaxResponseHeaderBytes of HTTP transports.
const MaxResponseHeaderBytes = 64 << 10

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("body is too large")

// ReadAll reads a body of at most limit bytes. The error wraps ErrTooLarge if the
// body is larger.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(read)) > limit {
		return nil, fmt.Errorf("%w: got more than %d bytes", ErrTooLarge, limit)
	}
	return read, nil
}

// ErrStalled means that a response did not begin, or did not go on.
var ErrStalled = errors.New("response does not arrive")

// AwaitResponse returns a context for a call, which ends with the cause ErrStalled unless
// the response begins within timeout, and with it after another time rest at the latest. The
// timer is for StallReader.
func AwaitResponse(ctx context.Context, timeout, rest time.Duration) (context.Context, *time.Timer, context.CancelFunc) {
	ctx, cancelWhole := context.WithTimeoutCause(ctx, timeout+rest, ErrStalled)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(ErrStalled) })
	return ctx, timer, func() {
		timer.Stop()
		cancel(nil)
		cancelWhole()
	}
}

// StallReader returns a reader of a body that resets a timer at its start and whenever a
// part of the body arrives, so that the timer ends a body that stops arriving.
func StallReader(body io.Reader, stall time.Duration, timer *time.Timer) io.Reader {
	timer.Reset(stall)
	return &stallReader{body, stall, timer}
}

type stallReader struct {
	io.Reader
	stall time.Duration
	timer *time.Timer
}

// Read reads a part of the body.
func (r *stallReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.stall)
	}
	return n, err
}
