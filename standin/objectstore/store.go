// Package objectstore emulates the operators' store of objects: kinds with
// revisions, lists in pages, watches, conditional writes, a history that can
// be forgotten, and outages.
package objectstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the most objects in an answer.
	pageItems = 50
	// maxWait is the longest that a watch waits.
	maxWait = 30 * time.Second
)

// Faults are what goes wrong. The zero value is a store that is well.
type Faults struct {
	// Down has every call answered with 503.
	Down bool `json:"down"`
	// Unresponsive has no call answered.
	Unresponsive bool `json:"silent"`
	// DropWriteResponses has writes done and not answered.
	DropWriteResponses bool `json:"lost"`
	// SuppressEvents has watches hear nothing.
	SuppressEvents bool `json:"deaf"`
}

// Object is an object as the store encodes it.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is what the store keeps about an object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedRev int64    `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
	at   int64
}

// Store is an emulated store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]Object
	events   []event
	// floor is the revision since which the history is known.
	floor   int64
	faults  Faults
	calls   int64
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, floor: 1, kinds: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// SetFaults replaces what goes wrong.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.signal()
}

// CompactHistory drops the history.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.events = s.revision, nil
	s.signal()
}

// Calls returns how many calls came.
func (s *Store) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object, whatever goes wrong.
func (s *Store) Put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: raw})
	return nil
}

// Delete removes an object, whatever goes wrong.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind string, o Object) Object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	o.Metadata.Revision, o.Metadata.CreatedRev = s.revision, s.revision
	if old, ok := s.kinds[kind][o.Metadata.Name]; ok {
		o.Metadata.CreatedRev = old.Metadata.CreatedRev
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.events = append(s.events, event{Object: o, kind: kind, at: s.revision})
	s.signal()
	return o
}

func (s *Store) remove(kind, name string) bool {
	o, ok := s.kinds[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.events = append(s.events, event{Object: o, Deleted: true, kind: kind, at: s.revision})
	s.signal()
	return true
}

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers calls under /v1/objects/KIND and /v1/objects/KIND/NAME,
// and takes faults at /faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		s.takeFaults(w, r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	switch {
	case faults.Unresponsive:
		<-r.Context().Done()
		return
	case faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
		return
	}
	status, body := s.do(r, kind, name)
	if faults.DropWriteResponses && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, body)
}

func (s *Store) takeFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) do(r *http.Request, kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodGet:
		return s.read(kind, name, r.URL.Query().Get("after"))
	case http.MethodDelete:
		if !s.remove(kind, name) {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, nil
	case http.MethodPost, http.MethodPut:
		return s.write(r, kind, name)
	}
	return http.StatusMethodNotAllowed, nil
}

func (s *Store) read(kind, name, after string) (int, any) {
	if name != "" {
		o, ok := s.kinds[kind][name]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, o
	}
	items, more := []Object{}, false
	for _, n := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if n <= after {
			continue
		}
		if more = len(items) == pageItems; more {
			break
		}
		items = append(items, s.kinds[kind][n])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

func (s *Store) write(r *http.Request, kind, name string) (int, any) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPut {
		o.Metadata.Name = name
	}
	old, exists := s.kinds[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && exists, o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodPut && !exists:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, s.put(kind, o)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxWait, time.Duration(waitMs)*time.Millisecond))
	defer timer.Stop()
	for {
		events, at, changed, status := s.since(kind, from)
		if status != http.StatusOK || len(events) > 0 {
			answer(w, status, map[string]any{"events": events, "current_rev": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": []event{}, "current_rev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns a kind's changes after a revision, and what tells of more.
func (s *Store) since(kind string, from int64) (events []event, at int64, changed <-chan struct{}, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Down, s.faults.Unresponsive:
		return nil, 0, s.changed, http.StatusServiceUnavailable
	case s.faults.SuppressEvents:
		return nil, from, s.changed, http.StatusOK
	case from < s.floor:
		return nil, s.revision, s.changed, http.StatusGone
	}
	for _, e := range s.events {
		if e.kind == kind && e.at > from {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, http.StatusOK
}
