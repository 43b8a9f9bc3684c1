// Package coldrate spreads the request rate that a cold backend server takes
// over the daemons that send to it.
package coldrate

import "time"

// burst is how many requests one daemon saves up. It is the least that lets a
// daemon send at all.
const burst = 1.0

// Gate admits requests to one cold backend server. It is not safe for concurrent use.
type Gate struct {
	tokens float64
	last   time.Time
}

// Ready reports whether the gate would admit a request now.
func (g *Gate) Ready(rate float64, daemons int, now time.Time) bool {
	g.refill(rate, daemons, now)
	return g.tokens >= 1
}

// Admit takes one request out of a daemon's part of rate, which is the
// requests per second of the whole fleet.
func (g *Gate) Admit(rate float64, daemons int, now time.Time) bool {
	if !g.Ready(rate, daemons, now) {
		return false
	}
	g.tokens--
	return true
}

func (g *Gate) refill(rate float64, daemons int, now time.Time) {
	if g.last.IsZero() {
		g.last = now
		return
	}
	if elapsed := now.Sub(g.last); elapsed > 0 {
		g.tokens = min(burst, g.tokens+elapsed.Seconds()*rate/float64(max(1, daemons)))
		g.last = now
	}
}
