package upstream

import (
	"slices"
	"time"
)

const (
	// baselineInterval is how often the baseline of a service is recomputed.
	baselineInterval = 200 * time.Millisecond
	// coldSlowerWeight and coldFasterWeight are the weights of a latency above
	// and below the estimated latency of cold objects. Only a few answers are
	// for cold objects, so lower latencies have little weight.
	coldSlowerWeight = 0.3
	coldFasterWeight = 0.01
)

// service holds the servers of one service and their statistics.
type service struct {
	servers     []*server
	baseline    serviceBaseline
	baselineAt  time.Time
	coldLatency coldLatency
}

// mostlyMissing reports whether more than half of the service's entries are
// gone. The store is then more likely to have lost the entries than the servers
// are to have left.
func (svc *service) mostlyMissing() bool {
	missing := 0
	for _, srv := range svc.servers {
		if srv.missing {
			missing++
		}
	}
	return missing*2 > len(svc.servers)
}

// updateBaseline recomputes the baseline if it is due.
func (svc *service) updateBaseline(now time.Time) {
	if now.Sub(svc.baselineAt) < baselineInterval {
		return
	}
	svc.baselineAt = now
	var latencies, failures, regionFailures []float64
	for _, srv := range svc.servers {
		if srv.latency > 0 {
			latencies = append(latencies, srv.latency)
		}
		failures = append(failures, srv.failureAverage(now))
		regionFailures = append(regionFailures, srv.regionAnswers.failureRatio(now))
	}
	svc.baseline = serviceBaseline{latency: median(latencies), failures: median(failures), regionFailures: median(regionFailures)}
}

// median returns the median of numbers, or 0 if there are none. It sorts
// numbers in place.
func median(numbers []float64) float64 {
	if len(numbers) == 0 {
		return 0
	}
	slices.Sort(numbers)
	return numbers[len(numbers)/2]
}

// coldLatency estimates the time that a server takes to serve a cold object.
type coldLatency struct{ seconds float64 }

// observe updates the estimate with the latency of an answer that did not wait
// in a queue.
func (c *coldLatency) observe(latency time.Duration) {
	if latency <= 0 {
		return
	}
	if c.seconds == 0 {
		c.seconds = latency.Seconds()
	}
	weight := coldFasterWeight
	if latency.Seconds() > c.seconds {
		weight = coldSlowerWeight
	}
	c.seconds += weight * (latency.Seconds() - c.seconds)
}

// serviceBaseline holds the medians over the servers of a service.
type serviceBaseline struct {
	// latency is in seconds.
	latency float64
	// failures is the failure average, regionFailures the fraction of failed
	// answers to all daemons of the region.
	failures, regionFailures float64
}
