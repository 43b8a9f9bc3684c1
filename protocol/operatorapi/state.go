package operatorapi

import (
	"encoding/json"
	"errors"
)

// PathAccepted takes an Accepted by POST.
const PathAccepted = "/v1/accepted"

// Accepted tells a daemon of a change of one catalogue object that the
// platform has accepted.
type Accepted struct {
	// Name names the platform's object, such as service.stock-lookup.
	Name string `json:"name"`
	// Version is the version that the platform gave the change.
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// ErrNotAccepted says that an Accepted names no accepted change.
var ErrNotAccepted = errors.New("want a name, a version above 0, and either data or deleted")

// Check returns ErrNotAccepted if something is missing.
func (a Accepted) Check() error {
	if a.Name == "" || a.Version == 0 || (len(a.Data) == 0) != a.Deleted {
		return ErrNotAccepted
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

// Standing says what a daemon may do for the fleet.
type Standing struct {
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
