// Package backendhttp sends requests to backend servers over HTTP.
//
// An answer is accepted only if it is complete and carries the ID of its
// request. A request of which nothing was written to a connection did not run.
// A request that may have been written and has no complete answer has an unknown
// outcome, unless the backend server confirms that it cancelled the request before
// it started. In either case it is not sent again.
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

	"bilberrytiller.example/tiller/internal/httplimit"
	"bilberrytiller.example/tiller/internal/httpstatus"
	"bilberrytiller.example/tiller/protocol/backendapi"
	"bilberrytiller.example/tiller/state/request"
)

const (
	// MaxAnswerBytes limits the body of an answer of a backend server.
	MaxAnswerBytes = 8 << 20
	// maxControlBytes limits the body of an answer to a control call.
	maxControlBytes = 64 << 10
	dialTimeout     = 2 * time.Second
	controlTimeout  = 2 * time.Second
	idleTimeout     = 90 * time.Second
	// keyedIdleTimeout is the idle timeout of connections for requests with a
	// key.
	keyedIdleTimeout   = time.Second
	controlConnections = 4
	// maxClosedConns bounds the closed connections that one request is assigned.
	maxClosedConns = 8
	// MaxOverrun limits the wait, after the deadline, for the answer to a request
	// with a key.
	MaxOverrun = 30 * time.Second
)

// Errors that make an answer unusable.
var (
	// ErrRequestIDMismatch means that an answer carries the ID of another request.
	ErrRequestIDMismatch = errors.New("answer belongs to another request")
	// ErrNoRequestID means that an answer carries no request ID.
	ErrNoRequestID = errors.New("answer has no request ID header")
	// ErrInvalidShedStatus means that an answer has the shed header without status 503.
	ErrInvalidShedStatus = errors.New("answer has the shed header but not status 503")
	// ErrTruncated means that an answer may be incomplete.
	ErrTruncated = errors.New("answer may be truncated")
	// ErrAnswerTooLarge means that the body of an answer exceeds MaxAnswerBytes.
	ErrAnswerTooLarge = errors.New("answer body is larger than 8 MiB")
)

// Client sends requests to one backend server. It is safe for concurrent use.
//
// Requests with a key use separate connections with a short idle timeout, so
// that a connection that was lost while idle does not leave the outcome of a
// payment unknown.
type Client struct {
	base          string
	unkeyed       *http.Client
	keyed         *http.Client
	controlClient *http.Client
	probeClient   *http.Client
}

// New returns a client that opens about the given number of connections: a few
// for control calls, and half of the rest each for requests with and without a
// key.
func New(addr netip.AddrPort, connections int) *Client {
	poolSize := max(1, (connections-controlConnections)/2)
	return &Client{
		base:          "http://" + addr.String(),
		unkeyed:       newHTTPClient(poolSize, idleTimeout),
		keyed:         newHTTPClient(poolSize, keyedIdleTimeout),
		controlClient: newHTTPClient(controlConnections, idleTimeout),
		probeClient:   newProbeClient(),
	}
}

func newHTTPClient(connections int, idle time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         countingDial(dialer),
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idle,
			DisableCompression:  true,

			MaxResponseHeaderBytes: httplimit.MaxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	for _, h := range []*http.Client{c.unkeyed, c.keyed, c.controlClient} {
		h.CloseIdleConnections()
	}
}

// Run sends a request and returns its outcome. A request without a key is
// abandoned when ctx ends. A request with a key that has a connection by then
// continues, for up to MaxOverrun past its deadline, unless the backend server
// confirms that it had not started the request.
func (c *Client) Run(ctx context.Context, req *request.Request) request.Answer {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if ctx.Err() != nil {
		return request.NotRunAnswer(request.ReasonTooLate, ctx.Err().Error())
	}
	if req.Key == "" {
		return c.attempt(ctx, c.unkeyed, req, new(sendTracker))
	}
	return c.runKeyed(ctx, req)
}

// runKeyed sends a request with a key.
func (c *Client) runKeyed(ctx context.Context, req *request.Request) request.Answer {
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline.Add(MaxOverrun))
	defer cancel()
	tracker := new(sendTracker)
	answers := make(chan request.Answer, 1)
	go func() { answers <- c.attempt(attemptCtx, c.keyed, req, tracker) }()
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
	}
	if !tracker.hasConn() {
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

// attempt sends a request once and reads the answer. If it is assigned a connection that
// an earlier request has closed, nothing was written, and it takes another one.
func (c *Client) attempt(ctx context.Context, client *http.Client, req *request.Request, tracker *sendTracker) request.Answer {
	for tries := 1; ; tries++ {
		answer := c.attemptOnConn(ctx, client, req, tracker)
		if answer.Reason != request.ReasonConnect || !tracker.gotClosedConn() || tries == maxClosedConns || ctx.Err() != nil {
			return answer
		}
		tracker.reset()
	}
}

func (c *Client) attemptOnConn(ctx context.Context, client *http.Client, req *request.Request, tracker *sendTracker) request.Answer {
	ctx, cancel := context.WithCancelCause(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn}))
	defer cancel(nil)
	defer time.AfterFunc(firstProbeDelay, func() { c.watchSilence(ctx, cancel, req, tracker) }).Stop()
	resp, err := c.send(ctx, client, req)
	if err != nil {
		if !tracker.abort() {
			return request.NotRunAnswer(request.ReasonConnect, err.Error())
		}
		return c.resolveUnanswered(req, silenceOr(ctx, err))
	}
	defer resp.Body.Close()
	answer := parseAnswer(req, resp)
	if answer.Outcome == request.OutcomeUnknown {
		tracker.abort()
	}
	return answer
}

