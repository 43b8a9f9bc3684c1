// Package httpstatus checks the status lines of responses. net/http accepts any three
// digits as a status and any version, and passes them on.
package httpstatus

import (
	"errors"
	"fmt"
	"net/http"
)

const (
	// minFinal and maxFinal bound the statuses of final responses.
	minFinal = 200
	maxFinal = 599
	// minInterim is the least status of an interim response, which a final one follows.
	minInterim = 100
	// majorVersion is the major version of HTTP/1.0 and HTTP/1.1.
	majorVersion = 1
)

// ErrInvalid means that the bytes with this status line are no response in the protocol.
var ErrInvalid = errors.New("status line is not of HTTP/1")

// Check returns an error that wraps ErrInvalid if the status or the version of a response
// is not of HTTP/1, or if the response changes the protocol, which no request asks for.
func Check(resp *http.Response) error {
	valid := resp.StatusCode >= minInterim && resp.StatusCode <= maxFinal
	if !valid || resp.ProtoMajor != majorVersion || resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: version %q, status %03d", ErrInvalid, resp.Proto, resp.StatusCode)
	}
	return nil
}

// IsInterim reports whether a valid response is followed by another one to the same
// request.
func IsInterim(resp *http.Response) bool { return resp.StatusCode < minFinal }
