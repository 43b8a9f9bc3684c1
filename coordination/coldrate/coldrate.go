// Package coldrate divides the request rate that a cold backend server accepts
// among the daemons that send to it.
package coldrate

import "time"

// burst is the number of requests that one daemon may save up. It is the least
// that lets a daemon send at all.
const burst = 1.0

// lowRateFraction is the fraction of the rate that is used when each daemon's
// share is less than one request per second. Requests of different daemons then
// coincide at random, and the fraction keeps them within 1.5 times the rate
// plus a few.
const lowRateFraction = 0.75

// Limiter is a token bucket that admits requests to one cold backend server. It
// is not safe for concurrent use.
type Limiter struct {
	tokens float64
	last   time.Time
}

// Reset starts a cold period with a fraction of a request saved up. Callers
// must spread initialTokens evenly over the daemons between 0 and 1, since
// otherwise all daemons would send their first request at the same moment.
func (l *Limiter) Reset(initialTokens float64, now time.Time) {
	l.tokens, l.last = initialTokens, now
}

// Ready reports whether Allow would admit a request now.
func (l *Limiter) Ready(rate float64, daemons int, now time.Time) bool {
	l.refill(rate, daemons, now)
	return l.tokens >= 1
}

// Allow takes one request out of this daemon's share of rate, or returns false.
// rate is the number of requests per second of the whole fleet.
func (l *Limiter) Allow(rate float64, daemons int, now time.Time) bool {
	if !l.Ready(rate, daemons, now) {
		return false
	}
	l.tokens--
	return true
}

// daemonRate returns a daemon's share of the rate in requests per second. A
// share below one is reduced, because requests of different daemons then
// coincide at random.
func daemonRate(rate float64, daemons int) float64 {
	perDaemon := rate / float64(max(1, daemons))
	if perDaemon < 1 {
		perDaemon *= lowRateFraction
	}
	return perDaemon
}

func (l *Limiter) refill(rate float64, daemons int, now time.Time) {
	if l.last.IsZero() {
		l.last = now
		return
	}
	if elapsed := now.Sub(l.last); elapsed > 0 {
		l.tokens = min(burst, l.tokens+elapsed.Seconds()*daemonRate(rate, daemons))
		l.last = now
	}
}
