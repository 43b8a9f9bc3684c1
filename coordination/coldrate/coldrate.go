// Package coldrate spreads the request rate that a cold backend server takes
// over the daemons that send to it.
package coldrate

import "time"

// burst is how many requests one daemon saves up. It is the least that lets a
// daemon send at all.
const burst = 1.0

// chancePart is the part of the rate that is used by daemons of which each sends
// less than one request a second, so that those that come together by chance stay
// within one and a half times the rate and a few.
const chancePart = 0.75

// Limiter admits requests to one cold backend server. It is not safe for concurrent use.
type Limiter struct {
	tokens float64
	last   time.Time
}

// Reset starts a cold period. saved is the part of a request that is saved up
// already, evenly spread over the daemons between 0 and 1: they would all send
// their first one at the same moment otherwise.
func (g *Limiter) Reset(saved float64, now time.Time) {
	g.tokens, g.last = saved, now
}

// Ready reports whether the gate would admit a request now.
func (g *Limiter) Ready(rate float64, daemons int, now time.Time) bool {
	g.refill(rate, daemons, now)
	return g.tokens >= 1
}

// Allow takes one request out of a daemon's part of rate, which is the
// requests per second of the whole fleet.
func (g *Limiter) Allow(rate float64, daemons int, now time.Time) bool {
	if !g.Ready(rate, daemons, now) {
		return false
	}
	g.tokens--
	return true
}

// part returns a daemon's requests per second. Where that is less than one, the
// daemons' requests come together by chance.
func part(rate float64, daemons int) float64 {
	own := rate / float64(max(1, daemons))
	if own < 1 {
		own *= chancePart
	}
	return own
}

func (g *Limiter) refill(rate float64, daemons int, now time.Time) {
	if g.last.IsZero() {
		g.last = now
		return
	}
	if elapsed := now.Sub(g.last); elapsed > 0 {
		g.tokens = min(burst, g.tokens+elapsed.Seconds()*part(rate, daemons))
		g.last = now
	}
}
