// Package serverlimit divides the request rate that a backend server names as its
// limit among the daemons that send to it.
//
// Each daemon gets the same share, whatever its demand, so that no daemon needs to
// know about the others' requests. The sum over the fleet stays below one and a half
// times the limit in any four seconds, also when requests arrive at all daemons at
// once after a quiet time.
package serverlimit

import "time"

const (
	// minRate is the rate, in requests per second of the whole fleet, that is
	// assumed at least, since a server can only lift its limit in an answer.
	minRate = 0.25
	// maxSaving is the time for which a daemon may save up its share.
	maxSaving = time.Second
	// randomRateFraction is the fraction of a share below one request per second
	// that is used. Requests of different daemons then coincide at random.
	randomRateFraction = 0.75
)

// Limiter admits one daemon's requests to one server. It is not safe for concurrent
// use.
//
// A share of one request per second or more is a token bucket. A smaller one would
// let the bucket of each daemon hold a whole request, which together may be many
// times the limit. Instead, the limiter admits a request with a probability equal to
// the fraction of a request that the daemon has saved up.
type Limiter struct {
	saved float64
	last  time.Time
}

// Reset begins a limit with nothing saved up.
func (l *Limiter) Reset(now time.Time) { l.saved, l.last = 0, now }

// Ready reports whether Allow may admit a request now. rate is the server's limit in
// requests per second, and daemons the number of daemons that share it.
func (l *Limiter) Ready(rate float64, daemons int, now time.Time) bool {
	s := shareOf(rate, daemons)
	l.refill(s, now)
	return s.random && l.saved > 0 || l.saved >= 1
}

// Allow takes one request out of the daemon's share, or returns false. random is a
// number drawn uniformly from [0, 1).
func (l *Limiter) Allow(rate float64, daemons int, random float64, now time.Time) bool {
	s := shareOf(rate, daemons)
	l.refill(s, now)
	if s.random {
		admitted := random < l.saved
		l.saved = 0
		return admitted
	}
	if l.saved < 1 {
		return false
	}
	l.saved--
	return true
}

// Wait returns how long it takes until a request is expected to be admitted.
func (l *Limiter) Wait(rate float64, daemons int, now time.Time) time.Duration {
	s := shareOf(rate, daemons)
	l.refill(s, now)
	return time.Duration(max(0, 1-l.saved) / s.perSecond * float64(time.Second))
}

// share is a daemon's share of a limit.
type share struct {
	// perSecond is in requests, and most the number that may be saved up.
	perSecond, most float64
	random          bool
}

func shareOf(rate float64, daemons int) share {
	perSecond := max(rate, minRate) / float64(max(1, daemons))
	if perSecond >= 1 {
		return share{perSecond: perSecond, most: max(1, perSecond*maxSaving.Seconds())}
	}
	perSecond *= randomRateFraction
	return share{perSecond: perSecond, most: perSecond * maxSaving.Seconds(), random: true}
}

func (l *Limiter) refill(s share, now time.Time) {
	if elapsed := now.Sub(l.last); elapsed > 0 {
		l.saved = min(s.most, l.saved+elapsed.Seconds()*s.perSecond)
		l.last = now
	}
}
