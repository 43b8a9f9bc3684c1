package gateway

import (
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/routing"
)

// ApplyConfiguration puts a configuration in force, unless one at least as new
// is.
func (g *Gateway) ApplyConfiguration(c *routing.Configuration) {
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

// SetEvacuation starts or ends the evacuation of a zone.
func (g *Gateway) SetEvacuation(zone string, on bool) {
	g.upstreams.SetEvacuated(zone, on, time.Now())
	g.log.Info().Str("event", "evacuation").Str("zone", zone).Bool("on", on).Send()
}

// ReplaceEvacuations replaces all evacuations.
func (g *Gateway) ReplaceEvacuations(zones map[string]bool) {
	for _, zone := range g.upstreams.EvacuatedZones() {
		if !zones[zone] {
			g.SetEvacuation(zone, false)
		}
	}
	for zone := range zones {
		g.SetEvacuation(zone, true)
	}
}

// PutBackend takes a backend server's entry.
func (g *Gateway) PutBackend(b routing.Backend) { g.backends.put(b, time.Now()) }

// RemoveBackend takes the end of a backend server's entry.
func (g *Gateway) RemoveBackend(id string) { g.backends.remove(id, time.Now()) }

// ReplaceBackends replaces all backend servers' entries.
func (g *Gateway) ReplaceBackends(all []routing.Backend) { g.backends.reset(all, time.Now()) }

// SetStoreUnavailable and StoreRegained tell whether the platform's store answers.
func (g *Gateway) SetStoreUnavailable() { g.backends.storeLost() }

// SetStoreAvailable tells that the store answers again.
func (g *Gateway) SetStoreAvailable() { g.backends.storeRegained(time.Now()) }

// BackendFailures returns the servers that failed this daemon's requests lately.
func (g *Gateway) BackendFailures() []upstream.FailureCount {
	return g.upstreams.FailureCounts(time.Now())
}

// ApplyBackendFailures takes the servers that failed the region's requests lately.
func (g *Gateway) ApplyBackendFailures(all []upstream.FailureCount) {
	doubted, cleared := g.upstreams.SetRegionFailures(all, time.Now())
	for _, id := range doubted {
		g.log.Info().Str("event", "backend.doubted").Str("backend", id).Int("told", len(all)).Send()
	}
	for _, id := range cleared {
		g.log.Info().Str("event", "backend.cleared").Str("backend", id).Send()
	}
}
