// Package platform defines the platform's object API as the rest of the system
// uses it. Adapters implement Client.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// The kinds of objects that the system stores in the platform.
const (
	KindCatalogue = "catalogue"
	KindReport    = "report"
	// KindReportAnswer is the kind of the answer to the report with the same
	// name.
	KindReportAnswer = "report-answer"
	KindLease        = "lease"
)

// MaxObjectBytes is the maximum size of an object.
const MaxObjectBytes = 1 << 20

// Object is one version of an object.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Event is a change of an object. A deleted object has no data.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// List holds all objects of a kind as of Version.
type List struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

// WatchResult is the result of a watch: the events after the requested version,
// in order, up to Version. Events may be empty if the watch timed out.
type WatchResult struct {
	Version uint64  `json:"version"`
	Events  []Event `json:"events"`
}

// HostState is the state of a host as reported by the platform.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list, which lags behind the actual
// hosts.
type Host struct {
	ID         string         `json:"id"`
	DataCentre string         `json:"datacentre"`
	Region     string         `json:"region"`
	Peer       netip.AddrPort `json:"peer"`
	Caller     netip.AddrPort `json:"caller"`
	State      HostState      `json:"state"`
}

// Errors returned by a Client. A call that fails with any other error, such as
// a lost connection, may have taken effect.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("no such object")
	// ErrTooOld means that a watch requested changes that the platform no
	// longer stores.
	ErrTooOld = errors.New("watch version is too old")
	// ErrUnavailable means that the platform did not respond; a write may have
	// taken effect.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrNotSent accompanies ErrUnavailable if the call did not reach the
	// platform.
	ErrNotSent = errors.New("call was not sent")
)

// ConflictError reports that an object was not at the version that a write
// requires. Current is the object as it is now, with Version 0 if it does not
// exist.
type ConflictError struct {
	ExpectedVersion uint64
	Current         Object
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s is at version %d, not %d", e.Current.Kind, e.Current.Name, e.Current.Version, e.ExpectedVersion)
}

// Client is a client of the platform's object API.
type Client interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (List, error)
	// Put writes an object if its current version is ifVersion, where 0 means
	// that the object must not exist. It returns the new version, or a
	// *ConflictError.
	Put(ctx context.Context, kind, name string, ifVersion uint64, data []byte) (uint64, error)
	// Delete deletes an object if its current version is ifVersion, and returns
	// the version of the deletion.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error)
	// Watch waits for changes of a kind after a version, or returns ErrTooOld.
	Watch(ctx context.Context, kind string, after uint64) (WatchResult, error)
	// Hosts returns the platform's host list, which may be out of date.
	Hosts(ctx context.Context) ([]Host, error)
}
