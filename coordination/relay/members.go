package relay

import (
	"maps"
	"time"

	"bilberrytiller.example/tiller/coordination/objects"
)

// ExpiryTracker finds daemon entries that are no longer renewed. It is not safe
// for concurrent use.
type ExpiryTracker struct {
	// ttl is how long an entry remains valid without renewal.
	ttl      time.Duration
	renewals map[string]renewal
	// suspended is the latest time at which renewals may have been missed.
	suspended time.Time
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

// Position returns the position of an entry's last change, or the zero position if the
// entry is unknown.
func (t *ExpiryTracker) Position(id string) objects.Position { return t.renewals[id].position }

// Remove removes an entry from the tracker.
func (t *ExpiryTracker) Remove(id string) { delete(t.renewals, id) }

// Retain removes the entries for which keep returns false.
func (t *ExpiryTracker) Retain(keep func(id string) bool) {
	maps.DeleteFunc(t.renewals, func(id string, _ renewal) bool { return !keep(id) })
}

// Suspend records that renewals up to now may not have been observed or made. No entry
// expires within the next ttl.
func (t *ExpiryTracker) Suspend(now time.Time) { t.suspended = now }

// Expired returns the IDs of the entries that were not renewed in time.
func (t *ExpiryTracker) Expired(now time.Time) []string {
	if now.Sub(t.suspended) <= t.ttl {
		return nil
	}
	var ids []string
	for id, r := range t.renewals {
		if now.Sub(r.at) > t.ttl {
			ids = append(ids, id)
		}
	}
	return ids
}
