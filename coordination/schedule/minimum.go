package schedule

import (
	"math"
	"time"
)

// guaranteedShare returns the fraction of the slots that is guaranteed to a
// service. If the fractions of all services that the queue has seen add up to
// more than one, they are scaled down.
func (q *Queue) guaranteedShare(c *class) float64 {
	sum := 0.0
	for _, o := range q.classes {
		sum += max(minGuaranteed, o.Guaranteed)
	}
	return max(minGuaranteed, c.Guaranteed) / max(1, sum)
}

// minimumSlots returns the number of slots that is guaranteed to a service. It
// need not be an integer: the service then gets one of its slots for part of
// the time.
func (q *Queue) minimumSlots(c *class) float64 {
	return q.guaranteedShare(c) * float64(q.limits.Slots)
}

// advance updates the credits of all services for the slot time since the last
// call.
func (q *Queue) advance(now time.Time) {
	elapsed := now.Sub(q.advancedAt).Seconds()
	first := q.advancedAt.IsZero()
	if !first && elapsed <= 0 {
		return
	}
	q.advancedAt = now
	if first {
		return
	}
	for _, c := range q.classes {
		q.updateCredit(c, elapsed, now)
	}
}

// updateCredit adds the slot time that a service is below its minimum to its
// credit, or subtracts what it uses beyond the minimum, at most up to the next
// whole slot. An idle service pays off its debt but gathers no credit.
func (q *Queue) updateCredit(c *class, elapsed float64, now time.Time) {
	if c.inUse == 0 && len(c.waiting) == 0 {
		c.credit = min(0, c.credit+q.minimumSlots(c)*elapsed)
		return
	}
	least := q.minimumSlots(c)
	most := math.Ceil(least)
	used := min(float64(c.inUse), most)
	debt := (most - least) * maxDebtRuns * c.serviceTime.value(now).Seconds()
	c.credit += (least - used) * elapsed
	c.credit = min(maxCredit, max(-debt, c.credit))
}

// estimateLatency returns the estimated time until a request of a service that
// arrives now is answered.
func (q *Queue) estimateLatency(c *class, now time.Time) time.Duration {
	serviceTime := c.serviceTime.value(now)
	if q.inUse+q.reserved < q.limits.Slots && q.waiting == 0 {
		return serviceTime
	}
	inTurn := q.workAhead(c, now) / time.Duration(max(1, q.limits.Slots))
	byMinimum := time.Duration(float64(serviceTime) * float64(len(c.waiting)) / q.minimumSlots(c))
	return min(inTurn, byMinimum) + serviceTime
}

// workAhead returns the slot time that is granted before a request that
// arrives now.
func (q *Queue) workAhead(c *class, now time.Time) time.Duration {
	own := q.queuedWork(c.owner, now)
	var sum time.Duration
	for _, o := range q.owners {
		switch {
		case o == c.owner:
			sum += own
		case o.rank < c.Rank:
			sum += q.queuedWork(o, now)
		case o.rank == c.Rank:
			sum += min(q.queuedWork(o, now), own+c.serviceTime.value(now))
		}
	}
	return sum
}

func (q *Queue) queuedWork(o *owner, now time.Time) time.Duration {
	var sum time.Duration
	for _, c := range q.classes {
		if c.owner == o {
			sum += time.Duration(len(c.waiting)) * c.serviceTime.value(now)
		}
	}
	return sum
}

const (
	// meanWeight is the weight of a new sample.
	meanWeight = 0.1
	// meanHalfLife is the age up to which a mean keeps its value, and the time
	// in which it halves after that. Without the decay, an estimate that is
	// too high to let anything run would get no new samples and never be
	// corrected.
	meanHalfLife = 2 * time.Second
)

// decayingMean is a moving average of durations that decays if no samples
// arrive.
type decayingMean struct {
	average time.Duration
	updated time.Time
}

func (m *decayingMean) add(sample time.Duration, now time.Time) {
	if m.updated.IsZero() {
		m.average = sample
	} else {
		m.average += time.Duration(meanWeight * float64(sample-m.average))
	}
	m.updated = now
}

func (m *decayingMean) value(now time.Time) time.Duration {
	age := now.Sub(m.updated)
	if m.average == 0 || age <= meanHalfLife {
		return m.average
	}
	return time.Duration(float64(m.average) * math.Exp2(-float64(age-meanHalfLife)/float64(meanHalfLife)))
}
