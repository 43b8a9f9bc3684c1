// Package objectstore emulates the operators' object store: kinds with
// revisions, paged lists, watches, conditional writes, history compaction,
// outages, and restoration from an older copy.
package objectstore

import (
	"bytes"
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
	// pageSize is the maximum number of objects in a page.
	pageSize = 50
	// maxWatchTimeout is the longest time that a watch waits.
	maxWatchTimeout = 30 * time.Second
)

// Faults are the faults that the store injects. The zero value injects none.
type Faults struct {
	// Down answers every call with status 503.
	Down bool `json:"down"`
	// Unresponsive answers no call.
	Unresponsive bool `json:"silent"`
	// DropWriteResponses applies writes and closes the connection without a
	// response.
	DropWriteResponses bool `json:"lost"`
	// SuppressEvents makes watches return no changes.
	SuppressEvents bool `json:"deaf"`
	// LateMs delays each answer, in milliseconds, after it was made.
	LateMs int `json:"late_ms"`
}

// Object is the JSON form of an object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is the metadata of an object.
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

	kind     string
	revision int64
}

// Store is an emulated store. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	content
	// era is how often the store was restored from a copy.
	era     int64
	faults  Faults
	calls   int64
	changed chan struct{}
}

// content is what a copy of the store holds.
type content struct {
	revision int64
	kinds    map[string]map[string]Object
	events   []event
	// compactedRevision is the oldest revision from which a watch can start.
	compactedRevision int64
}

// Copy is a copy of a store's content.
type Copy struct{ content content }

// New returns an empty store.
func New() *Store {
	return &Store{content: content{revision: 1, compactedRevision: 1, kinds: map[string]map[string]Object{}}, changed: make(chan struct{})}
}

func (c content) clone() content {
	kinds := make(map[string]map[string]Object, len(c.kinds))
	for kind, all := range c.kinds {
		kinds[kind] = maps.Clone(all)
	}
	c.kinds, c.events = kinds, slices.Clone(c.events)
	return c
}

// Copy returns a copy of the store's content, from which Restore can restore it.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.clone()}
}

// Restore replaces the store's content by that of a copy, which begins a new era.
// Revisions go back to that of the copy and are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = c.content.clone()
	s.era++
	s.notifyWatchers()
}

// Names returns the names of the objects of a kind, sorted.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.kinds[kind]))
}

// SetFaults replaces the set of active faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// CompactHistory drops all past events, so that a watch from an older revision
// fails.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.events = s.revision, nil
	s.notifyWatchers()
}

// Calls returns the number of calls received.
func (s *Store) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object regardless of active faults.
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

// Delete removes an object regardless of active faults.
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
	s.events = append(s.events, event{Object: o, kind: kind, revision: s.revision})
	s.notifyWatchers()
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.events = append(s.events, event{Object: o, Deleted: true, kind: kind, revision: s.revision})
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles calls under /v1/objects/KIND and /v1/objects/KIND/NAME,
// and sets the active faults at /faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		s.serveFaults(w, r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	s.calls++
	faults, era := s.faults, s.era
	s.mu.Unlock()
	switch {
	case faults.Unresponsive:
		<-r.Context().Done()
		return
	case faults.Down:
		writeResponse(w, era, http.StatusServiceUnavailable, nil)
		return
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind, time.Duration(faults.LateMs)*time.Millisecond)
		return
	}
	status, body, era := s.handle(r, kind, name)
	time.Sleep(time.Duration(faults.LateMs) * time.Millisecond)
	if faults.DropWriteResponses && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, era, status, body)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// Deep is a string in whose place answers contain a value that is nested 40,000 levels
// deep, which encoding/json would not write.
const Deep = "(deeply nested value)"

// eraHeader is the header of all answers that holds the store's era.
const eraHeader = "Store-Era"

func writeResponse(w http.ResponseWriter, era int64, status int, body any) {
	w.Header().Set(eraHeader, strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body == nil {
		return
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	const depth = 40_000
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	_, _ = w.Write(bytes.ReplaceAll(text, []byte(strconv.Quote(Deep)), []byte(deep)))
}

// handle carries out a call and returns its answer and the era of it.
func (s *Store) handle(r *http.Request, kind, name string) (status int, body any, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, body = s.carryOut(r, kind, name)
	return status, body, s.era
}

func (s *Store) carryOut(r *http.Request, kind, name string) (int, any) {
	switch r.Method {
	case http.MethodGet:
		return s.read(kind, name, r.URL.Query().Get("after"))
	case http.MethodDelete:
		o, ok := s.kinds[kind][name]
		if !ok {
			return http.StatusNotFound, nil
		}
		if q := r.URL.Query(); q.Has("revision") && q.Get("revision") != strconv.FormatInt(o.Metadata.Revision, 10) {
			return http.StatusConflict, o
		}
		s.remove(kind, name)
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
		if more = len(items) == pageSize; more {
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

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string, late time.Duration) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxWatchTimeout, time.Duration(waitMs)*time.Millisecond))
	defer timer.Stop()
	for {
		events, revision, era, changed, status := s.eventsAfter(kind, after)
		if status != http.StatusOK || len(events) > 0 {
			time.Sleep(late)
			writeResponse(w, era, status, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeResponse(w, era, http.StatusOK, map[string]any{"events": []event{}, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes of a kind after a revision, the revision and the era
// of the store, a channel that is closed at the next change, and the status of
// the answer.
func (s *Store) eventsAfter(kind string, after int64) (events []event, revision, era int64, changed <-chan struct{}, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Down, s.faults.Unresponsive:
		return nil, 0, s.era, s.changed, http.StatusServiceUnavailable
	case s.faults.SuppressEvents:
		return nil, after, s.era, s.changed, http.StatusOK
	case after < s.compactedRevision, after > s.revision:
		return nil, s.revision, s.era, s.changed, http.StatusGone
	}
	for _, e := range s.events {
		if e.kind == kind && e.revision > after {
			events = append(events, e)
		}
	}
	return events, s.revision, s.era, s.changed, http.StatusOK
}
