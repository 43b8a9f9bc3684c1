package routing

import "time"

// Backend is a backend server as it registered itself.
type Backend struct {
	// ID identifies the backend server. A restarted server may use the same ID.
	ID string
	// StartedAtMs is the start time of this incarnation in Unix milliseconds,
	// or 0 if the server registered none.
	StartedAtMs int64
	Service     string
	Address     string
	Zone        string
	Slots       int
	// Draining is set when the backend server will soon stop accepting new
	// requests.
	Draining bool
	// ColdRemaining is how much longer the server was going to be cold at the
	// time of this registration.
	ColdRemaining time.Duration
}

// Incarnation identifies one run of a backend server process at one address.
type Incarnation struct {
	ID          string
	StartedAtMs int64
	Address     string
}

// Incarnation returns the incarnation that b describes.
func (b Backend) Incarnation() Incarnation {
	return Incarnation{ID: b.ID, StartedAtMs: b.StartedAtMs, Address: b.Address}
}
