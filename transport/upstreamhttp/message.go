package upstreamhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
)

// HeaderNames are the headers that concern the system in requests to and answers
// from backend servers.
type HeaderNames struct {
	// AttemptID names one attempt of a client; servers echo it.
	AttemptID string
	// DeadlineMs is how many milliseconds are left.
	DeadlineMs string
	// AffinityKey names the object.
	AffinityKey string
	// ExpectedServerID makes any other server refuse the request.
	ExpectedServerID string
	// Signature is the server's mark on an answer of its own.
	Signature string
	// NotExecuted says that the server did not run the request.
	NotExecuted string
	// Load is the server's running and waiting requests and its slots.
	Load string
	// ColdMs is how many milliseconds the server stays cold.
	ColdMs string
}

// Request is what is sent to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	ID     string
	// ServerID is the server that alone may run the request.
	ServerID string
	// Deadline ends the request at the server.
	Deadline time.Time
	// MaxIdleConns is how many idle connections to the server are kept.
	MaxIdleConns int
}

// Answer is a whole answer of a backend server to the request that was sent.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun says that the server did not run the request.
	NotRun bool
	// Misdirected says that another server has the address.
	Misdirected bool
	// Signed says that the answer carries the server's mark.
	Signed bool
	// Load is nil if the server did not tell it.
	Load     *upstream.Load
	ColdLeft time.Duration
	// UnreadableHeaders names the headers that were there and could not be read.
	UnreadableHeaders []string
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders removes the headers that concern only one connection.
func RemoveHopHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// skipped reports whether a client's header is not sent on as it is.
func (n HeaderNames) skipped(name string) bool {
	switch name {
	case n.DeadlineMs, n.ExpectedServerID, "Content-Length", "Host", "Expect":
		return true
	}
	return false
}

// appendRequest appends the head and the body of a request.
func (n HeaderNames) appendRequest(b []byte, r *Request, now time.Time) []byte {
	b = append(append(append(b, r.Method...), ' '), r.Target...)
	b = appendField(append(b, " HTTP/1.1\r\n"...), "Host", r.Host)
	for name, values := range r.Header {
		if n.skipped(name) {
			continue
		}
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	left := max(1, r.Deadline.Sub(now).Milliseconds())
	b = appendField(b, n.DeadlineMs, strconv.FormatInt(left, 10))
	b = appendField(b, n.ExpectedServerID, r.ServerID)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(append(b, "\r\n"...), r.Body...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// readLoad reads the server's load from an answer's header.
func (a *Answer) readLoad(n HeaderNames) {
	value := a.Header.Get(n.Load)
	if value == "" {
		return
	}
	var load upstream.Load
	fields := strings.Split(value, ",")
	into := []*int{&load.Running, &load.Waiting, &load.Slots}
	if len(fields) != len(into) {
		a.UnreadableHeaders = append(a.UnreadableHeaders, n.Load)
		return
	}
	for i, field := range fields {
		number, err := strconv.ParseUint(strings.TrimSpace(field), 10, 31)
		if err != nil {
			a.UnreadableHeaders = append(a.UnreadableHeaders, n.Load)
			return
		}
		*into[i] = int(number)
	}
	a.Load = &load
}

// readCold reads how long the server stays cold from an answer's header.
func (a *Answer) readCold(n HeaderNames) {
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
