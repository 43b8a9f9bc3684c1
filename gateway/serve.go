package gateway

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/affinity"
	"bilberrytiller.example/tiller/state/routing"
	"bilberrytiller.example/tiller/transport/upstreamhttp"
)

const (
	// defaultDeadline holds for clients that do not tell theirs.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes bounds bodies where the configuration does not.
	defaultBodyBytes = 1 << 20
	// startRetryAfter is when clients of a daemon that knows no configuration
	// yet come back.
	startRetryAfter = 250 * time.Millisecond
)

// clientRequest is a request of a client with all that its sends depend on.
type clientRequest struct {
	id      string
	key     string
	route   *routing.Route
	service routing.Service
	version routing.Version
	message upstreamhttp.Request
	arrived time.Time
	// deadline is the earlier of the client's deadline and the route's timeout.
	deadline time.Time
}

// serveClient serves one request of a client.
func (g *Gateway) serveClient(w http.ResponseWriter, r *http.Request) {
	defer g.requests.Begin()()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	req, refusal := g.accept(w, r)
	if refusal != nil {
		g.refuse(w, refusal)
		g.logRefused(r, refusal)
		return
	}
	run := &run{g: g, req: req}
	result := run.serve(r.Context())
	g.deliver(w, result)
	g.logResult(req, run, result)
}

// accept reads a request, or says why it is refused.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request) (*clientRequest, *refused) {
	arrived := time.Now()
	c := g.configuration.Load()
	if c == nil {
		return nil, &refused{status: http.StatusServiceUnavailable, reason: "no_configuration", after: startRetryAfter}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := c.Match(r.Host, path)
	if !ok {
		return nil, &refused{status: http.StatusNotFound, reason: "no_route"}
	}
	deadline := g.deadlineOf(r, route, arrived)
	body, err := readBody(w, r, c.Limits.BodyBytes, deadline)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	id := r.Header.Get(g.headers.AttemptID)
	service := route.PickService(affinity.Fraction(affinity.Hash("split", id)))
	req := &clientRequest{
		id: id, route: route, service: c.Services[service], version: c.Version, arrived: arrived,
		deadline: deadline,
	}
	req.service.Name = service
	if route.SessionAffinity {
		req.key = r.Header.Get(g.headers.Affinity)
	}
	upstreamhttp.StripHop(r.Header)
	req.message = upstreamhttp.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body, ID: id, Deadline: req.deadline,
	}
	return req, nil
}

func (g *Gateway) deadlineOf(r *http.Request, route *routing.Route, arrived time.Time) time.Time {
	left := defaultDeadline
	if ms, err := strconv.ParseInt(r.Header.Get(g.headers.DeadlineMs), 10, 64); err == nil && ms > 0 {
		left = time.Duration(ms) * time.Millisecond
	}
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	return arrived.Add(left)
}

// readBody reads a request's body, which must be whole before the deadline.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	// The connection is read on, to see the client leave.
	return body, control.SetReadDeadline(time.Time{})
}

func bodyRefusal(err error) *refused {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refused{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &refused{status: http.StatusRequestTimeout, reason: "body_late"}
	}
	return &refused{status: http.StatusBadRequest, reason: "body_unread"}
}

// refused is an answer of the gateway's own.
type refused struct {
	status int
	reason string
	// after is when the client may come back, if the request has not run.
	after time.Duration
}

// refuse writes an answer of the gateway's own.
func (g *Gateway) refuse(w http.ResponseWriter, r *refused) {
	if r.after > 0 {
		seconds := math.Ceil(r.after.Seconds()*100) / 100
		w.Header().Set(g.headers.RetryAfter, strconv.FormatFloat(seconds, 'f', 2, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(r.status)
}

// deliver writes how a request ended.
func (g *Gateway) deliver(w http.ResponseWriter, result result) {
	if result.answer == nil {
		g.refuse(w, result.refused)
		return
	}
	h := w.Header()
	upstreamhttp.StripHop(result.answer.Header)
	for name, values := range result.answer.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// nil keeps the HTTP library from guessing a type.
		h["Content-Type"] = nil
	}
	if g.leaving.Load() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(result.answer.Body)))
	w.WriteHeader(result.answer.Status)
	_, _ = w.Write(result.answer.Body)
}

func (g *Gateway) logRefused(r *http.Request, why *refused) {
	g.metrics.observe("", why.reason, 0)
	g.decisions.line("request.refused", true).Str("id", r.Header.Get(g.headers.AttemptID)).Str("http_host", r.Host).
		Str("target", r.RequestURI).Int("status", why.status).Str("reason", why.reason).Send()
}
