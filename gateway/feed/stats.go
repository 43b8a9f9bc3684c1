package feed

import (
	"sync/atomic"
	"time"
)

// storeSource is the source of an update that came from the store.
const storeSource = "store"

// stats counts what a replica received.
type stats struct {
	storeBytes, relayBytes       atomic.Int64
	storeFailures, relayFailures atomic.Int64
}

// Stats is what a replica received since its start.
type Stats struct {
	// StoreBytes and RelayBytes are the sizes of the objects received from the store and
	// from relays.
	StoreBytes int64 `json:"store_bytes"`
	RelayBytes int64 `json:"relay_bytes"`
	// StoreFailures and RelayFailures count the calls that failed, or whose data was too
	// old to use. Those of a waiting watch count too.
	StoreFailures int64 `json:"store_failures"`
	RelayFailures int64 `json:"relay_failures"`
}

// Stats returns what the replica received since its start.
func (r *Replica) Stats() Stats {
	s := &r.stats
	return Stats{s.storeBytes.Load(), s.relayBytes.Load(), s.storeFailures.Load(), s.relayFailures.Load()}
}

func (s *stats) addReceived(u update) {
	if u.source == storeSource {
		s.storeBytes.Add(u.size())
		return
	}
	s.relayBytes.Add(u.size())
}

// size returns the number of bytes of the objects.
func (u update) size() int64 {
	n := 0
	for _, o := range u.objects {
		n += len(o.Spec)
	}
	for _, e := range u.events {
		n += len(e.Object.Spec)
	}
	return int64(n)
}

// logUpdate logs an update with the age that the copy had before.
func (r *Replica) logUpdate(sub Subscription, u update, age time.Duration) {
	if !sub.LogUpdates {
		return
	}
	r.log.Info().Str("event", "copy.updated").Str("kind", sub.Kind).Str("source", u.source).Int64("revision", u.to.Revision).
		Bool("full", u.full).Int("changes", len(u.events)).Int64("bytes", u.size()).Dur("age_ms", age).Dur("took_ms", time.Since(u.called)).Send()
}
