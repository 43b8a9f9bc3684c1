// Package rig holds the stand-ins of the review's cases: the platform's store,
// backend servers ("upstreams"), clients and the processes of the gateways.
package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store, as PROTOCOL.md describes
// it. It works without faults.
type Store struct {
	Address string

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]*object
	events   []storeEvent
	changed  chan struct{}
	server   *http.Server
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedRev int64    `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision int64
	body     struct {
		Object  object `json:"object"`
		Deleted bool   `json:"deleted"`
	}
}

// NewStore starts an empty store on a free port.
func NewStore() *Store {
	s := &Store{revision: 1, kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
	l := listen()
	s.Address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun("listen: %v", err)
	}
	return l
}

// Put writes an object as the operator or an upstream does.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		CannotRun("encode %s/%s: %v", kind, name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, raw)
}

// Delete removes an object as the operator or an upstream does.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Count returns the number of objects of a kind.
func (s *Store) Count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.kinds[kind])
}

func (s *Store) set(kind, name string, spec json.RawMessage) *object {
	objects := s.kinds[kind]
	if objects == nil {
		objects = map[string]*object{}
		s.kinds[kind] = objects
	}
	old := objects[name]
	if old != nil && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, CreatedRev: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("{}")}
	if old != nil {
		o.Metadata.CreatedRev = old.Metadata.CreatedRev
	}
	objects[name] = o
	s.publish(kind, *o, false)
	return o
}

func (s *Store) remove(kind, name string) bool {
	old := s.kinds[kind][name]
	if old == nil {
		return false
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.publish(kind, *old, true)
	return true
}

func (s *Store) publish(kind string, o object, deleted bool) {
	e := storeEvent{kind: kind, revision: s.revision}
	e.body.Object, e.body.Deleted = o, deleted
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the gateways.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	if r.Method == http.MethodGet && r.URL.Query().Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	status, body := s.call(r, kind, name, in)
	raw, _ := json.Marshal(body)
	s.mu.Unlock()
	answer(w, status, raw)
}

func answer(w http.ResponseWriter, status int, raw []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// call carries out a call other than a watch. The caller holds mu.
func (s *Store) call(r *http.Request, kind, name string, in object) (int, any) {
	objects := s.kinds[kind]
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
		}
		if objects[name] == nil {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, objects[name]
	case http.MethodPost:
		if old := objects[in.Metadata.Name]; old != nil {
			return http.StatusConflict, old
		}
		return http.StatusCreated, s.set(kind, in.Metadata.Name, in.Spec)
	case http.MethodPut:
		old := objects[name]
		if old == nil {
			return http.StatusNotFound, struct{}{}
		}
		if want := in.Metadata.Revision; want != 0 && want != old.Metadata.Revision {
			return http.StatusConflict, old
		}
		return http.StatusOK, s.set(kind, name, in.Spec)
	case http.MethodDelete:
		if !s.remove(kind, name) {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, struct{}{}
	}
	return http.StatusMethodNotAllowed, struct{}{}
}

const pageSize = 500

func (s *Store) list(kind, after string) any {
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	items := []*object{}
	for _, name := range names[:min(pageSize, len(names))] {
		items = append(items, s.kinds[kind][name])
	}
	return map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for expired := waitMs <= 0; ; {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e.body)
			}
		}
		revision, changed := s.revision, s.changed
		raw, _ := json.Marshal(map[string]any{"events": events, "current_rev": revision})
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, raw)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
