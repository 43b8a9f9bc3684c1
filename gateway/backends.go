package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// returnPeriod is how long after an outage of the store a server whose
	// entry ran out may take to register again.
	returnPeriod = 2 * time.Second
	expirePeriod = 100 * time.Millisecond
)

// backends keeps the servers' entries. Entries that run out while the store
// does not answer are kept until their servers had time to register again.
type backends struct {
	set *upstream.Balancer
	log zerolog.Logger

	mu     sync.Mutex
	loaded bool
	down   bool
	// graceUntil is until when a removed entry may come back.
	graceUntil time.Time
	// leaving holds the removed entries and when they are dropped.
	leaving map[string]time.Time
}

func newBackends(set *upstream.Balancer, log zerolog.Logger) *backends {
	return &backends{set: set, log: log, leaving: map[string]time.Time{}}
}

func (b *backends) known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loaded
}

func (b *backends) put(entry routing.Backend, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.leaving, entry.ID)
	b.set.Put(entry, now)
	b.log.Info().Str("event", "backend.entry").Str("backend", entry.ID).Str("service", entry.Service).Str("address", entry.Address).
		Str("zone", entry.Zone).Bool("draining", entry.Draining).Dur("cold_left", entry.ColdRemaining).Send()
}

func (b *backends) remove(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down || now.Before(b.graceUntil) {
		b.leaving[id] = now.Add(returnPeriod)
		b.set.MarkMissing(id)
		b.log.Info().Str("event", "backend.missing").Str("backend", id).Send()
		return
	}
	b.drop(id)
}

func (b *backends) drop(id string) {
	delete(b.leaving, id)
	b.set.Remove(id)
	b.log.Info().Str("event", "backend.gone").Str("backend", id).Send()
}

func (b *backends) reset(all []routing.Backend, now time.Time) {
	named := make(map[string]bool, len(all))
	for _, entry := range all {
		named[entry.ID] = true
		b.put(entry, now)
	}
	for _, id := range b.set.ServerIDs() {
		if !named[id] {
			b.remove(id, now)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
}

func (b *backends) storeLost() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = true
}

func (b *backends) storeRegained(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down, b.graceUntil = false, now.Add(returnPeriod)
}

// expire drops entries that did not come back, until ctx ends.
func (b *backends) expire(ctx context.Context) {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			b.expireAt(now)
		}
	}
}

func (b *backends) expireAt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return
	}
	for id, at := range b.leaving {
		if now.After(at) {
			b.drop(id)
		}
	}
}
