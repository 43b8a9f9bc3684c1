// Package objects caches the objects of a versioned store, and answers from
// memory what the store would: all objects of a kind, and the changes since a
// revision.
package objects

import (
	"errors"
	"time"
)

// Errors of a store or a cache.
var (
	// ErrHistoryGone means that the changes since a revision are no longer
	// available. The caller must list the objects again.
	ErrHistoryGone = errors.New("change history is no longer available")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("no such object")
	// ErrConflict means that the object exists already or has another revision.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable means that the store did not carry out the operation.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrOlderEra means that data is of an earlier era of the store than what is
	// known already. It counts for nothing.
	ErrOlderEra = errors.New("data is of an earlier era of the store")
	// ErrUnknownKind means that the cache has no state of a kind yet.
	ErrUnknownKind = errors.New("kind is not cached yet")
)

// Object is a versioned object of a store.
type Object struct {
	Name string `cbor:"n"`
	// Revision is the store's revision at the last change of the object.
	Revision int64 `cbor:"r"`
	// Deleting is true if the object is about to be deleted.
	Deleting bool `cbor:"d,omitempty"`
	// Spec is the object's content, in the encoding of its writer.
	Spec []byte `cbor:"s"`
}

// Event is a change to an object.
type Event struct {
	Object  Object `cbor:"o"`
	Deleted bool   `cbor:"x,omitempty"`
}

// Changes are the changes of a kind up to a position.
type Changes struct {
	Events []Event
	To     Position
	// AsOf is a time at which the store held no later change.
	AsOf time.Time
}

// Latest returns the last event of each object, in the order of the events. It may reuse
// events.
func Latest(events []Event) []Event {
	last := make(map[string]int, len(events))
	for i, e := range events {
		last[e.Object.Name] = i
	}
	kept := events[:0]
	for i, e := range events {
		if last[e.Object.Name] == i {
			kept = append(kept, e)
		}
	}
	return kept
}
