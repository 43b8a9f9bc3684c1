package feed

import "time"

const (
	// readBudget is the time that a daemon has to notice that its copy is too old
	// and to read the store: relayCheckInterval, a connection and a response from
	// another region, and one repetition.
	readBudget = 500 * time.Millisecond
	// transferBudget is the time that the store's response to a watch and its way
	// through the relays may take.
	transferBudget = 300 * time.Millisecond
	// minWatchTimeout is the shortest wait of a watch, whatever the bound.
	minWatchTimeout = 200 * time.Millisecond
)

// watchTimeout returns how long a watch waits for a change. The store confirms a
// copy only when a watch ends. Without changes, a copy becomes as old as this wait,
// the pause between watches and transferBudget together, which must stay below
// maxRelayedAge.
func (s Subscription) watchTimeout() time.Duration {
	return max(min(s.MaxWatchTimeout, s.maxRelayedAge()-watchInterval-transferBudget), minWatchTimeout)
}

// maxRelayedAge returns the age of the copy at which a daemon reads the store
// although a relay replies, so that the read ends before MaxAge.
func (s Subscription) maxRelayedAge() time.Duration {
	return max(s.MaxAge-readBudget, s.MaxAge/2)
}

// isSupplied reports whether a relay supplies a kind and the copy is young enough
// to leave reading the store to it. While a reply is arriving, a read of the store would
// only delay it.
func (r *Replica) isSupplied(sub Subscription, now time.Time) bool {
	age, hasCopy := r.cache.Age(sub.Kind, now)
	if !hasCopy {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReceiving(now) {
		return age <= sub.MaxAge
	}
	return age <= sub.maxRelayedAge() && now.Before(r.relayedUntil[sub.Kind])
}

// isReceiving reports whether the reply of a relay is arriving, which a call that outlasts
// its time for a reply waits for. The caller holds r.mu.
func (r *Replica) isReceiving(now time.Time) bool {
	return !r.polledSince.IsZero() && now.Sub(r.polledSince) > relayReplyTimeout
}

// setPolledSince records when the current call to a relay began, or that it ended.
func (r *Replica) setPolledSince(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polledSince = at
}

// setSupplied records that a relay supplies a kind, or that it does not.
func (r *Replica) setSupplied(kind string, supplied bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayedUntil[kind] = time.Time{}
	if supplied {
		r.relayedUntil[kind] = time.Now().Add(relayReplyTimeout)
		r.unconfirmed[kind] = false
	}
}
