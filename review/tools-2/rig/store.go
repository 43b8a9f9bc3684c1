// Package rig holds small stand-ins for the operators' platform and starts the
// project's daemons against them, all on loopback addresses.
package rig

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the platform's store.
type Object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		CreatedRev int64    `json:"created_rev"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object   Object `json:"object"`
	Deleted  bool   `json:"deleted"`
	kind     string
	revision int64
}

// Store is a sound store: it answers every call at once, loses nothing and keeps
// all of its history.
type Store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]Object
	events   []event
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, kinds: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// Put writes an object as the operator and the upstreams do, and returns when the store
// has confirmed it.
func (s *Store) Put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var o Object
	o.Metadata.Name, o.Spec = name, raw
	s.put(kind, o)
	return time.Now()
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind string, o Object) Object {
	old, known := s.kinds[kind][o.Metadata.Name]
	if known && bytes.Equal(old.Spec, o.Spec) {
		return old
	}
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	o.Metadata.Revision, o.Metadata.CreatedRev = s.revision, s.revision
	if known {
		o.Metadata.CreatedRev = old.Metadata.CreatedRev
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.notify(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.notify(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

func (s *Store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the daemons.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	status, body := s.call(r, kind, name)
	s.mu.Unlock()
	answer(w, status, body)
}

func answer(w http.ResponseWriter, status int, body any) {
	text := []byte("{}")
	if body != nil {
		text, _ = json.Marshal(body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *Store) call(r *http.Request, kind, name string) (int, any) {
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "":
		return s.list(kind, q.Get("after"))
	case r.Method == http.MethodGet:
		if o, ok := s.kinds[kind][name]; ok {
			return http.StatusOK, o
		}
		return http.StatusNotFound, nil
	case r.Method == http.MethodDelete:
		o, ok := s.kinds[kind][name]
		if !ok {
			return http.StatusNotFound, nil
		}
		if v := q.Get("revision"); v != "" && v != strconv.FormatInt(o.Metadata.Revision, 10) {
			return http.StatusConflict, o
		}
		s.remove(kind, name)
		return http.StatusOK, nil
	}
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPut {
		o.Metadata.Name = name
	}
	old, known := s.kinds[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && known:
		return http.StatusConflict, old
	case r.Method == http.MethodPut && !known:
		return http.StatusNotFound, nil
	case known && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	}
	return http.StatusOK, s.put(kind, o)
}

// pageSize is the number of objects in an answer.
const pageSize = 500

func (s *Store) list(kind, after string) (int, any) {
	names := make([]string, 0, len(s.kinds[kind]))
	for n := range s.kinds[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	if more {
		names = names[:pageSize]
	}
	items := []Object{}
	for _, n := range names {
		items = append(items, s.kinds[kind][n])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events, revision, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
