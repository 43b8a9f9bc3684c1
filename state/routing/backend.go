package routing

import "time"

// Backend is a backend server as it registered itself.
type Backend struct {
	// ID names the backend server; it may start again under the same ID.
	ID string
	// StartedAtMs is the start of this incarnation in Unix milliseconds, or 0.
	StartedAtMs int64
	Service     string
	Address     string
	Zone        string
	Slots       int
	// Draining says that the backend server takes no new requests soon.
	Draining bool
	// ColdRemaining is how much longer it was cold when it registered this.
	ColdRemaining time.Duration
}

// Incarnation names one life of a backend server at one address.
type Incarnation struct {
	ID          string
	StartedAtMs int64
	Address     string
}

// Incarnation returns the life that an entry describes.
func (b Backend) Incarnation() Incarnation {
	return Incarnation{ID: b.ID, StartedAtMs: b.StartedAtMs, Address: b.Address}
}
