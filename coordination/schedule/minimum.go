package schedule

import (
	"math"
	"time"
)

// guaranteed is the fraction of the slots that a service keeps. Fractions
// that add up to more than one are scaled down.
func (q *Queue) guaranteed(c *class) float64 {
	sum := 0.0
	for _, o := range q.classes {
		sum += max(leastGuaranteed, o.Guaranteed)
	}
	return max(leastGuaranteed, c.Guaranteed) / max(1, sum)
}

// minimum is the number of slots that a service keeps. It need not be whole:
// the service then gets a whole slot for a part of the time.
func (q *Queue) minimum(c *class) float64 {
	return q.guaranteed(c) * float64(q.limits.Slots)
}

// advance counts the slot time since the last call towards each service's
// minimum.
func (q *Queue) advance(now time.Time) {
	passed := now.Sub(q.last).Seconds()
	first := q.last.IsZero()
	if !first && passed <= 0 {
		return
	}
	q.last = now
	if first {
		return
	}
	for _, c := range q.classes {
		q.accrue(c, passed, now)
	}
}

func (q *Queue) accrue(c *class, passed float64, now time.Time) {
	if c.inUse == 0 && len(c.waiting) == 0 {
		c.credit = min(0, c.credit+q.minimum(c)*passed)
		return
	}
	least := q.minimum(c)
	most := math.Ceil(least)
	used := min(float64(c.inUse), most)
	debt := (most - least) * debtRuns * c.service.value(now).Seconds()
	c.credit += (least - used) * passed
	c.credit = min(maxCredit, max(-debt, c.credit))
}

// estimate is the time until a request of a service that comes now would be
// answered.
func (q *Queue) estimate(c *class, now time.Time) time.Duration {
	service := c.service.value(now)
	if q.inUse+q.reserved < q.limits.Slots && q.waiting == 0 {
		return service
	}
	inTurn := q.workAhead(c, now) / time.Duration(max(1, q.limits.Slots))
	byMinimum := time.Duration(float64(service) * float64(len(c.waiting)) / q.minimum(c))
	return min(inTurn, byMinimum) + service
}

// workAhead is the slot time that is granted before a request that comes now.
func (q *Queue) workAhead(c *class, now time.Time) time.Duration {
	own := q.workOf(c.owner, now)
	var sum time.Duration
	for _, o := range q.owners {
		switch {
		case o == c.owner:
			sum += own
		case o.rank < c.Rank:
			sum += q.workOf(o, now)
		case o.rank == c.Rank:
			sum += min(q.workOf(o, now), own+c.service.value(now))
		}
	}
	return sum
}

func (q *Queue) workOf(o *owner, now time.Time) time.Duration {
	var sum time.Duration
	for _, c := range q.classes {
		if c.owner == o {
			sum += time.Duration(len(c.waiting)) * c.service.value(now)
		}
	}
	return sum
}

const (
	// meanWeight is the weight of a new sample.
	meanWeight = 0.1
	// meanHalfLife is the time in which a mean without samples halves, so
	// that an estimate that lets nothing run is tried again.
	meanHalfLife = 2 * time.Second
)

// mean is a moving mean of durations that loses weight with age.
type mean struct {
	held    time.Duration
	updated time.Time
}

func (m *mean) add(sample time.Duration, now time.Time) {
	if m.updated.IsZero() {
		m.held = sample
	} else {
		m.held += time.Duration(meanWeight * float64(sample-m.held))
	}
	m.updated = now
}

func (m *mean) value(now time.Time) time.Duration {
	age := now.Sub(m.updated)
	if m.held == 0 || age <= meanHalfLife {
		return m.held
	}
	return time.Duration(float64(m.held) * math.Exp2(-float64(age-meanHalfLife)/float64(meanHalfLife)))
}
