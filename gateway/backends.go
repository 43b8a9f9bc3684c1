package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// reregisterTimeout is how long after a store outage a backend server whose
	// entry expired may take to register again.
	reregisterTimeout = 2 * time.Second
	// expiryInterval is the time between checks for kept entries to drop.
	expiryInterval = 100 * time.Millisecond
)

// backendRegistry applies the entries of backend servers to the balancer. An
// entry that expires while the store is unavailable is kept until its server
// has had time to register again.
type backendRegistry struct {
	balancer *upstream.Balancer
	log      zerolog.Logger

	mu        sync.Mutex
	loaded    bool
	storeDown bool
	// graceUntil is the time until which a removed entry is kept, because its
	// server may register again.
	graceUntil time.Time
	// pendingRemoval maps the ID of each removed entry that is still kept to the
	// time at which it is dropped.
	pendingRemoval map[string]time.Time
}

func newBackendRegistry(balancer *upstream.Balancer, log zerolog.Logger) *backendRegistry {
	return &backendRegistry{balancer: balancer, log: log, pendingRemoval: map[string]time.Time{}}
}

func (b *backendRegistry) isLoaded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loaded
}

func (b *backendRegistry) put(entry routing.Backend, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pendingRemoval, entry.ID)
	b.balancer.Put(entry, now)
	b.log.Info().Str("event", "backend.entry").Str("backend", entry.ID).Str("service", entry.Service).Str("address", entry.Address).
		Str("zone", entry.Zone).Bool("draining", entry.Draining).Dur("cold_left", entry.ColdRemaining).Send()
}

func (b *backendRegistry) remove(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.storeDown || now.Before(b.graceUntil) {
		b.pendingRemoval[id] = now.Add(reregisterTimeout)
		b.balancer.MarkMissing(id)
		b.log.Info().Str("event", "backend.missing").Str("backend", id).Send()
		return
	}
	b.drop(id, now)
}

func (b *backendRegistry) drop(id string, now time.Time) {
	delete(b.pendingRemoval, id)
	b.balancer.Remove(id, now)
	b.log.Info().Str("event", "backend.gone").Str("backend", id).Send()
}

func (b *backendRegistry) replaceAll(all []routing.Backend, now time.Time) {
	listed := make(map[string]bool, len(all))
	for _, entry := range all {
		listed[entry.ID] = true
		b.put(entry, now)
	}
	for _, id := range b.balancer.ServerIDs() {
		if !listed[id] {
			b.remove(id, now)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
}

func (b *backendRegistry) setStoreUnavailable() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeDown = true
}

func (b *backendRegistry) setStoreAvailable(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeDown, b.graceUntil = false, now.Add(reregisterTimeout)
}

// runExpiry drops the kept entries whose servers did not register again, until
// ctx ends.
func (b *backendRegistry) runExpiry(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			b.removeExpired(now)
		}
	}
}

func (b *backendRegistry) removeExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.storeDown || now.Before(b.graceUntil) {
		return
	}
	for id, at := range b.pendingRemoval {
		if now.After(at) {
			b.drop(id, now)
		}
	}
}

const (
	// roundTripInterval is how often the daemon checks whether the round trip to
	// each other region is known.
	roundTripInterval = 100 * time.Millisecond
	// roundTripRetryDelay is the pause after a region could not be reached.
	roundTripRetryDelay = time.Second
)

// measureRoundTrips measures the round trip to each other region once servers
// there are known, until ctx ends. Where objects are served depends on it, so it
// must be known before the first requests.
func (g *Gateway) measureRoundTrips(ctx context.Context) {
	for ctx.Err() == nil {
		b, ok := g.balancer.ServerToMeasure(time.Now())
		if !ok {
			sleep.For(ctx, roundTripInterval)
			continue
		}
		d, err := g.upstreamClient.Warm(ctx, b.Address)
		if err != nil {
			g.log.Info().Str("event", "region.unmeasured").Str("backend", b.ID).Err(err).Send()
			sleep.For(ctx, roundTripRetryDelay)
			continue
		}
		g.balancer.RecordRoundTrip(b.ID, d)
	}
}
