package quota

import "time"

const (
	// ownPartsFor is how long a daemon hands over its own part with each call.
	ownPartsFor = 1200 * time.Millisecond
	// clockMargin covers the difference in the rates of two clocks over ownPartsFor.
	clockMargin = 10 * time.Millisecond
	// minPartsFor is the shortest time for which parts are handed on.
	minPartsFor = 400 * time.Millisecond
	// restartDelay is how long a new process leaves its own part unused after the end of
	// an earlier process of the host, which may have handed it over.
	restartDelay = ownPartsFor + 100*time.Millisecond
	// countHold is how long a larger number of daemons is remembered. A daemon that is
	// cut off keeps using its part until after its entry has been removed.
	countHold = 15 * time.Minute
	// steadyPeriod is the time over which the least held parts count as steady.
	steadyPeriod = 2 * time.Second
)

// handed are the parts that a child has handed over.
type handed struct {
	parts float64
	until time.Time
}

// holding tracks the parts that a daemon holds.
type holding struct {
	// started is when the process started, and aloneAt when an earlier process of the
	// host, and the daemons that are not counted, had certainly ended.
	started, aloneAt time.Time
	// count is the number of daemons, and listed says whether this one is among them.
	count     int
	listed    bool
	countedAt time.Time
	// releasedAt is when the process learned that no earlier process's part is in use.
	releasedAt time.Time
	children   map[string]handed
	// awayUntil is when the parts that were handed to a parent are back.
	awayUntil time.Time

	// least and previousLeast are the least parts held in this steadyPeriod and the
	// one before.
	least, previousLeast float64
	periodStart          time.Time
}

func (h *holding) setCount(count int, listed bool, now time.Time) {
	h.listed = listed
	if h.count == 0 {
		// Daemons that left just before may have handed over larger parts.
		h.aloneAt = now
	}
	if count >= h.count || now.Sub(h.countedAt) > countHold {
		h.count, h.countedAt = count, now
	}
}

// waits reports whether the process has used no parts yet, since those of an earlier
// process of the host may be in use.
func (h *holding) waits(now time.Time) bool {
	return h.releasedAt.IsZero() && (h.count == 0 || now.Before(h.waitsUntil()))
}

func (h *holding) waitsUntil() time.Time { return h.aloneAt.Add(restartDelay) }

// release ends the wait of a process in a fleet of count daemons.
func (h *holding) release(count int, now time.Time) {
	h.releasedAt = now
	if count > h.count {
		h.count, h.countedAt = count, now
	}
}

// own returns the daemon's own part.
func (h *holding) own(now time.Time) float64 {
	if !h.listed || h.waits(now) {
		return 0
	}
	return 1 / float64(h.count)
}

// held returns the parts from which the daemon may issue units.
func (h *holding) held(now time.Time) float64 {
	parts := 0.0
	if !now.Before(h.awayUntil) {
		parts = h.own(now)
		for from, c := range h.children {
			if !now.Before(c.until) {
				delete(h.children, from)
				continue
			}
			parts += c.parts
		}
	}
	h.observe(parts, now)
	return parts
}

func (h *holding) observe(parts float64, now time.Time) {
	if now.Sub(h.periodStart) >= steadyPeriod {
		h.previousLeast, h.least, h.periodStart = h.least, parts, now
	}
	h.least = min(h.least, parts)
}

// steady returns the parts that were held for at least steadyPeriod.
func (h *holding) steady() float64 { return min(h.least, h.previousLeast) }

// handOver returns the parts to hand to a parent and for how long. It excludes those
// that the daemon itself holds for a short time only.
func (h *holding) handOver(now time.Time) (parts float64, period time.Duration) {
	period = ownPartsFor
	parts = h.own(now)
	for _, c := range h.children {
		left := c.until.Sub(now)
		if left < minPartsFor {
			continue
		}
		parts += c.parts
		period = min(period, left)
	}
	return parts, period
}

// giveAway records that the parts were handed over until the given time.
func (h *holding) giveAway(until time.Time) {
	if until.After(h.awayUntil) {
		h.awayUntil = until
	}
}
