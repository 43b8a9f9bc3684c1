package gateway

import (
	"time"

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
