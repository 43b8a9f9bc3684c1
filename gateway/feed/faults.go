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

// Faults are where a daemon's view of failing servers comes from and goes to.
type Faults struct {
	// Own returns what the daemon saw itself.
	Own func() []upstream.Fault
	// Take takes what all daemons of the region saw.
	Take func([]upstream.Fault)
}

// regionFaults sums what the daemons of a region saw of servers: each reports to
// its relay what it and those below it saw, and the first one's sum comes back
// with the answers.
type regionFaults struct {
	ends Faults

	mu      sync.Mutex
	reports map[string]faultReport
	region  faultReport
}

type faultReport struct {
	faults []wire.ServerFault
	at     time.Time
}

func newRegionFaults(ends Faults) *regionFaults {
	return &regionFaults{ends: ends, reports: map[string]faultReport{}}
}

// reported takes what a daemon that asks this one saw.
func (r *regionFaults) reported(from string, faults []wire.ServerFault, now time.Time) {
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
func (r *regionFaults) below(now time.Time) []wire.ServerFault {
	sum := map[string]upstream.Fault{}
	for _, f := range r.ends.Own() {
		sum[f.ID] = f
	}
	r.mu.Lock()
	for _, report := range r.reports {
		if now.Sub(report.at) > faultsAge {
			continue
		}
		for _, f := range report.faults {
			known := sum[f.ID]
			sum[f.ID] = upstream.Fault{ID: f.ID, Failed: known.Failed + f.Failed, Total: known.Total + f.Total}
		}
	}
	r.mu.Unlock()
	all := make([]upstream.Fault, 0, len(sum))
	for _, f := range sum {
		all = append(all, f)
	}
	var told []wire.ServerFault
	for _, f := range upstream.MostFailed(all) {
		told = append(told, wire.ServerFault(f))
	}
	return told
}

// learned takes the region's sum from a relay.
func (r *regionFaults) learned(faults []wire.ServerFault, now time.Time) {
	r.mu.Lock()
	r.region = faultReport{faults, now}
	r.mu.Unlock()
	r.take(faults)
}

// forRegion returns the region's sum for those that ask this daemon. Without a
// relay that is its own one, which it takes itself.
func (r *regionFaults) forRegion(now time.Time) []wire.ServerFault {
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

func (r *regionFaults) take(faults []wire.ServerFault) {
	all := make([]upstream.Fault, 0, len(faults))
	for _, f := range faults {
		all = append(all, upstream.Fault(f))
	}
	r.ends.Take(all)
}
