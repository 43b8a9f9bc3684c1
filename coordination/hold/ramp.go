package hold

import "time"

const (
	// slowStartStep is the time in which the slots of a cold upstream double.
	slowStartStep = 500 * time.Millisecond
	// slowStartDivisor determines the initial share of slots of a cold
	// upstream: a quarter.
	slowStartDivisor = 4
	// slowStartSteps is the number of doublings until all slots are used.
	slowStartSteps = 2
)

// SlowStartSlots returns the number of slots to use on an upstream that became
// usable some time ago. It starts with a part of the slots, so that the
// upstream's caches warm up under partial load.
func SlowStartSlots(slots int, usableFor time.Duration) int {
	steps := int(usableFor / slowStartStep)
	if steps >= slowStartSteps {
		return slots
	}
	return max(1, slots<<steps/slowStartDivisor)
}
