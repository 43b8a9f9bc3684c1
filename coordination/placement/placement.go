// Package placement decides which upstream runs a request.
package placement

import (
	"cmp"
	"slices"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/state/catalogue"
)

// Load is the latest known load of an upstream.
type Load struct {
	// InUse is the number of slots in use, Waiting of requests in the queue.
	InUse   int
	Waiting int
}

// Candidate is an upstream that may run a request.
type Candidate struct {
	Upstream *catalogue.Upstream
	// Distance is 0 in the own data centre, 1 in the own region, 2 beyond.
	Distance int
	Load     Load
}

// Upstreams returns the upstreams that may run a request of a service, best
// first.
func Upstreams(set *catalogue.Set, self membership.Member, service string, load func(upstream string) Load) []Candidate {
	var out []Candidate
	for _, u := range set.Upstreams(service) {
		if set.Leaving(u) {
			continue
		}
		distance := distanceOf(self, u.DataCentre, set.RegionOf(u.DataCentre))
		out = append(out, Candidate{Upstream: u, Distance: distance, Load: load(u.Name)})
	}
	slices.SortStableFunc(out, compare)
	return out
}

func compare(a, b Candidate) int {
	if c := cmp.Compare(a.busy(), b.busy()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Distance, b.Distance); c != 0 {
		return c
	}
	return cmp.Compare(a.utilisation(), b.utilisation())
}

// busy is 1 for an upstream with no free slot.
func (c Candidate) busy() int {
	if c.Load.InUse+c.Load.Waiting >= c.Upstream.Slots {
		return 1
	}
	return 0
}

func (c Candidate) utilisation() float64 {
	return float64(c.Load.InUse+c.Load.Waiting) / float64(c.Upstream.Slots)
}

func distanceOf(self membership.Member, dataCentre, region string) int {
	switch {
	case dataCentre == self.DataCentre:
		return 0
	case region == self.Region:
		return 1
	}
	return 2
}
