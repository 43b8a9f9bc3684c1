// Package shift limits how fast a service's traffic may move between regions.
//
// Time is divided into steps. In each step a region may receive its current
// share of the traffic plus a small fraction. At the end of the step the
// shares move towards the traffic measured in it, by at most that fraction; a
// step without traffic leaves them unchanged. Traffic therefore moves and
// returns gradually, and a preference that oscillates moves it little. If each
// daemon keeps its own requests within the cap, the whole fleet does.
package shift

import "time"

const (
	// StepDuration is the length of a step, StepsPerMinute the number of steps
	// in a minute.
	StepDuration   = 5 * time.Second
	StepsPerMinute = int(time.Minute / StepDuration)
	// maxCredit is the largest credit that a region can accumulate, in
	// requests.
	maxCredit = 1.0
)

// Tracker tracks the traffic of one service at one daemon. It is not safe for
// concurrent use.
type Tracker struct {
	// maxShift is the largest fraction of the traffic that may move in a step.
	maxShift  float64
	stepStart time.Time
	shares    map[string]float64
	// credits holds the number of requests that each region may still receive.
	// A region without positive credit has to wait for the next Accrue.
	credits map[string]float64
	// spent holds the requests that each region received in this step, of accruals ones.
	spent       map[string]int
	accruals    int
	served      map[string]int
	servedTotal int
}

// NewTracker returns a tracker whose traffic initially all goes to the home
// region. The cap is the fraction of the traffic that may move in a minute.
func NewTracker(home string, capPerMinute float64, now time.Time) *Tracker {
	return &Tracker{
		maxShift: capPerMinute / float64(StepsPerMinute), stepStart: now,
		shares: map[string]float64{home: 1}, credits: map[string]float64{}, spent: map[string]int{}, served: map[string]int{},
	}
}

// SetCap changes the fraction of the traffic that may move in a minute.
func (t *Tracker) SetCap(capPerMinute float64) { t.maxShift = capPerMinute / float64(StepsPerMinute) }

// Accrue adds the credit for one request, which is to be placed in one of the
// given regions. It ends the current step when its time has passed.
func (t *Tracker) Accrue(now time.Time, regions []string) {
	if now.Sub(t.stepStart) >= StepDuration {
		t.endStep(now)
	}
	for _, region := range regions {
		if _, known := t.shares[region]; !known {
			t.shares[region] = 0
		}
	}
	t.accruals++
	for region, share := range t.shares {
		t.credits[region] = min(t.credits[region]+share+t.maxShift, maxCredit)
	}
}

// Allowed reports whether a region may receive a request. Credit above the largest is lost,
// so that no region may have any. Then the one may that is furthest below what it may
// receive in the step.
func (t *Tracker) Allowed(region string) bool {
	if t.credits[region] > 0 {
		return true
	}
	for other, credit := range t.credits {
		if credit > 0 || t.excess(other) < t.excess(region) {
			return false
		}
	}
	return true
}

// excess returns how many requests more a region received in this step than it may. The sum
// over all regions is 0 or less, since each request counts once and raises what each may
// receive by its share, and the shares add up to 1.
func (t *Tracker) excess(region string) float64 {
	return float64(t.spent[region]) - float64(t.accruals)*(t.shares[region]+t.maxShift)
}

// Spend deducts one request from a region's credit.
func (t *Tracker) Spend(region string) {
	t.credits[region]--
	t.spent[region]++
}

// RecordServed counts a request that a region has answered. The shares are
// measured from answered requests only, because a failing region receives
// requests but serves none.
func (t *Tracker) RecordServed(region string) {
	t.served[region]++
	t.servedTotal++
}

// Share returns a region's share of the traffic, as a fraction.
func (t *Tracker) Share(region string) float64 { return t.shares[region] }

// endStep moves the shares towards the traffic measured in the step, by at
// most maxShift in total.
func (t *Tracker) endStep(now time.Time) {
	t.stepStart, t.accruals = now, 0
	clear(t.spent)
	if t.servedTotal == 0 {
		return
	}
	shifted := 0.0
	for region, share := range t.shares {
		shifted += max(0, t.measuredShare(region)-share)
	}
	scale := 1.0
	if shifted > t.maxShift {
		scale = t.maxShift / shifted
	}
	for region, share := range t.shares {
		t.shares[region] = share + scale*(t.measuredShare(region)-share)
	}
	clear(t.served)
	t.servedTotal = 0
}

func (t *Tracker) measuredShare(region string) float64 {
	return float64(t.served[region]) / float64(t.servedTotal)
}
