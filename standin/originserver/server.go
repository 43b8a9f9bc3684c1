// Package originserver emulates a backend server of the operators' platform:
// slots and a queue that sheds when it is full, objects that are served faster
// after their first request, an ID and a signature on each answer, dropped and
// truncated answers, and a record of the requests that ran.
package originserver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Headers of the platform's requests and answers.
const (
	attemptHeader   = "X-Bilberrytiller-Attempt-Id"
	affinityHeader  = "X-Bilberrytiller-Affinity-Key"
	expectHeader    = "X-Bilberrytiller-Expect-Instance"
	signatureHeader = "X-Bilberrytiller-Server-Signature"
	notRunHeader    = "X-Bilberrytiller-Not-Executed"
	loadHeader      = "X-Bilberrytiller-Server-Load"
	instanceHeader  = "X-Bilberrytiller-Instance-Id"
	rateLimitHeader = "Server-Limit"
	leavingHeader   = "Server-Leaving"
	pauseHeader     = "Retry-After"
)

// warmSpeedup is how many times faster a request for a warm object is.
const warmSpeedup = 3

// Options configure a server.
type Options struct {
	ID    string
	Slots int
	// Work is the processing time of a request for an object that is not warm.
	Work time.Duration
	// DropRate is the fraction of answers that are dropped after the request has
	// run, TruncateRate the fraction that are cut off.
	DropRate, TruncateRate float64
	// EndlessRate is the fraction of answers in whose place the server sends bytes
	// without end, until the connection is closed; see SetEndlessRate.
	EndlessRate float64
	// AnswerBytes bounds how much of a request's body its answer repeats. Zero means all.
	AnswerBytes int
	// RateLimit is the limit that the server names at first; see SetRateLimit.
	RateLimit float64
	// Seed makes the selection of those answers repeatable.
	Seed uint64
}

// Runs records which requests ran, and on which servers. It is safe for
// concurrent use.
type Runs struct {
	mu       sync.Mutex
	byID     map[string][]string
	byServer map[string][]time.Time
}

// NewRuns returns an empty record.
func NewRuns() *Runs { return &Runs{byID: map[string][]string{}, byServer: map[string][]time.Time{}} }

func (r *Runs) add(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], server)
	r.byServer[server] = append(r.byServer[server], time.Now())
}

// TimesOf returns when a server began its runs.
func (r *Runs) TimesOf(server string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.byServer[server])
}

// ServersOf returns the servers that ran a request, one for each run.
func (r *Runs) ServersOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.byID[id]...)
}

// Server is one emulated server.
type Server struct {
	options Options
	runs    *Runs

	mu        sync.Mutex
	random    *rand.Rand
	running   int
	waiting   int
	rateLimit float64
	endless   float64
	// leaving is set while the server announces that it leaves. Until pausedUntil it
	// rejects all requests and asks for a pause.
	leaving     bool
	pausedUntil time.Time
	// arrivals holds when requests arrived, those that were rejected included.
	arrivals  []time.Time
	warmKeys  map[string]bool
	freeSlots chan struct{}
}

// New returns a server that adds the requests it runs to runs.
func New(o Options, runs *Runs) *Server {
	s := &Server{options: o, runs: runs, rateLimit: o.RateLimit, endless: o.EndlessRate, random: rand.New(rand.NewPCG(o.Seed, 1)), warmKeys: map[string]bool{}, freeSlots: make(chan struct{}, o.Slots)}
	for range o.Slots {
		s.freeSlots <- struct{}{}
	}
	return s
}

// SetRateLimit sets the number of requests per second that the server names as its
// limit in its answers, or 0 to name none. It serves further requests all the same.
func (s *Server) SetRateLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = perSecond
}

// SetLeaving sets whether the server announces in its answers that it leaves. It serves
// requests all the same.
func (s *Server) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = on
}

// Pause makes the server reject all requests for a time and ask for a pause of the rest
// of it.
func (s *Server) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// Arrivals returns when requests arrived, those that were rejected included.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// announce records the arrival of a request and sets the headers of what the server
// announces. It returns false if the server pauses.
func (s *Server) announce(h http.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.arrivals = append(s.arrivals, now)
	if s.leaving {
		h.Set(leavingHeader, "1")
	}
	if !now.Before(s.pausedUntil) {
		return true
	}
	h.Set(pauseHeader, strconv.FormatFloat(s.pausedUntil.Sub(now).Seconds(), 'f', 3, 64))
	return false
}

// SetEndlessRate sets Options.EndlessRate.
func (s *Server) SetEndlessRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endless = rate
}

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(instanceHeader, s.options.ID)
	if expected := r.Header.Get(expectHeader); expected != "" && expected != s.options.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !s.announce(w.Header()) || !s.acquireSlot(r) {
		w.Header().Set(attemptHeader, r.Header.Get(attemptHeader))
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	id := r.Header.Get(attemptHeader)
	s.runs.add(id, s.options.ID)
	if !s.work(r) {
		return
	}
	s.respond(w, id, body)
}

// acquireSlot waits for a slot. It returns false if the queue, which holds three
// requests for each slot, is full or the client has disconnected.
func (s *Server) acquireSlot(r *http.Request) bool {
	s.mu.Lock()
	if s.waiting >= 3*s.options.Slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.waiting--; s.mu.Unlock() }()
	select {
	case <-s.freeSlots:
	case <-r.Context().Done():
		return false
	}
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.freeSlots <- struct{}{}
}

// work takes the processing time of a request. It returns false if the client
// has disconnected.
func (s *Server) work(r *http.Request) bool {
	key := r.Header.Get(affinityHeader)
	s.mu.Lock()
	work := s.options.Work
	if key != "" && s.warmKeys[key] {
		work /= warmSpeedup
	}
	s.mu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return false
	}
	s.mu.Lock()
	s.warmKeys[key] = true
	s.mu.Unlock()
	return true
}

func (s *Server) respond(w http.ResponseWriter, id string, body []byte) {
	s.mu.Lock()
	draw := s.random.Float64()
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.options.Slots)
	rateLimit, endless := s.rateLimit, s.random.Float64() < s.endless
	s.mu.Unlock()
	if endless {
		sendEndless(w, draw)
		return
	}
	if draw < s.options.DropRate {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(attemptHeader, id)
	w.Header().Set(signatureHeader, s.options.ID+"."+id)
	w.Header().Set(loadHeader, load)
	if rateLimit > 0 {
		w.Header().Set(rateLimitHeader, strconv.FormatFloat(rateLimit, 'f', -1, 64))
	}
	if s.options.AnswerBytes > 0 {
		body = body[:min(len(body), s.options.AnswerBytes)]
	}
	text := ResponseBody(id, body)
	if draw < s.options.DropRate+s.options.TruncateRate {
		w.Header().Set("Content-Length", fmt.Sprint(2*len(text)))
		_, _ = io.WriteString(w, text)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// endlessStarts are what endless bytes begin with: nothing, a status line, a header field
// and a body.
var endlessStarts = []string{"", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-Field: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}

// sendEndless sends bytes until the connection is closed. draw selects their start.
func sendEndless(w http.ResponseWriter, draw float64) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, endlessStarts[int(draw*float64(len(endlessStarts)))])
	for zeros := make([]byte, 64<<10); err == nil; {
		_, err = conn.Write(zeros)
	}
}

// ResponseBody returns the body of the answer to a request.
func ResponseBody(id string, body []byte) string { return fmt.Sprintf("answer to %s: %s", id, body) }
