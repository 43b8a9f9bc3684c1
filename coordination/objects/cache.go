package objects

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// maxEvents is how many changes of a kind a cache remembers.
const maxEvents = 2048

// Cache holds what is known of several kinds. It is safe for concurrent use.
type Cache struct {
	mu    sync.Mutex
	kinds map[string]*kind
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// kind is what is known of one kind.
type kind struct {
	objects map[string]Object
	events  []change
	// floor is the revision since which events are known.
	floor, revision int64
	// confirmed is when the store is known to have held just this.
	confirmed time.Time
}

// change is an event and the revision of the store by which it had happened.
// The object's own revision does not tell that of a removal.
type change struct {
	event Event
	by    int64
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{kinds: map[string]*kind{}, changed: make(chan struct{})}
}

// Revision returns the revision up to which a kind is known, if it is.
func (c *Cache) Revision(name string) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return 0, false
	}
	return k.revision, true
}

// Age returns how long ago the store is known to have held what is known of a
// kind, if anything is.
func (c *Cache) Age(name string, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return 0, false
	}
	return now.Sub(k.confirmed), true
}

// Replace replaces all that is known of a kind. A list that is older than what
// is known changes nothing and returns false.
func (c *Cache) Replace(name string, all []Object, revision int64, confirmed time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.kinds[name]; old != nil && revision < old.revision {
		return false
	}
	k := &kind{objects: make(map[string]Object, len(all)), floor: revision, revision: revision, confirmed: confirmed}
	for _, o := range all {
		k.objects[o.Name] = o
	}
	c.kinds[name] = k
	c.signal()
	return true
}

// Apply adds the changes from revision from to revision to. Changes that do
// not follow on what is known change nothing and return false.
func (c *Cache) Apply(name string, events []Event, from, to int64, confirmed time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil || k.revision != from {
		return false
	}
	k.confirmed = confirmed
	k.revision = max(k.revision, to)
	if len(events) == 0 {
		return true
	}
	for _, e := range events {
		k.apply(e, k.revision)
	}
	c.signal()
	return true
}

func (k *kind) apply(e Event, by int64) {
	if e.Deleted {
		delete(k.objects, e.Object.Name)
	} else {
		k.objects[e.Object.Name] = e.Object
	}
	k.events = append(k.events, change{e, by})
	if over := len(k.events) - maxEvents; over > 0 {
		k.floor = k.events[over-1].by
		k.events = slices.Delete(k.events, 0, over)
	}
}

func (c *Cache) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// List returns all objects of a kind by name, and the revision.
func (c *Cache) List(name string) ([]Object, int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return nil, 0, ErrUnknownKind
	}
	all := make([]Object, 0, len(k.objects))
	for _, o := range k.objects {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return all, k.revision, nil
}

// ChangesSince returns the changes of a kind after a revision, and the revision up
// to which they reach. It returns ErrHistoryGone if not all are known.
func (c *Cache) ChangesSince(name string, revision int64) ([]Event, int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	switch {
	case k == nil:
		return nil, 0, ErrUnknownKind
	case revision < k.floor:
		return nil, 0, ErrHistoryGone
	case revision >= k.revision:
		return nil, revision, nil
	}
	var events []Event
	for _, c := range k.events {
		if c.by > revision {
			events = append(events, c.event)
		}
	}
	return events, k.revision, nil
}
