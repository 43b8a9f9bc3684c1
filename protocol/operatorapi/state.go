package operatorapi

import (
	"encoding/json"
	"errors"
)

// PathAccepted takes an Accepted by POST.
const PathAccepted = "/v1/accepted"

// AcceptedChange tells a daemon of a change of one catalogue object that the
// platform has accepted.
type AcceptedChange struct {
	// Name names the platform's object, such as service.stock-lookup.
	Name string `json:"name"`
	// Version is the version that the platform gave the change.
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// ErrInvalidChange says that an Accepted names no accepted change.
var ErrInvalidChange = errors.New("want a name, a version above 0, and either data or deleted")

// Validate returns ErrNotAccepted if something is missing.
func (a AcceptedChange) Validate() error {
	if a.Name == "" || a.Version == 0 || (len(a.Data) == 0) != a.Deleted {
		return ErrInvalidChange
	}
	return nil
}

// InvalidObject is an object of the platform that daemons skip. The last
// valid version of it stays in force.
type InvalidObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// FleetStatus says what a daemon may do for the fleet.
type FleetStatus struct {
	// Confirmed says that a neighbour has counted the daemon among the living
	// within the heartbeat lease.
	Confirmed bool `json:"confirmed"`
	// Isolated says that the daemon hears none of its neighbours.
	Isolated bool `json:"isolated"`
	// Superseded says that a later daemon runs under the host's name.
	Superseded bool `json:"superseded,omitempty"`
	// Relay says that the daemon reads from the platform for the fleet.
	Relay      bool     `json:"relay"`
	Neighbours []string `json:"neighbours"`
}
