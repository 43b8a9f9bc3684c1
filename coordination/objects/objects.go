// Package objects holds what a store of versioned objects says, and answers
// from memory what the store would: all objects of a kind, and the changes
// since a revision.
package objects

import (
	"errors"
)

// Errors of a store and of a cache.
var (
	// ErrHistoryGone says that a revision is too old to tell the changes
	// since; list again.
	ErrHistoryGone = errors.New("history is gone")
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrConflict says that the object exists or has another revision.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable says that the store did nothing.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnknownKind says that a cache holds nothing of a kind yet.
	ErrUnknownKind = errors.New("kind is not known yet")
)

// Object is an object of a store.
type Object struct {
	Name string `cbor:"n"`
	// Revision is the store's revision at the object's last change.
	Revision int64 `cbor:"r"`
	// Deleting says that the object is about to be removed.
	Deleting bool `cbor:"d,omitempty"`
	// Spec is the object's content, encoded as its writer did.
	Spec []byte `cbor:"s"`
}

// Event is a change of an object.
type Event struct {
	Object  Object `cbor:"o"`
	Deleted bool   `cbor:"x,omitempty"`
}
