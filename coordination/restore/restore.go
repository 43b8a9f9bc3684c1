// Package restore decides which objects stay in force after their store was
// restored from an older copy.
//
// The copy lacks the latest writes, and their writers make them again. Until then
// the store holds an older state, in which a server that is about to stop seems
// ready and an entry that was removed is back. What was in force stays in force
// until the object's writer has written it in the new era, or has had the time for
// it. A View is the state in force of one kind.
package restore

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/objects"
)

// RemovalMemory is how long a removed object is remembered. It bounds the age of the
// copy from which a store may be restored without bringing the object back.
const RemovalMemory = time.Minute

// Bounds are the times, from the first list of an era, for which what was in force
// stays in force without having been written again.
type Bounds struct {
	// Missing applies to an object that the store lacks.
	Missing time.Duration
	// Reverted applies to an object of which the store has an older state, or which
	// had been removed.
	Reverted time.Duration
}

// NewerFunc reports whether a listed object is known to be newer than the one in
// force, from their contents alone.
type NewerFunc func(inForce, listed objects.Object) bool

// View is the state in force of the objects of one kind. It is not safe for
// concurrent use.
type View struct {
	bounds Bounds
	newer  NewerFunc

	loaded  bool
	inForce map[string]objects.Object
	removed map[string]removal
	// first is the position of the first list of the era. Objects with a later
	// revision were written in the era.
	first objects.Position
	// missingUntil and revertedUntil end the holds of the era.
	missingUntil, revertedUntil time.Time
	// held maps the name of each object whose state in force is not the store's to
	// the store's state.
	held map[string]storeState
}

// removal is an object that was removed from the state in force.
type removal struct {
	// by is the position up to which the removal is known.
	by objects.Position
	at time.Time
}

// storeState is the store's state of an object.
type storeState struct {
	object  objects.Object
	missing bool
}

// NewView returns an empty view. The function newer may be nil.
func NewView(bounds Bounds, newer NewerFunc) *View {
	if newer == nil {
		newer = func(objects.Object, objects.Object) bool { return false }
	}
	return &View{bounds: bounds, newer: newer, inForce: map[string]objects.Object{}, removed: map[string]removal{}, held: map[string]storeState{}}
}

// Era returns the era of the latest list.
func (v *View) Era() int64 { return v.first.Era }

// Held returns how many objects in force differ from the store's.
func (v *View) Held() int { return len(v.held) }

// List takes a list of all objects and returns those in force, sorted by name. The
// caller must not pass lists of earlier eras.
func (v *View) List(all []objects.Object, at objects.Position, now time.Time) []objects.Object {
	if !v.loaded || at.Era != v.first.Era {
		v.beginEra(at, now)
	}
	clear(v.held)
	listed := make(map[string]bool, len(all))
	for _, o := range all {
		listed[o.Name] = true
		if v.isReverted(o, now) {
			v.held[o.Name] = storeState{object: o}
			continue
		}
		v.put(o)
	}
	for name := range v.inForce {
		if listed[name] {
			continue
		}
		if now.Before(v.missingUntil) {
			v.held[name] = storeState{missing: true}
			continue
		}
		v.remove(name, at, now)
	}
	v.forgetRemovals(now)
	return v.objects()
}

// beginEra starts the holds if the list is not the first that the view takes.
func (v *View) beginEra(at objects.Position, now time.Time) {
	if v.loaded {
		v.missingUntil, v.revertedUntil = now.Add(v.bounds.Missing), now.Add(v.bounds.Reverted)
	}
	v.loaded, v.first = true, at
}

// isReverted reports whether a listed object may be an older state of one in force,
// or of a removed one, that its writer has not written again yet.
func (v *View) isReverted(o objects.Object, now time.Time) bool {
	if !now.Before(v.revertedUntil) || o.Revision > v.first.Revision {
		return false
	}
	if old, ok := v.inForce[o.Name]; ok {
		// The revisions of a copy are those of the earlier era.
		return o.Revision < old.Revision && !bytes.Equal(o.Spec, old.Spec) && !v.newer(old, o)
	}
	r, ok := v.removed[o.Name]
	return ok && r.by.Era < v.first.Era && o.Revision <= r.by.Revision
}

// Event takes a change in the era of the latest list, which is always in force at
// once.
func (v *View) Event(e objects.Event, at objects.Position, now time.Time) {
	delete(v.held, e.Object.Name)
	if e.Deleted {
		v.remove(e.Object.Name, at, now)
		return
	}
	v.put(e.Object)
}

// Expire ends the holds that are due and returns the changes to put in force.
func (v *View) Expire(now time.Time) []objects.Event {
	var events []objects.Event
	for name, state := range v.held {
		switch {
		case state.missing && !now.Before(v.missingUntil):
			events = append(events, objects.Event{Object: v.inForce[name], Deleted: true})
			v.remove(name, v.first, now)
		case !state.missing && !now.Before(v.revertedUntil):
			events = append(events, objects.Event{Object: state.object})
			v.put(state.object)
		default:
			continue
		}
		delete(v.held, name)
	}
	slices.SortFunc(events, func(a, b objects.Event) int { return strings.Compare(a.Object.Name, b.Object.Name) })
	return events
}

func (v *View) put(o objects.Object) {
	v.inForce[o.Name] = o
	delete(v.removed, o.Name)
}

func (v *View) remove(name string, at objects.Position, now time.Time) {
	delete(v.inForce, name)
	v.removed[name] = removal{at, now}
	v.forgetRemovals(now)
}

func (v *View) forgetRemovals(now time.Time) {
	for name, r := range v.removed {
		if now.Sub(r.at) > RemovalMemory && v.held[name].object.Name == "" {
			delete(v.removed, name)
		}
	}
}

func (v *View) objects() []objects.Object {
	all := make([]objects.Object, 0, len(v.inForce))
	for _, o := range v.inForce {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b objects.Object) int { return strings.Compare(a.Name, b.Name) })
	return all
}
