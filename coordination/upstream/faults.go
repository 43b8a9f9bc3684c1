package upstream

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// answerHalfLife is the half-life of counts of answers and failures.
	answerHalfLife = 2 * time.Second
	// regionFailureLimit is the fraction of a server's answers to all daemons
	// of the region that may fail before other servers are preferred. It is
	// lower than failureLimit because it is based on more answers.
	regionFailureLimit = 0.3
	// minRegionAnswers is the number of answers below which the fraction is
	// taken to be 0.
	minRegionAnswers = 4.0
	// minReportedFailures is the number of failures from which a server is
	// reported to other daemons.
	minReportedFailures = 0.5
	// maxReportedServers bounds the number of servers reported to other
	// daemons.
	maxReportedServers = 64
)

// FailureCount is the number of a server's recent answers, and how many of them
// failed. Older answers count less.
type FailureCount struct {
	ID            string
	Failed, Total float64
}

// decayingCount counts answers and failures, with older ones weighted less.
type decayingCount struct {
	failed, total float64
	updated       time.Time
}

// decayed returns the count as of now.
func (c decayingCount) decayed(now time.Time) decayingCount {
	if c.total == 0 {
		return decayingCount{updated: now}
	}
	factor := math.Exp2(-now.Sub(c.updated).Seconds() / answerHalfLife.Seconds())
	return decayingCount{c.failed * factor, c.total * factor, now}
}

// add counts one answer.
func (c *decayingCount) add(failed bool, now time.Time) {
	*c = c.decayed(now)
	c.total++
	if failed {
		c.failed++
	}
}

// failureRatio returns the fraction of the answers that failed, or 0 if there
// are too few answers to tell.
func (c decayingCount) failureRatio(now time.Time) float64 {
	c = c.decayed(now)
	if c.total < minRegionAnswers {
		return 0
	}
	return c.failed / c.total
}

// FailureCounts returns this daemon's counts for the servers that recently
// failed requests of this daemon or of others. The daemons of a region exchange
// these counts because each daemon alone sees too few answers of each of many
// servers.
func (b *Balancer) FailureCounts(now time.Time) []FailureCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []FailureCount
	for id, srv := range b.recentlyFailed {
		local, region := srv.localAnswers.decayed(now), srv.regionAnswers.decayed(now)
		if local.failed < minReportedFailures && region.failed < minReportedFailures && !srv.suspected {
			delete(b.recentlyFailed, id)
			continue
		}
		if local.total > 0 {
			all = append(all, FailureCount{id, local.failed, local.total})
		}
	}
	return TopFailures(all)
}

// TopFailures returns the servers with the most failures, limited to the number
// that is reported to other daemons. It sorts all in place.
func TopFailures(all []FailureCount) []FailureCount {
	slices.SortFunc(all, func(a, b FailureCount) int { return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.ID, b.ID)) })
	return all[:min(maxReportedServers, len(all))]
}

// SetRegionFailures records the failure counts summed over the daemons of the
// region. It returns the servers whose failure ratio has risen above that of the others
// of their service by more than regionFailureLimit, and those for which that is over.
func (b *Balancer) SetRegionFailures(all []FailureCount, now time.Time) (suspected, cleared []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range all {
		if srv := b.servers[f.ID]; srv != nil {
			srv.regionAnswers = decayingCount{f.Failed, f.Total, now}
			b.recentlyFailed[f.ID] = srv
		}
	}
	baselines := map[string]serviceBaseline{}
	for id, srv := range b.recentlyFailed {
		baseline, ok := baselines[srv.Service]
		if !ok {
			baseline.regionFailures = b.services[srv.Service].regionFailures(now)
			baselines[srv.Service] = baseline
		}
		wasSuspected := srv.suspected
		srv.suspected = srv.failsInRegion(baseline, now)
		switch {
		case srv.suspected && !wasSuspected:
			suspected = append(suspected, id)
		case wasSuspected && !srv.suspected:
			cleared = append(cleared, id)
		}
	}
	return suspected, cleared
}
