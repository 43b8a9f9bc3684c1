// Package httplimit bounds what is read of an HTTP response from a peer that may be
// faulty.
package httplimit

import (
	"errors"
	"fmt"
	"io"
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
