package upstreamhttp

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/coordination/upstream"
)

// HeaderNames are the names of the headers that this package reads and writes
// in requests to backend servers and in their answers.
type HeaderNames struct {
	// AttemptID identifies one attempt of a client; servers echo it.
	AttemptID string
	// DeadlineMs is the time until the deadline, in milliseconds.
	DeadlineMs string
	// AffinityKey identifies the object that the request is about.
	AffinityKey string
	// Organisation names the organisation that sent the request.
	Organisation string
	// ExpectedServerID names the only server that may run the request; any other
	// server refuses it.
	ExpectedServerID string
	// Signature marks an answer as produced by the server itself.
	Signature string
	// NotExecuted is set on answers to requests that the server did not run.
	NotExecuted string
	// Load holds the numbers of running requests, waiting requests and slots of
	// the server, separated by commas. A fourth number may state how long work
	// takes on the server's machine, in percent of the usual time.
	Load string
	// ColdMs is how long the server remains cold, in milliseconds.
	ColdMs string
	// RateLimit is the number of requests per second that the server accepts from
	// all daemons together, as a decimal number.
	RateLimit string
	// Leaving is "1" in the answers of a server that leaves.
	Leaving string
	// Pause is the number of seconds for which a server that rejects a request accepts
	// no others, as a decimal number.
	Pause string
}

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query exactly as the client sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the body in pieces. It is not changed.
	Body [][]byte
	ID   string
	// ServerID identifies the only server that may run the request.
	ServerID string
	// Organisation is sent to the server unless it is empty.
	Organisation string
	// Deadline is sent to the server as the time that remains.
	Deadline time.Time
	// MaxIdleConns limits the idle connections to the server.
	MaxIdleConns int
	// MaySend, unless it is nil, is asked once the connection is open. If it returns
	// false, nothing is sent.
	MaySend func() bool
}

// Answer is the complete answer of a backend server to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun reports that the server did not run the request.
	NotRun bool
	// Misdirected reports that another server now has the address.
	Misdirected bool
	// Signed reports whether the answer carries the server's signature.
	Signed bool
	// Load is nil if the server did not report it.
	Load *upstream.Load
	// ColdLeft is how long the server remains cold.
	ColdLeft time.Duration
	// RateLimit is nil if the server named no limit.
	RateLimit *upstream.RateLimit
	// Signal is what the server announces about itself.
	Signal availability.Signal
	// UnreadableHeaders names the load, cold and limit headers that could not be
	// parsed.
	UnreadableHeaders []string
	// UnreadableSignals names the headers of Signal that could not be parsed.
	UnreadableSignals []string
}

// hopByHopHeaders apply to a single connection and must not be forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders removes the hop-by-hop headers, including those that the
// Connection header lists.
func RemoveHopHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// isReplaced reports whether a client's header is dropped or replaced when the
// request is forwarded.
func (n HeaderNames) isReplaced(name string) bool {
	switch name {
	case n.DeadlineMs, n.ExpectedServerID, "Content-Length", "Host", "Expect":
		return true
	}
	return false
}

// bodyBytes returns the length of the body.
func (r *Request) bodyBytes() int {
	n := 0
	for _, piece := range r.Body {
		n += len(piece)
	}
	return n
}

// appendHead appends the request line and the header in HTTP/1.1 wire format to b.
func (n HeaderNames) appendHead(b []byte, r *Request, now time.Time) []byte {
	b = append(append(append(b, r.Method...), ' '), r.Target...)
	b = appendHeader(append(b, " HTTP/1.1\r\n"...), "Host", r.Host)
	for name, values := range r.Header {
		if n.isReplaced(name) {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	left := max(1, r.Deadline.Sub(now).Milliseconds())
	b = appendHeader(b, n.DeadlineMs, strconv.FormatInt(left, 10))
	b = appendHeader(b, n.ExpectedServerID, r.ServerID)
	if r.Organisation != "" {
		b = appendHeader(b, n.Organisation, r.Organisation)
	}
	if length := r.bodyBytes(); length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = appendHeader(b, "Content-Length", strconv.Itoa(length))
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// maxWorkPercent bounds the fourth figure of the load header. A larger one is
// not a plausible slowdown.
const maxWorkPercent = 10_000

// parseLoad sets Load from the load header. Figures after the fourth are
// ignored, since servers may come to report more.
func (a *Answer) parseLoad(n HeaderNames) {
	value := a.Header.Get(n.Load)
	if value == "" {
		return
	}
	load, ok := readLoad(value)
	if !ok {
		a.UnreadableHeaders = append(a.UnreadableHeaders, n.Load)
		return
	}
	a.Load = &load
}

func readLoad(value string) (load upstream.Load, ok bool) {
	fields := strings.Split(value, ",")
	percent := 0
	targets := []*int{&load.Running, &load.Waiting, &load.Slots, &percent}
	if len(fields) < len(targets)-1 {
		return load, false
	}
	for i, target := range targets[:min(len(targets), len(fields))] {
		number, err := strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 31)
		if err != nil {
			return load, false
		}
		*target = int(number)
	}
	if len(fields) >= len(targets) {
		if percent <= 0 || percent > maxWorkPercent {
			return load, false
		}
		load.WorkFactor = float64(percent) / 100
	}
	return load, true
}

// parseColdLeft sets ColdLeft from the cold header.
func (a *Answer) parseColdLeft(n HeaderNames) {
	value := a.Header.Get(n.ColdMs)
	if value == "" {
		return
	}
	ms, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		a.UnreadableHeaders = append(a.UnreadableHeaders, n.ColdMs)
		return
	}
	a.ColdLeft = time.Duration(ms) * time.Millisecond
}

// parseRateLimit sets RateLimit from the limit header.
func (a *Answer) parseRateLimit(n HeaderNames) {
	value := a.Header.Get(n.RateLimit)
	if value == "" {
		return
	}
	perSecond, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		a.UnreadableHeaders = append(a.UnreadableHeaders, n.RateLimit)
		return
	}
	limit := upstream.RateLimit(perSecond)
	a.RateLimit = &limit
}
