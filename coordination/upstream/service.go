package upstream

import (
	"slices"
	"time"
)

const (
	// usualPeriod is how often the averages of a service are worked out.
	usualPeriod = 200 * time.Millisecond
	// slowerWeight and fasterWeight are the weights of a latency above and below
	// the estimate of work on cold objects, which only few of them show.
	slowerWeight = 0.3
	fasterWeight = 0.01
)

// service holds the servers of one service.
type service struct {
	servers []*server
	usual   average
	usualAt time.Time
	cold    coldWork
}

// mostlyMissing reports whether so many entries are gone that the store has
// rather lost them than their servers left.
func (v *service) mostlyMissing() bool {
	missing := 0
	for _, srv := range v.servers {
		if srv.missing {
			missing++
		}
	}
	return missing*2 > len(v.servers)
}

// refresh works out what is usual among the service's servers.
func (v *service) refresh(now time.Time) {
	if now.Sub(v.usualAt) < usualPeriod {
		return
	}
	v.usualAt = now
	var latencies, faults, shared []float64
	for _, srv := range v.servers {
		if srv.latency > 0 {
			latencies = append(latencies, srv.latency)
		}
		faults = append(faults, srv.faultAverage(now))
		shared = append(shared, srv.shared.part(now))
	}
	v.usual = average{latency: median(latencies), faults: median(faults), shared: median(shared)}
}

// median returns the middle one of numbers, or 0 if there is none.
func median(numbers []float64) float64 {
	if len(numbers) == 0 {
		return 0
	}
	slices.Sort(numbers)
	return numbers[len(numbers)/2]
}

// coldWork estimates the time that work on a cold object takes.
type coldWork struct{ seconds float64 }

// take takes the latency of an answer that did not wait in a queue.
func (c *coldWork) take(latency time.Duration) {
	if latency <= 0 {
		return
	}
	if c.seconds == 0 {
		c.seconds = latency.Seconds()
	}
	weight := fasterWeight
	if latency.Seconds() > c.seconds {
		weight = slowerWeight
	}
	c.seconds += weight * (latency.Seconds() - c.seconds)
}

// average is what is usual among the servers of a service: half of them are
// better.
type average struct {
	// latency is in seconds.
	latency float64
	// faults is the part of the answers that failed, shared that of the answers
	// to all daemons of the region.
	faults, shared float64
}
