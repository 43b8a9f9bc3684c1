// Package backend is a small stand-in for a backend server. It has a fixed
// number of slots, a configurable work time and a record of every run, and
// faults can be injected while it runs.
package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bilberrytiller.example/tiller/protocol/backendapi"
)

// Paths that control the stand-in.
const (
	PathFaults = "/admin/faults"
	PathLedger = "/admin/ledger"
	PathStats  = "/admin/stats"
)

// HeaderPoison marks a request that crashes the server while the poison fault
// is active.
const HeaderPoison = "Standin-Poison"

// progressCancelled marks a request that was cancelled before it started,
// possibly before it arrived. It will not run.
const progressCancelled backendapi.Progress = "refused"

// Faults are the faults that the stand-in can inject.
type Faults struct {
	// Shed rejects requests beyond the slots. Without it they wait.
	Shed bool `json:"shed"`
	// Unhealthy makes the health endpoint fail while requests still run.
	Unhealthy bool `json:"unhealthy"`
	// LoadReport, if not nil, replaces the number of requests that load reports
	// state as in use.
	LoadReport *int `json:"load_report,omitempty"`
	// StallOpenConns leaves requests unanswered on the connections that are open
	// when it is set. New connections work.
	StallOpenConns bool `json:"silent"`
	// WrongRequestID answers each request with the ID of another request.
	WrongRequestID bool `json:"cross"`
	// Truncate cuts off each answer halfway.
	Truncate bool `json:"truncate"`
	// ResponseDelayMs delays each answer after the work is done.
	ResponseDelayMs int `json:"late_ms"`
	// Draining is reported in load reports.
	Draining bool `json:"draining"`
	// Poison crashes the server on a marked request.
	Poison bool `json:"poison"`
}

// Options configure a stand-in.
type Options struct {
	Slots int
	Work  time.Duration
	// ColdStart is added to the work time of each request during the first ColdFor
	// after the start.
	ColdStart time.Duration
	ColdFor   time.Duration
	// Crash is called for a poisoned request. A nil Crash only closes the
	// connection, which is how a crash looks from outside.
	Crash func()
}

// Run is the record of one run.
type Run struct {
	Key       string    `json:"key"`
	RequestID string    `json:"request_id"`
	Service   string    `json:"service"`
	Body      string    `json:"body"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end,omitzero"`
}

