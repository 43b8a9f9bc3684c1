package upstream

import (
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/affinity"
	"bilberrytiller.example/tiller/coordination/bodyload"
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
	bodies      bodyload.Service
	// regions holds the slots of, and the expected demand in, each region.
	regions []affinity.Region
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

// updateBaseline recomputes the baseline and the regions' slots if they are due.
func (b *Balancer) updateBaseline(svc *service, now time.Time) {
	if now.Sub(svc.baselineAt) < baselineInterval {
		return
	}
	svc.baselineAt = now
	svc.regions = b.measureRegions(svc)
	var latencies, failures []float64
	for _, srv := range svc.servers {
		if srv.latency > 0 {
			latencies = append(latencies, srv.latency)
		}
		failures = append(failures, srv.failureAverage(now))
	}
	svc.baseline = serviceBaseline{latency: median(latencies), failures: median(failures), regionFailures: svc.regionFailures(now)}
}

// regionFailures returns the median of the servers' failure ratios in the region.
func (svc *service) regionFailures(now time.Time) float64 {
	ratios := make([]float64, 0, len(svc.servers))
	for _, srv := range svc.servers {
		ratios = append(ratios, srv.regionAnswers.failureRatio(now))
	}
	return median(ratios)
}

// measureRegions returns the slots in each region that may be used. Demand is
// expected in proportion to the data centres of the regions.
func (b *Balancer) measureRegions(svc *service) []affinity.Region {
	slots, zones := map[string]float64{}, map[string]float64{}
	for _, srv := range svc.servers {
		if !srv.missing && !srv.availability.Leaves() && !b.evacuated[srv.Zone] {
			slots[srv.region] += float64(srv.slots())
		}
	}
	for _, region := range b.regions {
		zones[region]++
	}
	var all []affinity.Region
	for name, n := range zones {
		all = append(all, affinity.Region{Name: name, Slots: slots[name], Demand: n / float64(len(b.regions))})
	}
	return all
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
