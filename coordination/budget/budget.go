// Package budget bounds the repeated sends of a whole fleet.
//
// In each window a service may get as many repeats as a ratio of the requests
// for it, and a fixed slack, summed over all daemons. Each daemon keeps the
// ratio over its own requests and an equal part of the slack, so that the sum
// holds without any message.
package budget

import (
	"sync"
	"time"
)

// steps is the number of parts that a window is counted in.
const steps = 20

// margin is the part of the bound that is used. The rest covers what windows
// counted in parts and daemons that restart leave out.
const margin = 0.85

// Limits are the fleet's bound on repeats.
type Limits struct {
	// Window is the span over which repeats are counted.
	Window time.Duration
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Slack is the repeats allowed besides, for the whole fleet.
	Slack float64
}

// Budget counts the requests and repeats of each service. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	services map[string]*window
}

type window struct {
	requests, repeats [steps]int
	step              int64
}

// New returns a budget within limits.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, services: map[string]*window{}}
}

// SetLimits replaces the limits. Another window begins empty.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits.Window != b.limits.Window {
		clear(b.services)
	}
	b.limits = limits
}

// RecordRequest counts a client's request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.at(service, now)
	w.requests[i]++
}

// AllowRetry takes one repeated send out of the budget of a service, or reports
// that there is none. daemons is the number of daemons that share the slack.
func (b *Budget) AllowRetry(service string, daemons int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.at(service, now)
	allowed := margin * (b.limits.Ratio*float64(sum(w.requests)) + b.limits.Slack/float64(max(1, daemons)))
	if float64(sum(w.repeats)+1) > allowed {
		return false
	}
	w.repeats[i]++
	return true
}

// at returns the window of a service, moved up to now, and the current step.
func (b *Budget) at(service string, now time.Time) (*window, int) {
	step := now.UnixNano() / int64(b.limits.Window/steps)
	w := b.services[service]
	if w == nil {
		w = &window{step: step}
		b.services[service] = w
	}
	if step-w.step >= steps {
		*w = window{step: step}
	}
	for w.step < step {
		w.step++
		w.requests[w.step%steps], w.repeats[w.step%steps] = 0, 0
	}
	return w, int(w.step % steps)
}

func sum(counts [steps]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
