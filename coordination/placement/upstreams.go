package placement

import (
	"cmp"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/state/catalogue"
)

const (
	// staleAfter is the age from which a load is no longer known.
	staleAfter = 2 * time.Second
	// regionDelay is the one-way delay between data centres of a region.
	regionDelay = 500 * time.Microsecond
	// defaultLinkDelay is that between regions without a link entry.
	defaultLinkDelay = 20 * time.Millisecond
	// costStep is the difference in cost that is not worth a choice.
	costStep = time.Millisecond
)

// Load is the latest known load of an upstream.
type Load struct {
	// InUse is the number of slots in use, Waiting of requests in the queue.
	InUse   int
	Waiting int
	// ServiceTime is the mean time of an answer.
	ServiceTime time.Duration
	// Connected is true if connections to the upstream are open.
	Connected bool
	// Failing is true if the upstream or its holder could not be reached.
	Failing bool
	// UpdatedAt is when the load was learnt.
	UpdatedAt time.Time
}

// known reports whether the load can still be relied on.
func (l Load) known(now time.Time) bool { return now.Sub(l.UpdatedAt) <= staleAfter }

// Candidate is an upstream that may run a request.
type Candidate struct {
	Upstream *catalogue.Upstream
	// Distance is 0 in the own data centre, 1 in the own region, 2 beyond.
	Distance int
	Load     Load
	// Cost is the time on the way and in the queue that is expected.
	Cost time.Duration
	// failing is 1 for an upstream to try last, cold is 1 for one without
	// open connections.
	failing, cold int
	known         bool
	wait          time.Duration
	// turn is a random order among equals.
	turn int
}

// Inputs are what a choice of upstreams is made from.
type Inputs struct {
	Set     *catalogue.Set
	Self    membership.Member
	Service string
	Load    func(upstream string) Load
	Now     time.Time
	// Random returns a number from 0 up to n.
	Random func(n int) int
}

// RankUpstreams returns the upstreams that may run a request of a service, best
// first. Daemons that know the same choose differently among equals: the
// first is the less used one of two taken at random.
func RankUpstreams(in Inputs) []Candidate {
	var out []Candidate
	for _, u := range in.Set.Upstreams(in.Service) {
		if !in.Set.UpstreamDraining(u) {
			out = append(out, in.candidate(u))
		}
	}
	unknown := meanWait(out)
	for i := range out {
		c := &out[i]
		if !c.known {
			c.wait = unknown
		}
		c.Cost += c.wait
		c.turn = in.Random(len(out))
	}
	slices.SortStableFunc(out, compare)
	preferLessUsed(out)
	return out
}

func (in *Inputs) candidate(u *catalogue.Upstream) Candidate {
	region := in.Set.RegionOf(u.DataCentre)
	c := Candidate{Upstream: u, Distance: distanceOf(in.Self, u.DataCentre, region), Load: in.Load(u.Name)}
	if c.Load.known(in.Now) {
		c.known = true
		c.wait = c.waitKnown()
		c.failing = flag(c.Load.Failing)
	}
	c.cold = flag(!c.Load.Connected)
	c.Cost = 2 * in.delay(c.Distance, region)
	return c
}

// meanWait is the mean of the known waits. An upstream whose load is missing
// or stale is taken to be as busy as the others.
func meanWait(list []Candidate) time.Duration {
	var sum time.Duration
	known := 0
	for i := range list {
		if list[i].known {
			sum += list[i].wait
			known++
		}
	}
	return sum / time.Duration(max(1, known))
}

// waitKnown is the time in the queue that is expected of a known load.
func (c *Candidate) waitKnown() time.Duration {
	ahead := c.Load.InUse + c.Load.Waiting + 1 - c.Upstream.Slots
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * max(costStep, c.Load.ServiceTime) / time.Duration(c.Upstream.Slots)
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
		cmp.Compare(a.Cost/costStep, b.Cost/costStep),
		cmp.Compare(a.cold, b.cold),
		cmp.Compare(a.turn, b.turn),
	)
}

// preferLessUsed puts the less used one of the first two first if nothing
// else tells them apart.
func preferLessUsed(out []Candidate) {
	if len(out) < 2 {
		return
	}
	a, b := out[0], out[1]
	a.turn, b.turn = 0, 0
	if compare(a, b) == 0 && out[1].utilisation() < out[0].utilisation() {
		out[0], out[1] = out[1], out[0]
	}
}

func (c *Candidate) utilisation() float64 {
	if !c.known {
		return 1
	}
	return float64(c.Load.InUse+c.Load.Waiting) / float64(c.Upstream.Slots)
}

func flag(set bool) int {
	if set {
		return 1
	}
	return 0
}
