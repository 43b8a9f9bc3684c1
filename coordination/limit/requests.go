package limit

import "time"

// RequestPolicy returns the policy of a limit on requests in flight whose
// callers wait for at most maxWait. A backend server that begins a request just
// before the caller stops waiting may still work on it for as long again, so
// that a use lasts up to twice that time.
func RequestPolicy(maxWait time.Duration) UsePolicy {
	return UsePolicy{MaxDuration: 2 * maxWait, ExplicitRelease: true}
}

// RequestEnd returns until when a request may be in flight, given the deadline
// until which its caller waits. Its unit is released then if the outcome is
// still unknown.
func (p UsePolicy) RequestEnd(deadline time.Time) time.Time {
	return deadline.Add(p.MaxDuration / 2)
}
