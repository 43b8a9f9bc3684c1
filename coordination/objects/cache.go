package objects

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// maxEvents is the number of changes of each kind that a cache retains.
const maxEvents = 2048

// Cache mirrors several kinds of objects of a store. It is safe for concurrent
// use.
type Cache struct {
	mu    sync.Mutex
	kinds map[string]*kind
	// updated is closed and replaced on each change and on each confirmation that
	// there was none.
	updated chan struct{}
}

// kind is the cached state of one kind.
type kind struct {
	objects map[string]Object
	events  []change
	// eventsAfter is the revision after which all events are retained.
	eventsAfter, revision int64
	// confirmed is the latest time at which the store is known to have held
	// exactly this state.
	confirmed time.Time
}

// change is an event and the store's revision up to which the cache had advanced
// when it applied the event. The revision of the event's object cannot be used
// instead, since in a deletion it is that of the object's last change before.
type change struct {
	event         Event
	storeRevision int64
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{kinds: map[string]*kind{}, updated: make(chan struct{})}
}

// Revision returns the revision of a kind's cached state, or false if the kind
// is not cached.
func (c *Cache) Revision(name string) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return 0, false
	}
	return k.revision, true
}

// Age returns how long ago the store was known to hold a kind's cached state,
// or false if the kind is not cached.
func (c *Cache) Age(name string, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return 0, false
	}
	return now.Sub(k.confirmed), true
}

// Replace replaces the cached state of a kind. It returns false and changes
// nothing if the list is older than the cached state.
func (c *Cache) Replace(name string, all []Object, revision int64, confirmed time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.kinds[name]; old != nil && revision < old.revision {
		return false
	}
	k := &kind{objects: make(map[string]Object, len(all)), eventsAfter: revision, revision: revision, confirmed: confirmed}
	if old := c.kinds[name]; old != nil && old.confirmed.After(confirmed) {
		k.confirmed = old.confirmed
	}
	for _, o := range all {
		k.objects[o.Name] = o
	}
	c.kinds[name] = k
	c.notify()
	return true
}

// Apply applies the changes between two revisions. It returns false and changes
// nothing if the cached state is not at revision from.
func (c *Cache) Apply(name string, events []Event, from, to int64, confirmed time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil || k.revision != from {
		return false
	}
	if confirmed.After(k.confirmed) {
		k.confirmed = confirmed
	}
	k.revision = max(k.revision, to)
	for _, e := range events {
		k.apply(e, k.revision)
	}
	c.notify()
	return true
}

func (k *kind) apply(e Event, storeRevision int64) {
	if e.Deleted {
		delete(k.objects, e.Object.Name)
	} else {
		k.objects[e.Object.Name] = e.Object
	}
	k.events = append(k.events, change{e, storeRevision})
	if excess := len(k.events) - maxEvents; excess > 0 {
		k.eventsAfter = k.events[excess-1].storeRevision
		k.events = slices.Delete(k.events, 0, excess)
	}
}

func (c *Cache) notify() {
	close(c.updated)
	c.updated = make(chan struct{})
}

// Updated returns a channel that is closed when any kind next changes or is
// confirmed to match the store.
func (c *Cache) Updated() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updated
}

// List returns all objects of a kind, sorted by name, and the revision of the
// list.
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

// ChangesSince returns the changes of a kind after a revision, and the revision
// up to which they reach. It returns ErrHistoryGone if some of them are no
// longer retained.
func (c *Cache) ChangesSince(name string, revision int64) ([]Event, int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	switch {
	case k == nil:
		return nil, 0, ErrUnknownKind
	case revision < k.eventsAfter:
		return nil, 0, ErrHistoryGone
	case revision >= k.revision:
		return nil, revision, nil
	}
	var events []Event
	for _, applied := range k.events {
		if applied.storeRevision > revision {
			events = append(events, applied.event)
		}
	}
	return events, k.revision, nil
}
