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
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
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
	// keyedIdleTimeout is how long a connection for requests with a key may
	// be idle.
	keyedIdleTimeout   = time.Second
	controlConnections = 4
	// MaxOverrun is how long the answer of a request with a key is waited for
	// past its deadline.
	MaxOverrun = 30 * time.Second
)

// Errors of an answer.
var (
	// ErrRequestIDMismatch says that an answer carries another request's identity.
	ErrRequestIDMismatch = errors.New("answer belongs to another request")
	// ErrNoRequestID says that an answer carries no request's identity.
	ErrNoRequestID = errors.New("answer has no request identity")
	// ErrInvalidShedStatus says that an answer claims to be shed with a wrong status.
	ErrInvalidShedStatus = errors.New("shed answer has another status than 503")
	// ErrTruncated says that an answer may not be whole.
	ErrTruncated = errors.New("answer is not whole")
	// ErrAnswerTooLarge says that an answer is over MaxAnswerBytes.
	ErrAnswerTooLarge = errors.New("answer is too large")
)

// Client runs requests on one backend server. It is safe for concurrent use.
//
// Requests with a key have connections of their own that are closed soon
// after their last use: a connection that was lost while it was idle must not
// be the reason that a payment's outcome is unknown.
type Client struct {
	base   string
	shared *http.Client
	keyed  *http.Client
	side   *http.Client
	probe  *http.Client
}

// New returns a client that opens about the given number of connections.
func New(addr netip.AddrPort, connections int) *Client {
	half := max(1, (connections-controlConnections)/2)
	return &Client{
		base:   "http://" + addr.String(),
		shared: newHTTP(half, idleTimeout),
		keyed:  newHTTP(half, keyedIdleTimeout),
		side:   newHTTP(controlConnections, idleTimeout),
		probe:  newProbe(),
	}
}

func newHTTP(connections int, idle time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialWith(dialer),
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idle,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close ends idle connections.
func (c *Client) Close() {
	for _, h := range []*http.Client{c.shared, c.keyed, c.side} {
		h.CloseIdleConnections()
	}
}

// Run sends a request and returns what became of it. A request without a key
// ends with ctx. One with a key that was written runs on when ctx ends, for
// up to MaxRunOn past its deadline, unless the backend server confirms that
// it had not started.
func (c *Client) Run(ctx context.Context, req *request.Request) request.Answer {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if ctx.Err() != nil {
		return request.NotRunAnswer(request.ReasonTooLate, ctx.Err().Error())
	}
	if req.Key == "" {
		return c.attempt(ctx, c.shared, req, new(writing))
	}
	return c.runOn(ctx, req)
}

// runOn runs a request with a key.
func (c *Client) runOn(ctx context.Context, req *request.Request) request.Answer {
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline.Add(MaxOverrun))
	defer cancel()
	progress := new(writing)
	answers := make(chan request.Answer, 1)
	go func() { answers <- c.attempt(attemptCtx, c.keyed, req, progress) }()
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
	}
	if !progress.connected() {
		cancel()
		return <-answers
	}
	if c.Cancel(req.ID) != backendapi.CancelNotStarted {
		return <-answers
	}
	cancel()
	<-answers
	return request.NotRunAnswer(request.ReasonCancelled, ctx.Err().Error())
}

// attempt sends a request once and reads its answer.
func (c *Client) attempt(ctx context.Context, client *http.Client, req *request.Request, w *writing) request.Answer {
	ctx, end := context.WithCancelCause(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn}))
	defer end(nil)
	defer time.AfterFunc(silentAfter, func() { c.watchSilence(ctx, end, req, w) }).Stop()
	resp, err := c.send(ctx, client, req)
	if err != nil {
		if !w.abort() {
			return request.NotRunAnswer(request.ReasonConnect, err.Error())
		}
		return c.settle(req, causeOf(ctx, err))
	}
	defer resp.Body.Close()
	answer := read(req, resp)
	if answer.Outcome == request.OutcomeUnknown {
		w.abort()
	}
	return answer
}

func (c *Client) send(ctx context.Context, client *http.Client, req *request.Request) (*http.Response, error) {
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
	return client.Do(out)
}

// settle decides the outcome of a request that was written and not answered:
// a backend server that confirms the cancellation before the start did not
// run it.
func (c *Client) settle(req *request.Request, cause error) request.Answer {
	reason := lossReason(cause)
	if c.Cancel(req.ID) == backendapi.CancelNotStarted {
		return request.NotRunAnswer(request.ReasonCancelled, cause.Error())
	}
	return request.UnknownAnswer(reason, cause.Error())
}

// causeOf returns errSilent for an attempt that it ended, or else err.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		return cause
	}
	return err
}

func lossReason(cause error) request.Reason {
	switch {
	case errors.Is(cause, errSilent):
		return request.ReasonSilentConnection
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
	var answer backendapi.CancelResponse
	if err := c.control(ctx, http.MethodPost, backendapi.PathCancel+id, &answer); err != nil {
		return backendapi.CancelStarted
	}
	return answer.State
}

// Load asks the backend server for its load.
func (c *Client) Load(ctx context.Context) (backendapi.LoadReport, error) {
	var load backendapi.LoadReport
	err := c.control(ctx, http.MethodGet, backendapi.PathLoad, &load)
	return load, err
}

// StatusError is an unexpected status of a control call.
type StatusError struct{ Status int }

func (e StatusError) Error() string { return fmt.Sprintf("backend server answered %d", e.Status) }

func (c *Client) control(ctx context.Context, method, path string, into any) error {
	return c.call(ctx, c.side, method, path, into)
}

func (c *Client) call(ctx context.Context, client *http.Client, method, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return fmt.Errorf("backend request: %w", err)
	}
	resp, err := client.Do(req)
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
	if err := checkIdentity(req, resp); err != nil {
		return request.UnknownAnswer(request.ReasonBadAnswer, err.Error())
	}
	body, err := readWhole(resp)
	if err != nil {
		return request.UnknownAnswer(request.ReasonBadAnswer, err.Error())
	}
	if resp.Header.Get(backendapi.HeaderShed) == "true" {
		if resp.StatusCode != http.StatusServiceUnavailable {
			return request.UnknownAnswer(request.ReasonBadAnswer, ErrInvalidShedStatus.Error())
		}
		return request.NotRunAnswer(request.ReasonShed, "")
	}
	return request.Answer{
		Outcome: request.OutcomeDone,
		Reason:  request.ReasonAnswered,
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    body,
	}
}

// checkIdentity checks that an answer belongs to a request.
func checkIdentity(req *request.Request, resp *http.Response) error {
	ids := resp.Header.Values(backendapi.HeaderRequestID)
	if len(ids) == 0 {
		return ErrNoRequestID
	}
	for _, id := range ids {
		if id != req.ID {
			return fmt.Errorf("%w: got %q", ErrRequestIDMismatch, id)
		}
	}
	return nil
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
