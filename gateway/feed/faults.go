package feed

import (
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/protocol/wire"
)

// faultsAge is how long a report of servers' failures is used. A daemon reports
// with each call to its relay, so an older one is of a daemon that asks another
// one now.
const faultsAge = time.Second

// FailureHooks are where a daemon's view of failing servers comes from and goes to.
type FailureHooks struct {
	// Local returns what the daemon saw itself.
	Local func() []upstream.FailureCount
	// ApplyRegional takes what all daemons of the region saw.
	ApplyRegional func([]upstream.FailureCount)
}

// regionFaults sums what the daemons of a region saw of servers: each reports to
// its relay what it and those below it saw, and the first one's sum comes back
// with the answers.
type regionFaults struct {
	ends FailureHooks

	mu      sync.Mutex
	reports map[string]faultReport
	region  faultReport
}

type faultReport struct {
	faults []wire.ServerFailures
	at     time.Time
}

func newRegionFaults(ends FailureHooks) *regionFaults {
	return &regionFaults{ends: ends, reports: map[string]faultReport{}}
}

// reported takes what a daemon that asks this one saw.
func (r *regionFaults) reported(from string, faults []wire.ServerFailures, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports[from] = faultReport{faults, now}
	for name, old := range r.reports {
		if now.Sub(old.at) > faultsAge {
			delete(r.reports, name)
		}
	}
}

// below returns the sum of what this daemon and those that ask it saw.
func (r *regionFaults) below(now time.Time) []wire.ServerFailures {
	sum := map[string]upstream.FailureCount{}
	for _, f := range r.ends.Local() {
		sum[f.ID] = f
	}
	r.mu.Lock()
	for _, report := range r.reports {
		if now.Sub(report.at) > faultsAge {
			continue
		}
		for _, f := range report.faults {
			known := sum[f.ID]
			sum[f.ID] = upstream.FailureCount{ID: f.ID, Failed: known.Failed + f.Failed, Total: known.Total + f.Total}
		}
	}
	r.mu.Unlock()
	all := make([]upstream.FailureCount, 0, len(sum))
	for _, f := range sum {
		all = append(all, f)
	}
	var told []wire.ServerFailures
	for _, f := range upstream.TopFailures(all) {
		told = append(told, wire.ServerFailures(f))
	}
	return told
}

// learned takes the region's sum from a relay.
func (r *regionFaults) learned(faults []wire.ServerFailures, now time.Time) {
	r.mu.Lock()
	r.region = faultReport{faults, now}
	r.mu.Unlock()
	r.take(faults)
}

// forRegion returns the region's sum for those that ask this daemon. Without a
// relay that is its own one, which it takes itself.
func (r *regionFaults) forRegion(now time.Time) []wire.ServerFailures {
	r.mu.Lock()
	region := r.region
	r.mu.Unlock()
	if now.Sub(region.at) <= faultsAge {
		return region.faults
	}
	below := r.below(now)
	r.take(below)
	return below
}

func (r *regionFaults) take(faults []wire.ServerFailures) {
	all := make([]upstream.FailureCount, 0, len(faults))
	for _, f := range faults {
		all = append(all, upstream.FailureCount(f))
	}
	r.ends.ApplyRegional(all)
}
