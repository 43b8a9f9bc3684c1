package upstream

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// sharedHalfLife is how soon counts of failures fall to half.
	sharedHalfLife = 2 * time.Second
	// sharedLimit is the part of a server's answers to all daemons of a region
	// that may fail before other servers are used. It is lower than faultLimit,
	// since it is of more answers.
	sharedLimit = 0.3
	// sharedTotal is the number of answers from which that part is known.
	sharedTotal = 4.0
	// leastFailed is the number of failures from which others are told of them.
	leastFailed = 0.5
	// maxShared bounds the servers that others are told of.
	maxShared = 64
)

// FailureCount is how many of a server's latest answers failed, and of how many.
type FailureCount struct {
	ID            string
	Failed, Total float64
}

// tally counts answers, the older ones less.
type tally struct {
	failed, total float64
	at            time.Time
}

// decayed returns the tally as it counts now.
func (t tally) decayed(now time.Time) tally {
	if t.total == 0 {
		return tally{at: now}
	}
	left := math.Exp2(-now.Sub(t.at).Seconds() / sharedHalfLife.Seconds())
	return tally{t.failed * left, t.total * left, now}
}

// count adds an answer.
func (t *tally) count(failed bool, now time.Time) {
	*t = t.decayed(now)
	t.total++
	if failed {
		t.failed++
	}
}

// part returns the part of the answers that failed, or 0 if they are too few to
// tell.
func (t tally) part(now time.Time) float64 {
	t = t.decayed(now)
	if t.total < sharedTotal {
		return 0
	}
	return t.failed / t.total
}

// FailureCounts returns the servers that failed requests lately, of this daemon or of
// others, as this one saw them. It is for the other daemons of the region: each
// alone sees too little of many servers.
func (s *Balancer) FailureCounts(now time.Time) []FailureCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []FailureCount
	for id, srv := range s.failing {
		own, shared := srv.answers.decayed(now), srv.shared.decayed(now)
		if own.failed < leastFailed && shared.failed < leastFailed && !srv.doubted {
			delete(s.failing, id)
			continue
		}
		if own.total > 0 {
			all = append(all, FailureCount{id, own.failed, own.total})
		}
	}
	return TopFailures(all)
}

// TopFailures returns the servers with the most failures, as many as are told.
func TopFailures(all []FailureCount) []FailureCount {
	slices.SortFunc(all, func(a, b FailureCount) int { return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.ID, b.ID)) })
	return all[:min(maxShared, len(all))]
}

// SetRegionFailures takes the servers that failed requests of the region's daemons. It
// returns those that others are used instead of from now on, and those that are
// no longer among them.
func (s *Balancer) SetRegionFailures(all []FailureCount, now time.Time) (doubted, cleared []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range all {
		if srv := s.servers[f.ID]; srv != nil {
			srv.shared = tally{f.Failed, f.Total, now}
			s.failing[f.ID] = srv
		}
	}
	for id, srv := range s.failing {
		was := srv.doubted
		srv.doubted = srv.shared.part(now) > sharedLimit
		switch {
		case srv.doubted && !was:
			doubted = append(doubted, id)
		case was && !srv.doubted:
			cleared = append(cleared, id)
		}
	}
	return doubted, cleared
}