// Stats are counts since the start.
type Stats struct {
	Runs int `json:"runs"`
	Shed int `json:"shed"`
	// ArrivalsOverSlots counts requests that arrived while all slots were in use.
	ArrivalsOverSlots int `json:"over_slots"`
	// PeakConcurrency is the largest number of requests in flight at once, including
	// those that wait for a slot.
	PeakConcurrency int `json:"most_in_use"`
	// Crashes counts requests that crashed the server.
	Crashes int `json:"crashes"`
	// DuplicateRuns counts runs of a key that had already run.
	DuplicateRuns int `json:"double_runs"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	opts    Options
	mux     *http.ServeMux
	started time.Time
	slots   chan struct{}

	mu       sync.Mutex
	faults   Faults
	inFlight int
	// sampledPeak is the largest number of requests in flight at once since the
	// current sample began.
	sampledPeak int
	recorded    []*Run
	runsByKey   map[string]int
	waiting     map[string]chan struct{}
	// progress holds how far each request has got, by request ID.
	progress map[string]backendapi.Progress
	stats    Stats
	stalled  map[string]bool
	conns    map[string]bool
}

// New returns a stand-in without active faults.
func New(opts Options) *Server {
	s := &Server{
		opts: opts, mux: http.NewServeMux(), started: time.Now(), slots: make(chan struct{}, opts.Slots),
		runsByKey: map[string]int{}, waiting: map[string]chan struct{}{}, progress: map[string]backendapi.Progress{}, stalled: map[string]bool{}, conns: map[string]bool{},
	}
	s.mux.HandleFunc("POST "+backendapi.PathRun+"{service}/{path...}", s.run)
	s.mux.HandleFunc("GET "+backendapi.PathHealth, s.health)
	s.mux.HandleFunc("GET "+backendapi.PathLoad, s.load)
	s.mux.HandleFunc("POST "+backendapi.PathCancel+"{id}", s.cancel)
	s.mux.HandleFunc("GET "+backendapi.PathStatus+"{id}", s.status)
	s.mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	s.mux.HandleFunc("GET "+PathLedger, s.getLedger)
	s.mux.HandleFunc("GET "+PathStats, s.getStats)
	return s
}

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isStalled(r.RemoteAddr) && !strings.HasPrefix(r.URL.Path, "/admin/") {
		// The request's context ends with the connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the set of active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StallOpenConns && !s.faults.StallOpenConns {
		for addr := range s.conns {
			s.stalled[addr] = true
		}
	}
	if !f.StallOpenConns {
		clear(s.stalled)
	}
	s.faults = f
}

// RecordedRuns returns a copy of the runs so far.
func (s *Server) RecordedRuns() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, 0, len(s.recorded))
	for _, r := range s.recorded {
		out = append(out, *r)
	}
	return out
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// PeakConcurrencyDuring returns the largest number of requests in flight at once
// while do runs, including those that wait for a slot.
func (s *Server) PeakConcurrencyDuring(do func()) int {
	s.mu.Lock()
	s.sampledPeak = s.inFlight
	s.mu.Unlock()
	do()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sampledPeak
}

func (s *Server) isStalled(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[addr] = true
	return s.stalled[addr]
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(backendapi.HeaderRequestID)
	w.Header().Set(backendapi.HeaderRequestID, id)
	cancelled, shed := s.admit(id)
	defer s.depart(id)
	if shed {
		replyShed(w)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-cancelled:
		replyShed(w)
		return
	case <-r.Context().Done():
		return
	}
	if !s.start(id) {
		replyShed(w)
		return
	}
	s.work(w, r, id, string(body))
}

func (s *Server) work(w http.ResponseWriter, r *http.Request, id, body string) {
	f := s.currentFaults()
	run := &Run{
		Key: r.Header.Get(backendapi.HeaderKey), RequestID: id, Service: r.PathValue("service"), Body: body, Start: time.Now(),
	}
	s.record(run)
	if f.Poison && r.Header.Get(HeaderPoison) != "" {
		s.crash()
	}
	time.Sleep(s.workTime())
	s.finish(run)
	time.Sleep(time.Duration(f.ResponseDelayMs) * time.Millisecond)
	s.reply(w, f, id, fmt.Sprintf("ran %s for %s\n", body, run.Service))
}

func (s *Server) reply(w http.ResponseWriter, f Faults, id, text string) {
	if f.WrongRequestID {
		w.Header().Set(backendapi.HeaderRequestID, id+"-other")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if f.Truncate {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// replyShed answers that the request has not run and will not run.
func replyShed(w http.ResponseWriter) {
	w.Header().Set(backendapi.HeaderShed, "true")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

func (s *Server) workTime() time.Duration {
	if time.Since(s.started) < s.opts.ColdFor {
		return s.opts.Work + s.opts.ColdStart
	}
	return s.opts.Work
}

// admit counts an arriving request and reports whether it is shed. The
// returned channel is closed if the request is cancelled before it starts.
func (s *Server) admit(id string) (cancelled chan struct{}, shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled = make(chan struct{})
	s.inFlight++
	if s.progress[id] == progressCancelled {
		close(cancelled)
		return cancelled, false
	}
	s.waiting[id] = cancelled
	s.progress[id] = backendapi.ProgressWaiting
	s.stats.PeakConcurrency = max(s.stats.PeakConcurrency, s.inFlight)
	s.sampledPeak = max(s.sampledPeak, s.inFlight)
	if s.inFlight > s.opts.Slots {
		s.stats.ArrivalsOverSlots++
		shed = s.faults.Shed
	}
	if shed {
		s.stats.Shed++
	}
	return cancelled, shed
}

// depart ends the count of a request in flight, and marks the request finished if
// it was running.
func (s *Server) depart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	if s.progress[id] == backendapi.ProgressRunning {
		s.progress[id] = backendapi.ProgressFinished
	}
	s.inFlight--
}

// start marks a waiting request as running, after which it can no longer be
// cancelled. It returns false if the request was cancelled.
func (s *Server) start(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, waiting := s.waiting[id]
	delete(s.waiting, id)
	if waiting {
		s.progress[id] = backendapi.ProgressRunning
	}
	return waiting
}

func (s *Server) record(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded = append(s.recorded, run)
	s.stats.Runs++
	if run.Key == "" {
		return
	}
	s.runsByKey[run.Key]++
	if s.runsByKey[run.Key] > 1 {
		s.stats.DuplicateRuns++
	}
}

func (s *Server) finish(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.End = time.Now()
}

func (s *Server) crash() {
	s.mu.Lock()
	s.stats.Crashes++
	s.mu.Unlock()
	if s.opts.Crash != nil {
		s.opts.Crash()
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.currentFaults().Unhealthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := backendapi.LoadReport{Slots: s.opts.Slots, InUse: s.inFlight, Draining: s.faults.Draining, TimeMs: time.Now().UnixMilli()}
	if s.faults.LoadReport != nil {
		load.InUse = *s.faults.LoadReport
	}
	s.mu.Unlock()
	writeJSON(w, load)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	cancelled, waiting := s.waiting[id]
	if waiting {
		delete(s.waiting, id)
		close(cancelled)
	}
	state := backendapi.CancelStarted
	if waiting || s.progress[id] == "" || s.progress[id] == progressCancelled {
		state = backendapi.CancelNotStarted
		s.progress[id] = progressCancelled
	}
	s.mu.Unlock()
	writeJSON(w, backendapi.CancelResponse{State: state})
}

// status reports how far a request has got.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	progress := s.progress[r.PathValue("id")]
	s.mu.Unlock()
	if progress == "" || progress == progressCancelled {
		progress = backendapi.ProgressNone
	}
	writeJSON(w, backendapi.StatusResponse{Progress: progress})
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.RecordedRuns()) }

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
