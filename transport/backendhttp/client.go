// Package backendhttp runs requests on backend servers over HTTP.
//
// An answer counts only if it is whole and carries the identity of its
// request. A request that was not written to a connection did not run; one
// that may have been written and was not answered whole has an unknown
// outcome and is never written a second time.
package backendhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"bilberrytiller.example/tiller/protocol/backendapi"
	"bilberrytiller.example/tiller/state/request"
)

const (
	// MaxAnswerBytes is the largest answer that is taken from a backend server.
	MaxAnswerBytes = 8 << 20
	dialTimeout    = 2 * time.Second
	controlTimeout = 2 * time.Second
	idleTimeout    = 90 * time.Second
)

// Errors of an answer.
var (
	// ErrCrossed says that an answer carries another request's identity.
	ErrCrossed = errors.New("answer belongs to another request")
	// ErrTruncated says that an answer may not be whole.
	ErrTruncated = errors.New("answer is not whole")
	// ErrAnswerTooLarge says that an answer is over MaxAnswerBytes.
	ErrAnswerTooLarge = errors.New("answer is too large")
)

// Client runs requests on one backend server. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client that opens at most the given number of connections.
func New(addr netip.AddrPort, connections int) *Client {
	return &Client{
		base: "http://" + addr.String(),
		http: &http.Client{
			Transport: &http.Transport{
				MaxConnsPerHost:       connections,
				MaxIdleConnsPerHost:   connections,
				IdleConnTimeout:       idleTimeout,
				DisableCompression:    true,
				ResponseHeaderTimeout: 0,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends a request and returns what became of it.
func (c *Client) Run(ctx context.Context, req *request.Request) request.Answer {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	resp, err := c.send(ctx, req)
	if err != nil {
		if !written.Load() {
			return request.Refuse(request.ReasonConnect, err.Error())
		}
		return c.settle(req, err)
	}
	defer resp.Body.Close()
	return read(req, resp)
}

func (c *Client) send(ctx context.Context, req *request.Request) (*http.Response, error) {
	target := c.base + backendapi.PathRun + req.Service + "/" + req.Path
	// A body that cannot be read twice keeps the HTTP library from sending
	// the request again by itself.
	body := io.NopCloser(bytes.NewReader(req.Body))
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body)
	if err != nil {
		return nil, fmt.Errorf("backend request: %w", err)
	}
	out.ContentLength = int64(len(req.Body))
	for name, values := range req.Header {
		out.Header[name] = values
	}
	out.Header.Set(backendapi.HeaderRequestID, req.ID)
	out.Header.Set(backendapi.HeaderDeadline, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	if req.Key != "" {
		out.Header.Set(backendapi.HeaderKey, req.Key)
	}
	return c.http.Do(out)
}

// settle decides the outcome of a request that was written and not answered:
// a backend server that confirms the cancellation before the start did not
// run it.
func (c *Client) settle(req *request.Request, cause error) request.Answer {
	reason := lossReason(cause)
	if c.Cancel(req.ID) == backendapi.CancelNotStarted {
		return request.Refuse(request.ReasonCancelled, cause.Error())
	}
	return request.Undecided(reason, cause.Error())
}

func lossReason(cause error) request.Reason {
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return request.ReasonDeadline
	case errors.Is(cause, io.EOF), errors.Is(cause, syscall.ECONNRESET), errors.Is(cause, syscall.EPIPE):
		return request.ReasonConnectionClosed
	}
	return request.ReasonConnectionLost
}

// Cancel asks the backend server to cancel a request. A server that gives no
// clear answer may have started it.
func (c *Client) Cancel(id string) backendapi.CancelState {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	var answer backendapi.Cancel
	if err := c.control(ctx, http.MethodPost, backendapi.PathCancel+id, &answer); err != nil {
		return backendapi.CancelStarted
	}
	return answer.State
}

// Load asks the backend server for its load.
func (c *Client) Load(ctx context.Context) (backendapi.Load, error) {
	var load backendapi.Load
	err := c.control(ctx, http.MethodGet, backendapi.PathLoad, &load)
	return load, err
}

// StatusError is an unexpected status of a control call.
type StatusError struct{ Status int }

func (e StatusError) Error() string { return fmt.Sprintf("backend server answered %d", e.Status) }

func (c *Client) control(ctx context.Context, method, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return fmt.Errorf("backend request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("backend %s: %w", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return StatusError{Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxAnswerBytes)).Decode(into); err != nil {
		return fmt.Errorf("backend %s: %w", path, err)
	}
	return nil
}

func read(req *request.Request, resp *http.Response) request.Answer {
	if got := resp.Header.Get(backendapi.HeaderRequestID); got != req.ID {
		return request.Undecided(request.ReasonBadAnswer, fmt.Sprintf("%v: got %q", ErrCrossed, got))
	}
	body, err := readWhole(resp)
	if err != nil {
		return request.Undecided(request.ReasonBadAnswer, err.Error())
	}
	if resp.Header.Get(backendapi.HeaderShed) == "true" {
		return request.Refuse(request.ReasonShed, "")
	}
	return request.Answer{
		Outcome: request.Done,
		Reason:  request.ReasonAnswered,
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    body,
	}
}

// readWhole reads an answer's body. An answer that ends with its connection
// gives no sign of its end, so it cannot be told from a truncated one.
func readWhole(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, fmt.Errorf("no length: %w", ErrTruncated)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, ErrAnswerTooLarge
	}
	return body, nil
}
