// Package shift decides how fast a service's traffic may move between
// regions.
//
// Time runs in steps. In each step a region may get its share of before and a
// little more; what the step's traffic really did becomes the share of the
// next, by no more than that little. A step without traffic changes nothing.
// So traffic moves gradually, goes back the same way, and a choice that swings
// to and fro moves it little. Each daemon keeps the cap for its own requests;
// then the fleet keeps it.
package shift

import "time"

const (
	// StepDuration is the length of a step, StepsPerMinute the number in a minute.
	StepDuration   = 5 * time.Second
	StepsPerMinute = int(time.Minute / StepDuration)
	// maxCredit bounds what a region saves up, in requests.
	maxCredit = 1.0
)

// Tracker follows the traffic of one service at one daemon. It is not safe
// for concurrent use.
type Tracker struct {
	// step is the fraction of traffic that may move in a step.
	step  float64
	start time.Time
	share map[string]float64
	// credit is how many requests a region may get before the next.
	credit map[string]float64
	served map[string]int
	total  int
}

// NewTracker returns a tracker of traffic that all goes to the home region.
// The cap is the fraction that may move in a minute.
func NewTracker(home string, capPerMinute float64, now time.Time) *Tracker {
	return &Tracker{
		step: capPerMinute / float64(StepsPerMinute), start: now,
		share: map[string]float64{home: 1}, credit: map[string]float64{}, served: map[string]int{},
	}
}

// SetCap changes the cap.
func (t *Tracker) SetCap(capPerMinute float64) { t.step = capPerMinute / float64(StepsPerMinute) }

// Accrue counts a request that is to be placed in one of the regions.
func (t *Tracker) Accrue(now time.Time, regions []string) {
	if now.Sub(t.start) >= StepDuration {
		t.endStep(now)
	}
	for _, region := range regions {
		if _, known := t.share[region]; !known {
			t.share[region] = 0
		}
	}
	for region, share := range t.share {
		t.credit[region] = min(t.credit[region]+share+t.step, maxCredit)
	}
}

// Allowed reports whether a region may get a request.
func (t *Tracker) Allowed(region string) bool { return t.credit[region] > 0 }

// Spend spends what allows a region one request.
func (t *Tracker) Spend(region string) { t.credit[region]-- }

// RecordServed counts a request that a region has answered. Only these show where
// the traffic is: a region that fails gets requests and serves none.
func (t *Tracker) RecordServed(region string) {
	t.served[region]++
	t.total++
}

// Share returns the fraction of traffic that a region has.
func (t *Tracker) Share(region string) float64 { return t.share[region] }

// endStep moves the shares towards the traffic of the step.
func (t *Tracker) endStep(now time.Time) {
	t.start = now
	if t.total == 0 {
		return
	}
	moved := 0.0
	for region, share := range t.share {
		moved += max(0, t.measured(region)-share)
	}
	part := 1.0
	if moved > t.step {
		part = t.step / moved
	}
	for region, share := range t.share {
		t.share[region] = share + part*(t.measured(region)-share)
	}
	clear(t.served)
	t.total = 0
}

func (t *Tracker) measured(region string) float64 {
	return float64(t.served[region]) / float64(t.total)
}
