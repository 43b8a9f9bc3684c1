package relay

import (
	"time"

	"bilberrytiller.example/tiller/coordination/objects"
)

// ExpiryTracker finds daemon entries that are no longer renewed. It is not safe
// for concurrent use.
type ExpiryTracker struct {
	// ttl is how long an entry remains valid without renewal.
	ttl      time.Duration
	renewals map[string]renewal
}

// renewal is the last observed change of an entry, identified by its position.
type renewal struct {
	position objects.Position
	at       time.Time
}

// NewExpiryTracker returns a tracker for entries that expire if they are not
// renewed within ttl.
func NewExpiryTracker(ttl time.Duration) *ExpiryTracker {
	return &ExpiryTracker{ttl: ttl, renewals: map[string]renewal{}}
}

// Observe records the position of an entry's last change. A new position counts as
// a renewal; so does a new era, since the store may have lost the renewals before.
func (t *ExpiryTracker) Observe(id string, position objects.Position, now time.Time) {
	if old, ok := t.renewals[id]; ok && old.position == position {
		return
	}
	t.renewals[id] = renewal{position, now}
}

// Remove removes an entry from the tracker.
func (t *ExpiryTracker) Remove(id string) { delete(t.renewals, id) }

// Expired returns the IDs of the entries that were not renewed in time.
func (t *ExpiryTracker) Expired(now time.Time) []string {
	var ids []string
	for id, r := range t.renewals {
		if now.Sub(r.at) > t.ttl {
			ids = append(ids, id)
		}
	}
	return ids
}
