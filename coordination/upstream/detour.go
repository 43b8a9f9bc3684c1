package upstream

import (
	"time"

	"bilberrytiller.example/tiller/coordination/affinity"
	"bilberrytiller.example/tiller/state/routing"
)

// detourStep is the precision to which round trips between regions are used, so
// that the daemons of a region agree in spite of small differences.
const detourStep = 5 * time.Millisecond

// ServerToMeasure returns a server of another region to which the round trip is
// unknown, or false if there is none.
func (b *Balancer) ServerToMeasure(now time.Time) (routing.Backend, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, srv := range b.servers {
		if srv.region == b.locality.Region || b.roundTrips[srv.region] > 0 || !srv.availability.Check(0, now).Allowed {
			continue
		}
		return srv.Backend, true
	}
	return routing.Backend{}, false
}

// RecordRoundTrip records the time that it took to connect to a server.
func (b *Balancer) RecordRoundTrip(id string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if srv := b.servers[id]; srv != nil {
		srv.recordRoundTrip(d)
		b.recordRegionRoundTrip(srv.region, d)
	}
}

// recordRegionRoundTrip keeps the shortest round trip, since delays only add to
// it.
func (b *Balancer) recordRegionRoundTrip(region string, d time.Duration) {
	if old := b.roundTrips[region]; d > 0 && (old == 0 || d < old) {
		b.roundTrips[region] = d
	}
}

// localityOf returns how much of a route's objects should stay in the daemon's
// region.
func (b *Balancer) localityOf(route *routing.Route) float64 {
	if route == nil {
		return 0
	}
	var detour time.Duration
	for region, d := range b.roundTrips {
		if region != b.locality.Region && (detour == 0 || d < detour) {
			detour = d
		}
	}
	return affinity.Locality(detour.Round(detourStep), route.LatencyObjective)
}
