package gateway

import (
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/routing"
)

// ApplyConfiguration puts a configuration in force, unless the current one is
// at least as new.
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
	g.balancer.Configure(c.Services)
	g.balancer.ConfigureRanks(c)
	g.clients.setLimits(c.Limits)
	g.applyQuotas(c)
	g.organisationUse.keep(c.Organisations())
	g.log.Info().Str("event", "configuration.in_force").Uint64("version", uint64(c.Version)).Int("services", len(c.Services)).Send()
}

// SetConfigurationAge sets the function that returns how long ago the
// configuration was known to be current. It is for logs, and must be set before
// Run.
func (g *Gateway) SetConfigurationAge(age func() time.Duration) { g.configurationAge = age }

// SetStoreEra sets the function that returns the era of the platform's store. It is
// for the metrics, and must be set before Run.
func (g *Gateway) SetStoreEra(era func() int64) { g.storeEra = era }

// SetFeedStats sets the function that returns what the daemon received for its copies of the
// platform's objects. It is for the metrics, and must be set before Run.
func (g *Gateway) SetFeedStats(stats func() any) { g.feedStats = stats }

// SetEvacuation starts or ends the evacuation of a zone.
func (g *Gateway) SetEvacuation(zone string, on bool) {
	g.balancer.SetEvacuated(zone, on, time.Now())
	g.log.Info().Str("event", "evacuation").Str("zone", zone).Bool("on", on).Send()
}

// ReplaceEvacuations replaces the set of evacuated zones.
func (g *Gateway) ReplaceEvacuations(zones map[string]bool) {
	for _, zone := range g.balancer.EvacuatedZones() {
		if !zones[zone] {
			g.SetEvacuation(zone, false)
		}
	}
	for zone := range zones {
		g.SetEvacuation(zone, true)
	}
}

// PutBackend adds or updates the entry of a backend server.
func (g *Gateway) PutBackend(b routing.Backend) { g.backends.put(b, time.Now()) }

// RemoveBackend removes the entry of a backend server. During a store outage
// and shortly after it, the server stays in use until it has had time to
// register again.
func (g *Gateway) RemoveBackend(id string) { g.backends.remove(id, time.Now()) }

// ReplaceBackends replaces the entries of all backend servers.
func (g *Gateway) ReplaceBackends(all []routing.Backend) { g.backends.replaceAll(all, time.Now()) }

// SetStoreUnavailable records that the platform's store does not answer. From
// then on, entries that expire are kept.
func (g *Gateway) SetStoreUnavailable() { g.backends.setStoreUnavailable() }

// SetStoreAvailable records that the platform's store answers again.
func (g *Gateway) SetStoreAvailable() { g.backends.setStoreAvailable(time.Now()) }

// BackendFailures returns the recent failure counts of backend servers as
// observed by this daemon.
func (g *Gateway) BackendFailures() []upstream.FailureCount {
	return g.balancer.FailureCounts(time.Now())
}

// ApplyBackendFailures applies the recent failure counts of backend servers in
// the whole region.
func (g *Gateway) ApplyBackendFailures(all []upstream.FailureCount) {
	doubted, cleared := g.balancer.SetRegionFailures(all, time.Now())
	for _, id := range doubted {
		g.log.Info().Str("event", "backend.doubted").Str("backend", id).Int("told", len(all)).Send()
	}
	for _, id := range cleared {
		g.log.Info().Str("event", "backend.cleared").Str("backend", id).Send()
	}
}
