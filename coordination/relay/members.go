package relay

import "time"

// ExpiryTracker finds daemon entries that are no longer renewed. It is not safe
// for concurrent use.
type ExpiryTracker struct {
	// ttl is how long an entry remains valid without renewal.
	ttl      time.Duration
	renewals map[string]renewal
}

// renewal is the last observed change of an entry, identified by its revision.
type renewal struct {
	revision int64
	at       time.Time
}

// NewExpiryTracker returns a tracker for entries that expire if they are not
// renewed within ttl.
func NewExpiryTracker(ttl time.Duration) *ExpiryTracker {
	return &ExpiryTracker{ttl: ttl, renewals: map[string]renewal{}}
}

// Observe records the revision of an entry. A new revision counts as a renewal.
func (l *ExpiryTracker) Observe(id string, revision int64, now time.Time) {
	if old, ok := l.renewals[id]; ok && old.revision == revision {
		return
	}
	l.renewals[id] = renewal{revision, now}
}

// Remove removes an entry from the tracker.
func (l *ExpiryTracker) Remove(id string) { delete(l.renewals, id) }

// Expired returns the IDs of the entries that were not renewed in time.
func (l *ExpiryTracker) Expired(now time.Time) []string {
	var ids []string
	for id, r := range l.renewals {
		if now.Sub(r.at) > l.ttl {
			ids = append(ids, id)
		}
	}
	return ids
}
