// Package backend is a small stand-in for a backend server. It has slots,
// work time and a ledger of every run, and faults that can be switched on
// while it runs.
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

// Paths that steer the stand-in.
const (
	PathFaults = "/admin/faults"
	PathLedger = "/admin/ledger"
	PathStats  = "/admin/stats"
)

// HeaderPoison marks a request that crashes the server while poison is on.
const HeaderPoison = "Standin-Poison"

// progressRefused marks a request that was cancelled before it started, or
// before it came: it will not run.
const progressRefused backendapi.Progress = "refused"

// Faults are the ways in which the stand-in fails.
type Faults struct {
	// Shed refuses requests beyond the slots; otherwise they wait.
	Shed bool `json:"shed"`
	// Unhealthy makes the health endpoint fail while work goes on.
	Unhealthy bool `json:"unhealthy"`
	// LoadReport replaces the true number of slots in use, if not nil.
	LoadReport *int `json:"load_report,omitempty"`
	// StallOpenConns stops answers on connections open at that moment; new ones work.
	StallOpenConns bool `json:"silent"`
	// WrongRequestID answers each request with another request's identity.
	WrongRequestID bool `json:"cross"`
	// Truncate cuts each answer in half.
	Truncate bool `json:"truncate"`
	// ResponseDelayMs holds each answer back after the work is done.
	ResponseDelayMs int `json:"late_ms"`
	// Draining is told in load reports.
	Draining bool `json:"draining"`
	// Poison crashes the server on a marked request.
	Poison bool `json:"poison"`
}

// Options describe a stand-in.
type Options struct {
	Slots int
	Work  time.Duration
	// ColdStart is added to the work of each request within ColdFor of the start.
	ColdStart time.Duration
	ColdFor   time.Duration
	// Crash is called for a poisoned request. A nil Crash only drops its
	// connection, as a crash seen from outside does.
	Crash func()
}

// Run is one line of the ledger.
type Run struct {
	Key       string    `json:"key"`
	RequestID string    `json:"request_id"`
	Service   string    `json:"service"`
	Body      string    `json:"body"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end,omitzero"`
}

// Stats sum up what happened since the start.
type Stats struct {
	Runs int `json:"runs"`
	Shed int `json:"shed"`
	// ArrivalsOverSlots counts requests that arrived while all slots were in use.
	ArrivalsOverSlots int `json:"over_slots"`
	// PeakConcurrency is the largest number of requests seen at once.
	PeakConcurrency int `json:"most_in_use"`
	// Crashes counts requests that crashed the server.
	Crashes int `json:"crashes"`
	// DuplicateRuns counts runs of a key that had run before.
	DuplicateRuns int `json:"double_runs"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	opts    Options
	mux     *http.ServeMux
	started time.Time
	slots   chan struct{}

	mu      sync.Mutex
	faults  Faults
	present int
	// sampled is the most requests seen at once since a sample began.
	sampled int
	ledger  []*Run
	byKey   map[string]int
	waiting map[string]chan struct{}
	// progress tells how far each request has got.
	progress map[string]backendapi.Progress
	stats    Stats
	silenced map[string]bool
	conns    map[string]bool
}

// New returns a stand-in.
func New(opts Options) *Server {
	s := &Server{
		opts: opts, mux: http.NewServeMux(), started: time.Now(), slots: make(chan struct{}, opts.Slots),
		byKey: map[string]int{}, waiting: map[string]chan struct{}{}, progress: map[string]backendapi.Progress{}, silenced: map[string]bool{}, conns: map[string]bool{},
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

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent(r.RemoteAddr) && !strings.HasPrefix(r.URL.Path, "/admin/") {
		// The context ends with the connection once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	s.mux.ServeHTTP(w, r)
}

// SetFaults switches faults on and off.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StallOpenConns && !s.faults.StallOpenConns {
		for addr := range s.conns {
			s.silenced[addr] = true
		}
	}
	if !f.StallOpenConns {
		clear(s.silenced)
	}
	s.faults = f
}

// RecordedRuns returns a copy of the runs so far.
func (s *Server) RecordedRuns() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, 0, len(s.ledger))
	for _, r := range s.ledger {
		out = append(out, *r)
	}
	return out
}

// Stats returns the sums so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// PeakConcurrencyDuring returns the largest number of requests seen at once while
// do runs.
func (s *Server) PeakConcurrencyDuring(do func()) int {
	s.mu.Lock()
	s.sampled = s.present
	s.mu.Unlock()
	do()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sampled
}

func (s *Server) isSilent(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[addr] = true
	return s.silenced[addr]
}

func (s *Server) current() Faults {
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
	cancelled, shed := s.arrive(id)
	defer s.leave(id)
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
	f := s.current()
	run := &Run{
		Key: r.Header.Get(backendapi.HeaderKey), RequestID: id, Service: r.PathValue("service"), Body: body, Start: time.Now(),
	}
	s.record(run)
	if f.Poison && r.Header.Get(HeaderPoison) != "" {
		s.crash()
	}
	time.Sleep(s.workTime())
	s.end(run)
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

// replyShed says that the request did not run and will not.
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

// arrive counts a request in and reports whether it is shed.
func (s *Server) arrive(id string) (cancelled chan struct{}, shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled = make(chan struct{})
	s.present++
	if s.progress[id] == progressRefused {
		close(cancelled)
		return cancelled, false
	}
	s.waiting[id] = cancelled
	s.progress[id] = backendapi.ProgressWaiting
	s.stats.PeakConcurrency = max(s.stats.PeakConcurrency, s.present)
	s.sampled = max(s.sampled, s.present)
	if s.present > s.opts.Slots {
		s.stats.ArrivalsOverSlots++
		shed = s.faults.Shed
	}
	if shed {
		s.stats.Shed++
	}
	return cancelled, shed
}

func (s *Server) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	if s.progress[id] == backendapi.ProgressRunning {
		s.progress[id] = backendapi.ProgressFinished
	}
	s.present--
}

// start takes a request out of those that can be cancelled.
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
	s.ledger = append(s.ledger, run)
	s.stats.Runs++
	if run.Key == "" {
		return
	}
	s.byKey[run.Key]++
	if s.byKey[run.Key] > 1 {
		s.stats.DuplicateRuns++
	}
}

func (s *Server) end(run *Run) {
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
	if s.current().Unhealthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := backendapi.LoadReport{Slots: s.opts.Slots, InUse: s.present, Draining: s.faults.Draining, TimeMs: time.Now().UnixMilli()}
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
	if waiting || s.progress[id] == "" || s.progress[id] == progressRefused {
		state = backendapi.CancelNotStarted
		s.progress[id] = progressRefused
	}
	s.mu.Unlock()
	writeJSON(w, backendapi.CancelResponse{State: state})
}

// status tells how far a request has got.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	progress := s.progress[r.PathValue("id")]
	s.mu.Unlock()
	if progress == "" || progress == progressRefused {
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
