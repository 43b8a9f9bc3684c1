package daemon

import "sync"

// nameSet is a set of names. It is safe for concurrent use.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

func newNameSet() *nameSet { return &nameSet{names: map[string]bool{}} }

// add reports whether the name was new to the set.
func (s *nameSet) add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] {
		return false
	}
	s.names[name] = true
	return true
}

func (s *nameSet) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}
