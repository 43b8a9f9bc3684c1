package feed

import (
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/protocol/wire"
)

// failureReportTTL is how long a failure report is used. A daemon reports with
// each call to its relay, so an older report comes from a daemon that now calls
// another relay.
const failureReportTTL = time.Second

// FailureHooks connect the exchange of failure counts to the daemon's own view
// of failing servers.
type FailureHooks struct {
	// Local returns the failure counts observed by this daemon.
	Local func() []upstream.FailureCount
	// ApplyRegional applies the failure counts summed over all daemons of the
	// region.
	ApplyRegional func([]upstream.FailureCount)
}

// regionalFailures sums the server failures observed by the daemons of a
// region. Each daemon reports the sum for itself and the daemons below it in
// the relay tree to its relay. The sum at the region's root is passed down with
// the replies.
type regionalFailures struct {
	hooks FailureHooks

	mu        sync.Mutex
	reports   map[string]failureReport
	fromRelay failureReport
}

type failureReport struct {
	counts     []wire.ServerFailures
	receivedAt time.Time
}

func newRegionalFailures(hooks FailureHooks) *regionalFailures {
	return &regionalFailures{hooks: hooks, reports: map[string]failureReport{}}
}

// recordReport stores the counts reported by a daemon that calls this one.
func (r *regionalFailures) recordReport(from string, counts []wire.ServerFailures, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports[from] = failureReport{counts, now}
	for name, old := range r.reports {
		if now.Sub(old.receivedAt) > failureReportTTL {
			delete(r.reports, name)
		}
	}
}

// subtreeTotal returns the sum of the counts of this daemon and of the daemons
// that call it, limited to the servers that upstream.TopFailures selects.
func (r *regionalFailures) subtreeTotal(now time.Time) []wire.ServerFailures {
	sum := map[string]upstream.FailureCount{}
	for _, f := range r.hooks.Local() {
		sum[f.ID] = f
	}
	r.mu.Lock()
	for _, report := range r.reports {
		if now.Sub(report.receivedAt) > failureReportTTL {
			continue
		}
		for _, f := range report.counts {
			previous := sum[f.ID]
			sum[f.ID] = upstream.FailureCount{ID: f.ID, Failed: previous.Failed + f.Failed, Total: previous.Total + f.Total}
		}
	}
	r.mu.Unlock()
	all := make([]upstream.FailureCount, 0, len(sum))
	for _, f := range sum {
		all = append(all, f)
	}
	var counts []wire.ServerFailures
	for _, f := range upstream.TopFailures(all) {
		counts = append(counts, wire.ServerFailures(f))
	}
	return counts
}

// recordRegionTotal stores and applies the region's sum received from a relay.
func (r *regionalFailures) recordRegionTotal(counts []wire.ServerFailures, now time.Time) {
	r.mu.Lock()
	r.fromRelay = failureReport{counts, now}
	r.mu.Unlock()
	r.apply(counts)
}

// regionTotal returns the region's sum for the daemons that call this one.
// Without a recent sum from a relay, it is the sum of this daemon's subtree,
// which is then also applied locally.
func (r *regionalFailures) regionTotal(now time.Time) []wire.ServerFailures {
	r.mu.Lock()
	latest := r.fromRelay
	r.mu.Unlock()
	if now.Sub(latest.receivedAt) <= failureReportTTL {
		return latest.counts
	}
	total := r.subtreeTotal(now)
	r.apply(total)
	return total
}

func (r *regionalFailures) apply(counts []wire.ServerFailures) {
	all := make([]upstream.FailureCount, 0, len(counts))
	for _, f := range counts {
		all = append(all, upstream.FailureCount(f))
	}
	r.hooks.ApplyRegional(all)
}