func (c *Client) send(ctx context.Context, client *http.Client, req *request.Request) (*http.Response, error) {
	target := c.base + backendapi.PathRun + req.Service + "/" + req.Path
	// net/http retries a request by itself if its body can be rewound, so the
	// body is wrapped in a plain io.ReadCloser.
	body := io.NopCloser(bytes.NewReader(req.Body))
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body)
	if err != nil {
		return nil, fmt.Errorf("build request to backend server: %w", err)
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

// resolveUnanswered determines the outcome of a request that was written and not
// answered. The request did not run if the backend server confirms that it was
// cancelled before it started.
func (c *Client) resolveUnanswered(req *request.Request, cause error) request.Answer {
	reason := unknownReason(cause)
	if c.Cancel(req.ID) == backendapi.CancelNotStarted {
		return request.NotRunAnswer(request.ReasonCancelled, cause.Error())
	}
	return request.UnknownAnswer(reason, cause.Error())
}

// silenceOr returns errSilent if it cancelled the attempt, and err otherwise.
func silenceOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		return cause
	}
	return err
}

func unknownReason(cause error) request.Reason {
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

// Cancel asks the backend server to cancel a request. It returns CancelStarted if
// the server gives no usable answer, since it may have started the request.
func (c *Client) Cancel(id string) backendapi.CancelState {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	var answer backendapi.CancelResponse
	if err := c.callControl(ctx, http.MethodPost, backendapi.PathCancel+id, &answer); err != nil {
		return backendapi.CancelStarted
	}
	return answer.State
}

// Load queries the backend server's load. An answer with a status other than 200
// is a StatusError.
func (c *Client) Load(ctx context.Context) (backendapi.LoadReport, error) {
	var load backendapi.LoadReport
	err := c.callControl(ctx, http.MethodGet, backendapi.PathLoad, &load)
	return load, err
}

// StatusError is an HTTP status other than 200 in the answer to a control call.
type StatusError struct{ Status int }

func (e StatusError) Error() string {
	return fmt.Sprintf("backend server answered with status %d, want 200", e.Status)
}

func (c *Client) callControl(ctx context.Context, method, path string, result any) error {
	return c.call(ctx, c.controlClient, method, path, result)
}

func (c *Client) call(ctx context.Context, client *http.Client, method, path string, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return fmt.Errorf("build request to backend server: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("call %s of backend server: %w", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return StatusError{Status: resp.StatusCode}
	}
	body, err := httplimit.ReadAll(resp.Body, maxControlBytes)
	if err != nil {
		return fmt.Errorf("read answer of backend server to %s: %w", path, err)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("decode answer of backend server to %s: %w", path, err)
	}
	return nil
}

func parseAnswer(req *request.Request, resp *http.Response) request.Answer {
	if err := httpstatus.Check(resp); err != nil {
		return request.UnknownAnswer(request.ReasonBadAnswer, err.Error())
	}
	if err := checkRequestID(req, resp); err != nil {
		return request.UnknownAnswer(request.ReasonBadAnswer, err.Error())
	}
	body, err := readBody(resp)
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

// checkRequestID checks that an answer carries the ID of the request.
func checkRequestID(req *request.Request, resp *http.Response) error {
	ids := resp.Header.Values(backendapi.HeaderRequestID)
	if len(ids) == 0 {
		return ErrNoRequestID
	}
	for _, id := range ids {
		if id != req.ID {
			return fmt.Errorf("%w: got ID %q", ErrRequestIDMismatch, id)
		}
	}
	return nil
}

// readBody reads the body of an answer. A body without a length that is delimited
// by the end of the connection cannot be distinguished from a truncated one, so
// it is rejected.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, fmt.Errorf("neither Content-Length nor chunked: %w", ErrTruncated)
	}
	body, err := httplimit.ReadAll(resp.Body, MaxAnswerBytes)
	if errors.Is(err, httplimit.ErrTooLarge) {
		return nil, ErrAnswerTooLarge
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return body, nil
}
