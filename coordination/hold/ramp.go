package hold

import "time"

const (
	// rampStep is the time in which a cold upstream's slots double.
	rampStep = 500 * time.Millisecond
	// rampStart is the part of its slots that a cold upstream starts with.
	rampStart = 4
	// maxRampSteps ends the ramp.
	maxRampSteps = 2
)

// SlowStartSlots returns the slots to use of an upstream that became usable some time
// ago, so that its caches warm up under part of its load.
func SlowStartSlots(slots int, usable time.Duration) int {
	steps := int(usable / rampStep)
	if steps >= maxRampSteps {
		return slots
	}
	return max(1, slots<<steps/rampStart)
}
