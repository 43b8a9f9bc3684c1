package relay

import "time"

// Lapses tells which daemons' entries are no longer renewed. It is not safe
// for concurrent use.
type Lapses struct {
	// after is how long an entry stands without being renewed.
	after time.Duration
	seen  map[string]renewal
}

// renewal is the last change of an entry that was seen, by its revision.
type renewal struct {
	revision int64
	at       time.Time
}

// NewLapses returns the lapses of entries that are not renewed for as long as
// after.
func NewLapses(after time.Duration) *Lapses {
	return &Lapses{after: after, seen: map[string]renewal{}}
}

// Seen records an entry at a revision.
func (l *Lapses) Seen(id string, revision int64, now time.Time) {
	if old, ok := l.seen[id]; ok && old.revision == revision {
		return
	}
	l.seen[id] = renewal{revision, now}
}

// Gone forgets an entry.
func (l *Lapses) Gone(id string) { delete(l.seen, id) }

// Lapsed returns the entries that were not renewed in time.
func (l *Lapses) Lapsed(now time.Time) []string {
	var ids []string
	for id, r := range l.seen {
		if now.Sub(r.at) > l.after {
			ids = append(ids, id)
		}
	}
	return ids
}
