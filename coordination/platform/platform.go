// Package platform describes the object API that the platform gives, as the
// rest of the system uses it. Adapters implement Client.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// Kinds of object that the system keeps in the platform.
const (
	KindCatalogue = "catalogue"
	KindReport    = "report"
	// KindReportAnswer is the answer of the report of the same name.
	KindReportAnswer = "report-answer"
	KindLease        = "lease"
)

// MaxObjectBytes is the largest object that the platform holds.
const MaxObjectBytes = 1 << 20

// Object is one version of one object.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Event is one change of one object. Deleted objects carry no data.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// List is all objects of a kind as of Version.
type List struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

// WatchResult is the answer of a watch: the events after the version asked for,
// in order, up to Version. Events may be empty when the wait ran out.
type WatchResult struct {
	Version uint64  `json:"version"`
	Events  []Event `json:"events"`
}

// HostState is what the platform says of a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's lagging list of hosts.
type Host struct {
	ID         string         `json:"id"`
	DataCentre string         `json:"datacentre"`
	Region     string         `json:"region"`
	Peer       netip.AddrPort `json:"peer"`
	Caller     netip.AddrPort `json:"caller"`
	State      HostState      `json:"state"`
}

// Errors of a Client. A call that fails with anything else, such as a lost
// connection, may have taken effect.
var (
	ErrNotFound = errors.New("no such object")
	// ErrTooOld says that a watch asked for changes the platform no longer has.
	ErrTooOld = errors.New("watch version is too old")
	// ErrUnavailable says that the platform gave no answer; a write may have
	// taken effect.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrNotSent comes with ErrUnavailable for a call that did not reach the
	// platform.
	ErrNotSent = errors.New("call was not sent")
)

// ConflictError says that an object was not at the version a write asked
// for. Current is the object as it stands, with Version 0 for none.
type ConflictError struct {
	ExpectedVersion uint64
	Current         Object
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s is at version %d, not %d", e.Current.Kind, e.Current.Name, e.Current.Version, e.ExpectedVersion)
}

// Client reaches the platform.
type Client interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (List, error)
	// Put writes an object if it stands at the given version, 0 for one that
	// must not exist, and returns its new version, or a *ConflictError.
	Put(ctx context.Context, kind, name string, ifVersion uint64, data []byte) (uint64, error)
	// Delete deletes an object if it stands at the given version, and returns
	// the version of its deletion.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error)
	// Watch waits for changes of a kind after a version, or returns ErrTooOld.
	Watch(ctx context.Context, kind string, after uint64) (WatchResult, error)
	// Hosts returns the lagging list of hosts.
	Hosts(ctx context.Context) ([]Host, error)
}
