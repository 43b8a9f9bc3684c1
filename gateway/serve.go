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
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes limits request bodies if the configuration sets no limit.
	defaultBodyBytes = 1 << 20
	// noConfigurationRetryAfter is the Retry-After of requests that arrive before
	// the daemon has a configuration.
	noConfigurationRetryAfter = 250 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of requests that a stopping gateway does not
	// pass on. Other gateways serve them at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// clientRequest is a client's request with everything needed to send it to a
// backend server.
type clientRequest struct {
	id    string
	key   string
	route *routing.Route
	// organisation is nil if the configuration has none, or if the route is public and
	// the request carries no known key.
	organisation *routing.Organisation
	// rank is the urgency of the request; 0 is the most urgent.
	rank    int
	service routing.Service
	version routing.Version
	message upstreamhttp.Request
	arrived time.Time
	// deadline is the earlier of the client's deadline and the route's timeout.
	deadline time.Time
	// clientDeadline is when the client gives up, and returning is set if the
	// client seems to have been refused before.
	clientDeadline time.Time
	returning      bool
}

// serveClient handles one client request.
func (g *Gateway) serveClient(w http.ResponseWriter, r *http.Request) {
	defer g.inFlight.Begin()()
	if g.isStopping() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	req, resp := g.parseRequest(w, r, arrived)
	if resp != nil {
		g.writeLocalResponse(w, resp)
		g.logRefusal(r, resp, time.Since(arrived))
		return
	}
	d := &dispatcher{g: g, req: req}
	result := d.serve(r.Context())
	g.writeResult(w, result)
	g.logResult(req, d, result)
}

// parseRequest reads a request and matches it to a route, or returns the
// response that refuses it.
func (g *Gateway) parseRequest(w http.ResponseWriter, r *http.Request, arrived time.Time) (*clientRequest, *localResponse) {
	c := g.configuration.Load()
	if c == nil {
		return nil, &localResponse{status: http.StatusServiceUnavailable, reason: "no_configuration", retryAfter: noConfigurationRetryAfter}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := c.Match(r.Host, path)
	if !ok {
		return nil, g.denial(http.StatusNotFound, "no_route", c)
	}
	organisation, resp := g.authenticate(r.Header, c, route)
	if resp != nil {
		return nil, resp
	}
	budget := g.clientBudget(r)
	deadline := requestDeadline(budget, route, arrived)
	if plan := g.stopPlan.Load(); plan != nil && !plan.Admits(arrived, deadline) {
		return nil, &localResponse{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: stoppingRetryAfter}
	}
	body, err := readBody(w, r, c.Limits.BodyBytes, deadline)
	if err != nil {
		return nil, bodyErrorResponse(err)
	}
	id := r.Header.Get(g.headers.AttemptID)
	service := route.PickService(affinity.Fraction(affinity.Hash("split", id)))
	req := &clientRequest{
		id: id, route: route, organisation: organisation, rank: route.Rank(organisation), service: c.Services[service], version: c.Version, arrived: arrived,
		deadline: deadline, clientDeadline: arrived.Add(budget), returning: g.timeBudgets.returning(route.Name, budget, arrived),
	}
	req.service.Name = service
	if route.SessionAffinity {
		req.key = r.Header.Get(g.headers.AffinityKey)
	}
	upstreamhttp.RemoveHopHeaders(r.Header)
	req.message = upstreamhttp.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body, ID: id, Deadline: req.deadline,
	}
	if organisation != nil {
		req.message.Organisation = organisation.Name
	}
	return req, nil
}

// clientBudget returns how long the client waits for its answer.
func (g *Gateway) clientBudget(r *http.Request) time.Duration {
	if ms, err := strconv.ParseInt(r.Header.Get(g.headers.DeadlineMs), 10, 64); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultDeadline
}

func requestDeadline(budget time.Duration, route *routing.Route, arrived time.Time) time.Time {
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	return arrived.Add(budget)
}

// readBody reads a request body, which must arrive completely before the
// deadline. The error wraps *http.MaxBytesError for a body above limit bytes, and
// os.ErrDeadlineExceeded for one that is late.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set body read deadline: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	// Clearing the read deadline keeps the server reading from the connection, so
	// that it detects when the client disconnects.
	return body, controller.SetReadDeadline(time.Time{})
}

func bodyErrorResponse(err error) *localResponse {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &localResponse{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &localResponse{status: http.StatusRequestTimeout, reason: "body_late"}
	}
	return &localResponse{status: http.StatusBadRequest, reason: "body_unread"}
}

// localResponse is a response generated by the gateway itself.
type localResponse struct {
	status int
	reason string
	// retryAfter is the delay after which the client may retry. It is set only if
	// the request has not run.
	retryAfter time.Duration
	// version is the configuration that has no route for the request or does not hold
	// its key, or 0.
	version routing.Version
}

// writeLocalResponse writes a response generated by the gateway. Retry-After is
// in seconds, rounded up to hundredths.
func (g *Gateway) writeLocalResponse(w http.ResponseWriter, resp *localResponse) {
	if resp.retryAfter > 0 {
		seconds := math.Ceil(resp.retryAfter.Seconds()*100) / 100
		w.Header().Set(g.headers.RetryAfter, strconv.FormatFloat(seconds, 'f', 2, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(resp.status)
}

// writeResult writes the response of a backend server or of the gateway.
func (g *Gateway) writeResult(w http.ResponseWriter, result result) {
	if result.answer == nil {
		g.writeLocalResponse(w, result.local)
		return
	}
	h := w.Header()
	upstreamhttp.RemoveHopHeaders(result.answer.Header)
	for name, values := range result.answer.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value stops net/http from sniffing a content type.
		h["Content-Type"] = nil
	}
	if g.isStopping() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(result.answer.Body)))
	w.WriteHeader(result.answer.Status)
	_, _ = w.Write(result.answer.Body)
}

func (g *Gateway) logRefusal(r *http.Request, resp *localResponse, latency time.Duration) {
	g.metrics.observe("", resp.reason, latency)
	e := g.requestLog.newEvent("request.refused", true).Str("id", r.Header.Get(g.headers.AttemptID)).Str("http_host", r.Host).
		Str("target", r.RequestURI).Int("status", resp.status).Str("reason", resp.reason).Uint64("version", uint64(resp.version))
	if resp.version > 0 {
		e = e.Dur("config_age_ms", g.configurationAge())
	}
	e.Send()
}
