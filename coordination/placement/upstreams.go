package placement

import (
	"cmp"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/state/catalogue"
)

const (
	// maxLoadAge is the age beyond which a load is treated as unknown.
	maxLoadAge = 2 * time.Second
	// regionDelay is the one-way network delay between data centres of a
	// region.
	regionDelay = 500 * time.Microsecond
	// defaultLinkDelay is the one-way network delay between regions without a
	// link entry.
	defaultLinkDelay = 20 * time.Millisecond
	// costResolution is the unit to which costs are rounded down before they
	// are compared, since smaller differences do not matter.
	costResolution = time.Millisecond
)

// Load is the latest known load of an upstream.
type Load struct {
	// InUse is the number of slots in use, Waiting the number of queued
	// requests.
	InUse   int
	Waiting int
	// ServiceTime is the mean time that the upstream takes to answer.
	ServiceTime time.Duration
	// Connected is true if connections to the upstream are open.
	Connected bool
	// Failing is true if the upstream or its holder could not be reached.
	Failing bool
	// UpdatedAt is when the load was received or measured.
	UpdatedAt time.Time
}

// isCurrent reports whether the load is recent enough to rely on.
func (l Load) isCurrent(now time.Time) bool { return now.Sub(l.UpdatedAt) <= maxLoadAge }

// Candidate is an upstream that may run a request.
type Candidate struct {
	Upstream *catalogue.Upstream
	// Distance is 0 in the daemon's own data centre, 1 elsewhere in its region
	// and 2 in other regions.
	Distance int
	Load     Load
	// Cost is the expected network round-trip time plus the expected time in
	// the queue.
	Cost time.Duration
	// failing is 1 for an upstream to try last, unconnected is 1 for one
	// without open connections.
	failing, unconnected int
	loadKnown            bool
	queueWait            time.Duration
	// tieBreak is a random number that orders candidates that are otherwise
	// equal.
	tieBreak int
}

// Inputs holds the inputs to ranking the upstreams of a service.
type Inputs struct {
	Set     *catalogue.Set
	Self    membership.Member
	Service string
	Load    func(upstream string) Load
	Now     time.Time
	// Random returns a random number in [0, n).
	Random func(n int) int
}

// RankUpstreams returns the upstreams that may run a request of a service, best
// first. Daemons with the same information choose differently among equal
// upstreams: the first one is the less utilised of two chosen at random.
func RankUpstreams(in Inputs) []Candidate {
	var out []Candidate
	for _, u := range in.Set.Upstreams(in.Service) {
		if !in.Set.UpstreamDraining(u) {
			out = append(out, in.candidate(u))
		}
	}
	mean := meanWait(out)
	for i := range out {
		c := &out[i]
		if !c.loadKnown {
			c.queueWait = mean
		}
		c.Cost += c.queueWait
		c.tieBreak = in.Random(len(out))
	}
	slices.SortStableFunc(out, compare)
	preferLessUtilised(out)
	return out
}

func (in *Inputs) candidate(u *catalogue.Upstream) Candidate {
	region := in.Set.RegionOf(u.DataCentre)
	c := Candidate{Upstream: u, Distance: distanceOf(in.Self, u.DataCentre, region), Load: in.Load(u.Name)}
	if c.Load.isCurrent(in.Now) {
		c.loadKnown = true
		c.queueWait = c.expectedWait()
		c.failing = boolToInt(c.Load.Failing)
	}
	c.unconnected = boolToInt(!c.Load.Connected)
	c.Cost = 2 * in.delay(c.Distance, region)
	return c
}

// meanWait returns the mean of the known waits. An upstream whose load is
// missing or out of date is assumed to be as busy as the others.
func meanWait(list []Candidate) time.Duration {
	var sum time.Duration
	count := 0
	for i := range list {
		if list[i].loadKnown {
			sum += list[i].queueWait
			count++
		}
	}
	return sum / time.Duration(max(1, count))
}

// expectedWait returns the time that a request is expected to spend in the
// queue, given the known load.
func (c *Candidate) expectedWait() time.Duration {
	ahead := c.Load.InUse + c.Load.Waiting + 1 - c.Upstream.Slots
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * max(costResolution, c.Load.ServiceTime) / time.Duration(c.Upstream.Slots)
}

func (in *Inputs) delay(distance int, region string) time.Duration {
	switch distance {
	case 0:
		return 0
	case 1:
		return regionDelay
	}
	if link := in.Set.Link(in.Self.Region, region); link != nil {
		return time.Duration(link.Delay)
	}
	return defaultLinkDelay
}

func compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(a.failing, b.failing),
		cmp.Compare(a.Cost/costResolution, b.Cost/costResolution),
		cmp.Compare(a.unconnected, b.unconnected),
		cmp.Compare(a.tieBreak, b.tieBreak),
	)
}

// preferLessUtilised swaps the first two candidates if they are equal but for
// tieBreak and the second one is less utilised.
func preferLessUtilised(out []Candidate) {
	if len(out) < 2 {
		return
	}
	a, b := out[0], out[1]
	a.tieBreak, b.tieBreak = 0, 0
	if compare(a, b) == 0 && out[1].utilisation() < out[0].utilisation() {
		out[0], out[1] = out[1], out[0]
	}
}

func (c *Candidate) utilisation() float64 {
	if !c.loadKnown {
		return 1
	}
	return float64(c.Load.InUse+c.Load.Waiting) / float64(c.Upstream.Slots)
}

func boolToInt(set bool) int {
	if set {
		return 1
	}
	return 0
}
