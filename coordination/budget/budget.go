// Package budget bounds the retries of the whole fleet.
//
// In each window, the retries of a service, summed over all daemons, are
// limited to a ratio of its requests plus a fixed slack. Each daemon applies
// the ratio to its own requests and uses an equal share of the slack, so that
// the limit holds without communication between daemons.
package budget

import (
	"sync"
	"time"
)

// bucketCount is the number of buckets that a window is divided into.
const bucketCount = 20

// usedFraction is the fraction of the limit that is used. The rest makes up for
// what counting in buckets and restarts of daemons leave out.
const usedFraction = 0.85

// Limits bounds the retries of the whole fleet.
type Limits struct {
	// Window is the time over which retries are counted.
	Window time.Duration
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed in addition, for the whole fleet.
	Slack float64
}

// Budget counts the requests and retries of each service. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	services map[string]*window
}

type window struct {
	requests, retries [bucketCount]int
	// bucket is the number of the current bucket, counted from the Unix epoch.
	bucket int64
}

// New returns a budget with the given limits.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, services: map[string]*window{}}
}

// SetLimits replaces the limits. A change of the window resets all counts.
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
	w, i := b.current(service, now)
	w.requests[i]++
}

// AllowRetry takes one retry out of the budget of a service, or returns false
// if the budget is used up. daemons is the number of daemons that share the
// slack.
func (b *Budget) AllowRetry(service string, daemons int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.current(service, now)
	allowed := usedFraction * (b.limits.Ratio*float64(sum(w.requests)) + b.limits.Slack/float64(max(1, daemons)))
	if float64(sum(w.retries)+1) > allowed {
		return false
	}
	w.retries[i]++
	return true
}

// current returns the window of a service, advanced to now, and the index of
// its current bucket.
func (b *Budget) current(service string, now time.Time) (*window, int) {
	bucket := now.UnixNano() / int64(b.limits.Window/bucketCount)
	w := b.services[service]
	if w == nil {
		w = &window{bucket: bucket}
		b.services[service] = w
	}
	if bucket-w.bucket >= bucketCount {
		*w = window{bucket: bucket}
	}
	for w.bucket < bucket {
		w.bucket++
		w.requests[w.bucket%bucketCount], w.retries[w.bucket%bucketCount] = 0, 0
	}
	return w, int(w.bucket % bucketCount)
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
