package relay

import "time"

// ExpiryTracker tells which daemons' entries are no longer renewed. It is not safe
// for concurrent use.
type ExpiryTracker struct {
	// after is how long an entry stands without being renewed.
	after time.Duration
	seen  map[string]renewal
}

// renewal is the last change of an entry that was seen, by its revision.
type renewal struct {
	revision int64
	at       time.Time
}

// NewExpiryTracker returns the lapses of entries that are not renewed for as long as
// after.
func NewExpiryTracker(after time.Duration) *ExpiryTracker {
	return &ExpiryTracker{after: after, seen: map[string]renewal{}}
}

// Observe records an entry at a revision.
func (l *ExpiryTracker) Observe(id string, revision int64, now time.Time) {
	if old, ok := l.seen[id]; ok && old.revision == revision {
		return
	}
	l.seen[id] = renewal{revision, now}
}

// Remove forgets an entry.
func (l *ExpiryTracker) Remove(id string) { delete(l.seen, id) }

// Expired returns the entries that were not renewed in time.
func (l *ExpiryTracker) Expired(now time.Time) []string {
	var ids []string
	for id, r := range l.seen {
		if now.Sub(r.at) > l.after {
			ids = append(ids, id)
		}
	}
	return ids
}
