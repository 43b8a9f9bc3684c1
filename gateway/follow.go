package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/routing"
)

// TakeConfiguration puts a configuration in force, unless one at least as new
// is.
func (g *Gateway) TakeConfiguration(c *routing.Configuration) {
	for {
		old := g.configuration.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if g.configuration.CompareAndSwap(old, c) {
			break
		}
	}
	g.upstreams.Configure(c.Services)
	g.clients.setLimits(c.Limits)
	g.log.Info().Str("event", "configuration.in_force").Uint64("version", uint64(c.Version)).Int("services", len(c.Services)).Send()
}

// TakeEvacuation starts or ends the evacuation of a zone.
func (g *Gateway) TakeEvacuation(zone string, on bool) {
	g.upstreams.Evacuate(zone, on, time.Now())
	g.log.Info().Str("event", "evacuation").Str("zone", zone).Bool("on", on).Send()
}

// TakeEvacuations replaces all evacuations.
func (g *Gateway) TakeEvacuations(zones map[string]bool) {
	for _, zone := range g.upstreams.Evacuated() {
		if !zones[zone] {
			g.TakeEvacuation(zone, false)
		}
	}
	for zone := range zones {
		g.TakeEvacuation(zone, true)
	}
}

// TakeBackend takes a backend server's entry.
func (g *Gateway) TakeBackend(b routing.Backend) { g.backends.put(b, time.Now()) }

// TakeBackendGone takes the end of a backend server's entry.
func (g *Gateway) TakeBackendGone(id string) { g.backends.remove(id, time.Now()) }

// TakeBackends replaces all backend servers' entries.
func (g *Gateway) TakeBackends(all []routing.Backend) { g.backends.reset(all, time.Now()) }

// StoreLost and StoreRegained tell whether the platform's store answers.
func (g *Gateway) StoreLost() { g.backends.storeLost() }

// StoreRegained tells that the store answers again.
func (g *Gateway) StoreRegained() { g.backends.storeRegained(time.Now()) }

// Faults returns the servers that failed this daemon's requests lately.
func (g *Gateway) Faults() []upstream.Fault { return g.upstreams.Faults(time.Now()) }

// TakeFaults takes the servers that failed the region's requests lately.
func (g *Gateway) TakeFaults(all []upstream.Fault) {
	doubted, cleared := g.upstreams.TakeFaults(all, time.Now())
	for _, id := range doubted {
		g.log.Info().Str("event", "backend.doubted").Str("backend", id).Int("told", len(all)).Send()
	}
	for _, id := range cleared {
		g.log.Info().Str("event", "backend.cleared").Str("backend", id).Send()
	}
}

const (
	// returnPeriod is how long after an outage of the store a server whose
	// entry ran out may take to register again.
	returnPeriod = 2 * time.Second
	expirePeriod = 100 * time.Millisecond
)

// backends keeps the servers' entries. Entries that run out while the store
// does not answer are kept until their servers had time to register again.
type backends struct {
	set *upstream.Set
	log zerolog.Logger

	mu     sync.Mutex
	loaded bool
	down   bool
	// graceUntil is until when a removed entry may come back.
	graceUntil time.Time
	// leaving holds the removed entries and when they are dropped.
	leaving map[string]time.Time
}

func newBackends(set *upstream.Set, log zerolog.Logger) *backends {
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
		Str("zone", entry.Zone).Bool("draining", entry.Draining).Dur("cold_left", entry.ColdLeft).Send()
}

func (b *backends) remove(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down || now.Before(b.graceUntil) {
		b.leaving[id] = now.Add(returnPeriod)
		b.set.Missing(id)
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
	for _, id := range b.set.IDs() {
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
