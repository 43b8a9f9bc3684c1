package overload

import (
	"math"
	"time"
)

const (
	// guaranteedShare is the guaranteed minimum of a rank as a fraction of the
	// average share served.
	guaranteedShare = 0.4
	// shareHalfLife is the half-life of the counts of requests.
	shareHalfLife = 3 * time.Second
	// minCounted is the least number of requests of a rank from which its share
	// is known.
	minCounted = 2.0
	// minOffered is the least number of requests of all ranks from which the fraction of
	// each is known.
	minOffered = 10.0
)

// Shares counts which share of the requests of each rank is sent. The zero value
// is ready for use. It is not safe for concurrent use.
type Shares struct {
	at            time.Time
	offered, sent []float64
}

// decay ages the counts and makes room for the given number of ranks.
func (s *Shares) decay(positions int, now time.Time) {
	for len(s.offered) < positions {
		s.offered, s.sent = append(s.offered, 0), append(s.sent, 0)
	}
	if now.After(s.at) {
		factor := math.Exp2(-now.Sub(s.at).Seconds() / shareHalfLife.Seconds())
		for i := range s.offered {
			s.offered[i] *= factor
			s.sent[i] *= factor
		}
		s.at = now
	}
}

// Record counts a request by its position and whether it was sent.
func (s *Shares) Record(position, positions int, sent bool, now time.Time) {
	s.decay(positions, now)
	s.offered[position]++
	if sent {
		s.sent[position]++
	}
}

// Demand returns the fraction of all requests that was offered at each position, or
// nothing if there were too few.
func (s *Shares) Demand(positions int, now time.Time) []float64 {
	s.decay(positions, now)
	total := 0.0
	for _, offered := range s.offered {
		total += offered
	}
	if total < minOffered {
		return nil
	}
	demand := make([]float64, len(s.offered))
	for i, offered := range s.offered {
		demand[i] = offered / total
	}
	return demand
}

// BelowMinimum reports whether the requests at a position are sent less than the
// guaranteed minimum.
func (s *Shares) BelowMinimum(position, positions int, now time.Time) bool {
	s.decay(positions, now)
	if s.offered[position] < minCounted {
		return false
	}
	offered, sent := 0.0, 0.0
	for i := range s.offered {
		offered += s.offered[i]
		sent += s.sent[i]
	}
	return s.sent[position]/s.offered[position] < guaranteedShare*sent/offered
}
