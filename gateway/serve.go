package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/affinity"
	"bilberrytiller.example/tiller/coordination/connlimit"
	"bilberrytiller.example/tiller/coordination/quota"
	"bilberrytiller.example/tiller/internal/httpstop"
	"bilberrytiller.example/tiller/state/routing"
	"bilberrytiller.example/tiller/transport/upstreamhttp"
)

const (
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes limits request bodies if the configuration sets no limit.
	defaultBodyBytes = 1 << 20
	// maxClientBudget is the longest time that a client is taken to wait.
	maxClientBudget = 24 * time.Hour
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
	// unit is the unit of the organisation's quota that the request uses.
	unit quota.Unit
	// rank is the urgency of the request; 0 is the most urgent.
	rank    int
	service routing.Service
	version routing.Version
	message upstreamhttp.Request
	body    body
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
	if !httpstop.Enter(r.Context(), connlimit.Serving) {
		// The client has got no answer, and its request is not passed on.
		panic(http.ErrAbortHandler)
	}
	releaseHeader, resp := g.holdHeader(r)
	defer releaseHeader()
	var req *clientRequest
	if resp == nil {
		req, resp = g.parseRequest(w, r)
	}
	if resp != nil {
		g.refuse(w, r, resp, time.Since(arrived))
		return
	}
	defer req.body.release()
	g.forward(w, r, req)
}

// refuse answers a request that is not passed on.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, resp *localResponse, latency time.Duration) {
	limitUnreadBody(w, r)
	httpstop.AllowWrite(r.Context(), writeTimeout)
	g.writeLocalResponse(w, resp)
	g.logRefusal(r, resp, latency)
}

// forward sends a request to backend servers and answers it.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, req *clientRequest) {
	d := newDispatcher(g, req)
	result := d.serve(r.Context())
	g.directory.load.add(req.body.size() + result.bodyBytes())
	d.releaseUnits()
	if result.answer != nil {
		// A client that reads slowly keeps its answer in memory, but not its body.
		req.body.release()
		req.message.Body = nil
	}
	httpstop.AllowWrite(r.Context(), writeTimeout)
	g.writeResult(w, result)
	g.logResult(req, d, result)
}

// destination is where a request goes by the configuration in force, and whose it is.
type destination struct {
	configuration *routing.Configuration
	route         *routing.Route
	organisation  *routing.Organisation
}

// match returns the destination of a request, or the response that refuses it. It removes
// the key of the request's organisation from the header.
func (g *Gateway) match(r *http.Request) (destination, *localResponse) {
	c := g.configuration.Load()
	if c == nil {
		return destination{}, &localResponse{status: http.StatusServiceUnavailable, reason: "no_configuration", retryAfter: noConfigurationRetryAfter}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := c.Match(r.Host, path)
	if !ok {
		return destination{}, g.denial(http.StatusNotFound, "no_route", c)
	}
	organisation, resp := g.authenticate(r.Header, c, route)
	return destination{c, route, organisation}, resp
}

// parseRequest reads a request and matches it to a route, or returns the
// response that refuses it.
func (g *Gateway) parseRequest(w http.ResponseWriter, r *http.Request) (*clientRequest, *localResponse) {
	arrived := time.Now()
	to, resp := g.match(r)
	if resp != nil {
		return nil, resp
	}
	budget := clientBudget(r.Header.Get(g.headers.DeadlineMs))
	deadline := requestDeadline(budget, to.route, arrived)
	if plan := g.stopPlan.Load(); plan != nil && !plan.Admits(arrived, deadline) {
		return nil, &localResponse{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: stoppingRetryAfter}
	}
	unit, resp := g.quotas.admit(r.Context(), to.organisation, quotaWaitFor(to.route, deadline, time.Now()))
	g.organisationUse.record(to.organisation, resp == nil)
	if resp != nil {
		return nil, resp
	}
	body, err := g.readBody(w, r, to.configuration.Limits.BodyBytes, deadline)
	if err != nil {
		g.quotas.release(to.organisation, unit)
		body.release()
		return nil, bodyErrorResponse(err)
	}
	req := &clientRequest{
		id: r.Header.Get(g.headers.AttemptID), route: to.route, organisation: to.organisation, unit: unit, rank: to.route.Rank(to.organisation),
		version: to.configuration.Version, body: body, arrived: arrived, deadline: deadline,
		clientDeadline: arrived.Add(budget), returning: g.timeBudgets.returning(to.route.Name, budget, arrived),
	}
	req.chooseService(to.configuration)
	if to.route.SessionAffinity {
		req.key = r.Header.Get(g.headers.AffinityKey)
	}
	req.message = g.newMessage(r, req)
	return req, nil
}

// chooseService chooses the service by the weights of the route's traffic split.
func (r *clientRequest) chooseService(c *routing.Configuration) {
	name := r.route.PickService(affinity.Fraction(affinity.Hash("split", r.id)))
	r.service = c.Services[name]
	r.service.Name = name
}

// newMessage returns the request as it is sent to a backend server.
func (g *Gateway) newMessage(r *http.Request, req *clientRequest) upstreamhttp.Request {
	upstreamhttp.RemoveHopHeaders(r.Header)
	message := upstreamhttp.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: req.body.pieces, ID: req.id, Deadline: req.deadline,
	}
	if req.organisation != nil {
		message.Organisation = req.organisation.Name
	}
	return message
}

// clientBudget returns how long a client waits for its answer, from the milliseconds that
// its request states.
func clientBudget(stated string) time.Duration {
	if ms, err := strconv.ParseInt(stated, 10, 64); err == nil && ms > 0 {
		return time.Duration(min(ms, maxClientBudget.Milliseconds())) * time.Millisecond
	}
	return defaultDeadline
}

func requestDeadline(budget time.Duration, route *routing.Route, arrived time.Time) time.Time {
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	return arrived.Add(budget)
}

// localResponse is a response generated by the gateway itself.
type localResponse struct {
	status int
	reason string
	// needsKey says that the request needs the key of an organisation.
	needsKey bool
	// retryAfter is the delay after which the client may retry. It is set only if
	// the request has not run.
	retryAfter time.Duration
	// version is the configuration that has no route for the request or does not hold
	// its key, or 0.
	version routing.Version
	// organisation is the name of the request's organisation, or "".
	organisation string
}

// formatRetryAfter returns a delay in seconds, rounded up to hundredths.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', 2, 64)
}

// writeLocalResponse writes a response generated by the gateway.
func (g *Gateway) writeLocalResponse(w http.ResponseWriter, resp *localResponse) {
	if resp.retryAfter > 0 {
		w.Header().Set(g.headers.RetryAfter, formatRetryAfter(resp.retryAfter))
	}
	if resp.needsKey {
		w.Header().Set("WWW-Authenticate", keyScheme)
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
	g.writeAnswer(w, result.answer.Body)
}

func (g *Gateway) logRefusal(r *http.Request, resp *localResponse, latency time.Duration) {
	g.metrics.observe("", resp.reason, latency)
	e := g.requestLog.newEvent("request.refused", true).Str("id", clip(r.Header.Get(g.headers.AttemptID))).Int("status", resp.status).
		Str("reason", resp.reason)
	// What the client may make long comes last, as readers of logs cut long lines.
	if resp.version > 0 {
		e = e.Uint64("version", uint64(resp.version)).Dur("config_age_ms", g.configurationAge())
	}
	e.Dur("retry_after_ms", resp.retryAfter).Str("organisation", resp.organisation).Str("http_host", clip(r.Host)).Str("target", clip(r.RequestURI)).Send()
}
