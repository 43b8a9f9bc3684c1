// Package platform is a small stand-in for the platform: an object API with
// versions, conditional updates and watches, and a list of hosts. All data is
// kept in memory, and faults can be injected while it runs.
package platform

import (
	"context"
	"maps"
	"sync"

	"bilberrytiller.example/tiller/coordination/platform"
)

// historyEvents is the number of past events that a watch can return.
const historyEvents = 10_000

// store holds the objects. Each kind has its own version counter.
type store struct {
	mu       sync.Mutex
	versions map[string]uint64
	objects  map[string]map[string]platform.Object
	history  []platform.Event
	// compacted is, for each kind, the version of the newest event that is no
	// longer in history.
	compacted map[string]uint64
	changed   chan struct{}
}

func newStore() *store {
	return &store{
		versions: map[string]uint64{}, compacted: map[string]uint64{},
		objects: map[string]map[string]platform.Object{}, changed: make(chan struct{}),
	}
}

func (s *store) get(kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[kind][name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return obj, nil
}

func (s *store) list(kind string) platform.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.List{Version: s.versions[kind], Objects: []platform.Object{}}
	for _, obj := range s.objects[kind] {
		list.Objects = append(list.Objects, obj)
	}
	return list
}

func (s *store) put(kind, name string, ifVersion uint64, data []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(kind, name, ifVersion); err != nil {
		return 0, err
	}
	s.versions[kind]++
	obj := platform.Object{Kind: kind, Name: name, Version: s.versions[kind], Data: data}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]platform.Object{}
	}
	s.objects[kind][name] = obj
	s.appendEvent(platform.Event{Object: obj})
	return obj.Version, nil
}

func (s *store) delete(kind, name string, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[kind][name]; !ok {
		return 0, platform.ErrNotFound
	}
	if err := s.checkVersion(kind, name, ifVersion); err != nil {
		return 0, err
	}
	s.versions[kind]++
	delete(s.objects[kind], name)
	s.appendEvent(platform.Event{Object: platform.Object{Kind: kind, Name: name, Version: s.versions[kind]}, Deleted: true})
	return s.versions[kind], nil
}

// checkVersion returns a conflict error unless the object has the given
// version.
func (s *store) checkVersion(kind, name string, version uint64) error {
	current := s.objects[kind][name]
	if current.Version == version {
		return nil
	}
	current.Kind, current.Name = kind, name
	return &platform.ConflictError{ExpectedVersion: version, Current: current}
}

func (s *store) appendEvent(e platform.Event) {
	s.history = append(s.history, e)
	if len(s.history) > historyEvents {
		s.compacted[s.history[0].Object.Kind] = s.history[0].Object.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the whole history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(s.compacted, s.versions)
	s.history = nil
}

// watch waits until the kind changes after the given version or ctx ends, and
// returns the changes.
func (s *store) watch(ctx context.Context, kind string, after uint64) (platform.WatchResult, error) {
	for {
		changes, changed, err := s.changesAfter(kind, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changes, nil
		}
	}
}

func (s *store) changesAfter(kind string, after uint64) (platform.WatchResult, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted[kind] {
		return platform.WatchResult{}, nil, platform.ErrTooOld
	}
	changes := platform.WatchResult{Version: s.versions[kind], Events: []platform.Event{}}
	for _, e := range s.history {
		if e.Object.Kind == kind && e.Object.Version > after {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, s.changed, nil
}
