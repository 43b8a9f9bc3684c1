package operatorapi

import (
	"encoding/json"
	"errors"
)

// PathAccepted receives an AcceptedChange by POST.
const PathAccepted = "/v1/accepted"

// AcceptedChange notifies a daemon of a change to one catalogue object that
// the platform has accepted.
type AcceptedChange struct {
	// Name is the name of the platform object, such as service.stock-lookup.
	Name string `json:"name"`
	// Version is the version that the platform assigned to the change.
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// ErrInvalidChange is returned for an AcceptedChange that is incomplete or
// contradictory.
var ErrInvalidChange = errors.New("want a name, a version above 0, and either data or deleted")

// Validate returns ErrInvalidChange if the name or version is missing, or if
// there is not exactly one of data and deleted.
func (a AcceptedChange) Validate() error {
	if a.Name == "" || a.Version == 0 || (len(a.Data) == 0) != a.Deleted {
		return ErrInvalidChange
	}
	return nil
}

// InvalidObject is a platform object that daemons skip because it is invalid.
// Its last valid version remains in force.
type InvalidObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// FleetStatus is the status of a daemon within the fleet. It determines what
// the daemon may do on behalf of the fleet.
type FleetStatus struct {
	// Confirmed says that a neighbour has counted the daemon as alive within
	// the heartbeat lease.
	Confirmed bool `json:"confirmed"`
	// Isolated says that the daemon hears from none of its neighbours.
	Isolated bool `json:"isolated"`
	// Superseded says that a later daemon runs under the same host name.
	Superseded bool `json:"superseded,omitempty"`
	// Relay says that the daemon reads from the platform on behalf of the
	// fleet.
	Relay      bool     `json:"relay"`
	Neighbours []string `json:"neighbours"`
}
