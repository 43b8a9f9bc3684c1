package objects

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// maxEvents is the number of changed objects of each kind whose last change a cache retains.
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
	// eventsAfter is the position after which the last event of each object is retained.
	// It is of the same era as position.
	eventsAfter, position Position
	// confirmed is the latest time at which the store is known to have held
	// exactly this state.
	confirmed time.Time
}

// change is an event and the store's position up to which the cache had advanced
// when it applied the event. The revision of the event's object cannot be used
// instead, since in a deletion it is that of the object's last change before.
type change struct {
	event Event
	at    Position
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{kinds: map[string]*kind{}, updated: make(chan struct{})}
}

// Position returns the position of a kind's cached state, or false if the kind
// is not cached.
func (c *Cache) Position(name string) (Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return Position{}, false
	}
	return k.position, true
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

// Replace replaces the cached state of a kind by a list at a position. It returns
// false and changes nothing if the list is older than the cached state.
func (c *Cache) Replace(name string, all []Object, at Position, confirmed time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.kinds[name]; old != nil && at.Before(old.position) {
		return false
	}
	k := &kind{objects: make(map[string]Object, len(all)), eventsAfter: at, position: at, confirmed: confirmed}
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

// Apply applies the changes between two positions of one era. It returns false and
// changes nothing if the cached state is not at position from.
func (c *Cache) Apply(name string, events []Event, from, to Position, confirmed time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil || k.position != from || to.Era != from.Era {
		return false
	}
	if confirmed.After(k.confirmed) {
		k.confirmed = confirmed
	}
	if to.After(k.position) {
		k.position = to
	}
	for _, e := range events {
		k.apply(e)
	}
	c.notify()
	return true
}

func (k *kind) apply(e Event) {
	if e.Deleted {
		delete(k.objects, e.Object.Name)
	} else {
		k.objects[e.Object.Name] = e.Object
	}
	// An earlier change is of no use to anybody, and may be large.
	k.events = slices.DeleteFunc(k.events, func(c change) bool { return c.event.Object.Name == e.Object.Name })
	k.events = append(k.events, change{e, k.position})
	if excess := len(k.events) - maxEvents; excess > 0 {
		k.eventsAfter = k.events[excess-1].at
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

// List returns all objects of a kind, sorted by name, and the position of the
// list.
func (c *Cache) List(name string) ([]Object, Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return nil, Position{}, ErrUnknownKind
	}
	all := make([]Object, 0, len(k.objects))
	for _, o := range k.objects {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return all, k.position, nil
}

// ChangesSince returns the last change of each object of a kind that changed after a
// position, and the position up to which they reach. It returns ErrHistoryGone if some of
// them are no longer retained, which is also so for a position of an earlier era, and
// ErrOlderEra if the position is of a later era than the cached state.
func (c *Cache) ChangesSince(name string, after Position) ([]Event, Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	switch {
	case k == nil:
		return nil, Position{}, ErrUnknownKind
	case after.Era > k.position.Era:
		return nil, k.position, ErrOlderEra
	case after.Before(k.eventsAfter):
		return nil, Position{}, ErrHistoryGone
	case !after.Before(k.position):
		return nil, after, nil
	}
	var events []Event
	for _, applied := range k.events {
		if applied.at.After(after) {
			events = append(events, applied.event)
		}
	}
	return events, k.position, nil
}
