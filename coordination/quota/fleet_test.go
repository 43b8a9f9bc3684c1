package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/relay"
)

// node is a daemon of a fleet. Its parents are selected from the members that it knows.
type node struct {
	member  relay.Member
	ledger  *Ledger
	parents *Parents
	process int
	up, cut bool
	// left says that the earlier process has removed the node from the list.
	left bool
	// callAt is when the node calls its parent next, and startAt the first daemon.
	callAt, startAt time.Time
	// pending are the organisations of the requests that wait for the call at askAt, and
	// askedAt is the time of the latest call.
	pending        []string
	askAt, askedAt time.Time
	// handled counts the calls that the node answered.
	handled int
	// frozenUntil is when a node that stands still goes on.
	frozenUntil time.Time
}

// fleet is a number of daemons that share the quotas of organisations.
type fleet struct {
	now    time.Time
	nodes  []*node
	limits map[string]Limit
	bounds Bounds
	random *rand.Rand
	// admitted and asked hold the times of requests by organisation.
	admitted map[string][]time.Time
	asked    map[string]int
	// late are calls that arrive after their sender has given up.
	late []func()
	// lossy is the fraction of calls and of replies that are lost, and repeated that of
	// calls and of replies that arrive a second time, up to a few seconds later.
	lossy, repeated float64
	// collect is the time after a call in which requests are held back for the next one.
	collect time.Duration
	// maxChildren is the fan-out of groups of any size, or 0 for that of real ones.
	maxChildren int
	// mostHeld are the most parts that all nodes issued units from at one time.
	mostHeld float64
}

var testBounds = Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

func newFleet(daemons, regions int, limits map[string]Limit, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), limits: limits, bounds: testBounds, random: rand.New(rand.NewPCG(seed, 0)),
		admitted: map[string][]time.Time{}, asked: map[string]int{}, collect: 30 * time.Millisecond,
	}
	for i := range daemons {
		n := &node{member: relay.Member{ID: fmt.Sprint("d", i), Region: fmt.Sprint("r", i%regions), Zone: fmt.Sprint("z", i%(2*regions)), Capacity: float64(i % 4)}}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	f.publish()
	return f
}

// runs reports whether a node is up and doesn't stand still.
func (f *fleet) runs(n *node) bool { return n.up && !f.now.Before(n.frozenUntil) }

func (f *fleet) start(n *node) {
	n.process++
	n.up, n.callAt, n.startAt, n.frozenUntil = true, f.now, f.now, time.Time{}
	n.parents = NewParents(n.member)
	if f.maxChildren > 0 {
		n.parents.maxChildren, n.parents.maxFlatGroup = f.maxChildren, 0
	}
	limit := func(name string) Limit { return f.limits[name] }
	n.ledger = New(fmt.Sprint(n.member.ID, "/", n.process), f.bounds, limit, f.now)
	if n.process > 1 && !n.left {
		n.ledger.Rejoin()
	}
}

// publish tells the nodes that are not cut off which daemons there are.
func (f *fleet) publish() { f.publishIf(func(*node) bool { return true }) }

// publishIf is publish for a list of some of the nodes.
func (f *fleet) publishIf(listed func(*node) bool) {
	var members []relay.Member
	for _, n := range f.nodes {
		if listed(n) {
			members = append(members, n.member)
		}
	}
	for _, n := range f.nodes {
		if n.up && !n.cut {
			n.parents.SetMembers(members)
			n.ledger.SetDaemons(len(members), true, f.now)
			others := []string{}
			for _, m := range members {
				if m.ID != n.member.ID {
					others = append(others, m.ID)
				}
			}
			n.ledger.SetFleet(others, n.parents.First().ID == n.member.ID)
		}
	}
}

func (f *fleet) nodeByID(id string) *node {
	for _, n := range f.nodes {
		if n.member.ID == id {
			return n
		}
	}
	return nil
}

// ask makes a node call its parent. It returns false if the node is a root.
func (f *fleet) ask(n *node, depth int) bool {
	parent, ok := n.parents.Pick(f.now)
	if depth > 3 {
		return false
	}
	if !ok {
		return f.askPeers(n)
	}
	n.callAt, n.askedAt = f.now.Add(250*time.Millisecond), f.now
	call := n.ledger.NewCall(parent.ID, f.now)
	p := f.nodeByID(parent.ID)
	if p == nil || !f.runs(p) || p.cut != n.cut || f.random.Float64() < f.lossy {
		n.parents.MarkFailed(parent.ID, f.now)
		n.ledger.Fail(call)
		if p != nil && f.random.IntN(2) == 0 {
			f.late = append(f.late, func() { p.ledger.Handle(n.member.ID, call, f.now) })
		}
		return f.ask(n, depth)
	}
	reply, short := p.ledger.Handle(n.member.ID, call, f.now)
	p.handled++
	f.repeat(func() { p.ledger.Handle(n.member.ID, call, f.now) })
	if short && f.ask(p, depth+1) {
		p.ledger.Fill(call, reply, f.now)
	}
	if f.random.Float64() < f.lossy {
		n.parents.MarkFailed(parent.ID, f.now)
		n.ledger.Fail(call)
		return true
	}
	n.parents.MarkWorking(parent.ID, 0)
	n.ledger.Apply(call, reply, f.now, f.now)
	return true
}

// repeat lets a message arrive again later.
func (f *fleet) repeat(deliver func()) {
	if f.repeated > 0 && f.random.Float64() < f.repeated {
		f.late = append(f.late, deliver)
	}
}

// callFirst makes a node that waits call the first daemon.
func (f *fleet) callFirst(n *node) {
	n.startAt = f.now.Add(50 * time.Millisecond)
	call, p, l := n.ledger.NewStartCall(f.now), f.nodeByID(n.parents.First().ID), n.ledger
	if call == nil || p == nil || p.cut != n.cut {
		return
	}
	f.repeat(func() { p.ledger.HandleStart(n.member.ID, call, f.now) })
	lost := func() bool { return f.lossy > 0 && f.random.Float64() < f.lossy }
	if !f.runs(p) || lost() {
		return
	}
	reply := p.ledger.HandleStart(n.member.ID, call, f.now)
	f.repeat(func() { l.ApplyStart(reply, f.now) })
	if !lost() {
		l.ApplyStart(reply, f.now)
		if reply.Released != "" {
			n.callAt = f.now
		}
	}
}

// askPeers makes a node ask other issuers for units that are left over.
func (f *fleet) askPeers(n *node) bool {
	call := n.ledger.NewSpareCall(f.now)
	for _, peer := range n.parents.Peers(f.now) {
		if call == nil || len(call.Wants) == 0 {
			break
		}
		p := f.nodeByID(peer.ID)
		if p == nil || !f.runs(p) || p.cut != n.cut || f.random.Float64() < f.lossy {
			n.parents.MarkFailed(peer.ID, f.now)
			continue
		}
		reply, _ := p.ledger.Handle(n.member.ID, call, f.now)
		p.handled++
		n.ledger.Apply(call, reply, f.now, f.now)
		call = call.Rest(reply)
	}
	return true
}

// request sends a request of an organisation to a node.
func (f *fleet) request(n *node, organisation string) {
	f.asked[organisation]++
	v := n.ledger.Take(organisation, true, f.now)
	if v.Ask && f.now.Before(n.askedAt.Add(f.collect)) {
		if len(n.pending) == 0 {
			n.askAt = n.askedAt.Add(f.collect)
		}
		n.pending = append(n.pending, organisation)
		return
	}
	if v.Ask && f.ask(n, 0) {
		v = n.ledger.TakeAgain(organisation, f.now)
	}
	f.record(organisation, v)
}

// askForPending calls the parent for the requests that were held back.
func (f *fleet) askForPending(n *node) {
	f.ask(n, 0)
	for _, organisation := range n.pending {
		f.record(organisation, n.ledger.TakeAgain(organisation, f.now))
	}
	n.pending = nil
}

func (f *fleet) record(organisation string, v Verdict) {
	if v.Admitted {
		f.admitted[organisation] = append(f.admitted[organisation], f.now)
	}
}

// play sends perSecond requests of an organisation to random nodes of those given, if
// these are up, while all nodes call their parents.
func (f *fleet) play(d time.Duration, perSecond map[string]float64, to []*node) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, n := range f.nodes {
			if f.runs(n) && !f.now.Before(n.startAt) {
				f.callFirst(n)
			}
			if f.runs(n) && len(n.pending) > 0 && !f.now.Before(n.askAt) {
				f.askForPending(n)
			}
			if f.runs(n) && !f.now.Before(n.callAt) {
				f.ask(n, 0)
				n.callAt = f.now.Add(250 * time.Millisecond)
				if n.ledger.Settles(f.now) {
					n.callAt = f.now.Add(50 * time.Millisecond)
				}
			}
		}
		if len(f.late) > 0 && f.repeated > 0 && f.random.Float64() < 4*f.repeated {
			i := f.random.IntN(len(f.late))
			f.late[i]()
			f.late = slices.Delete(f.late, i, i+1)
		}
		held := 0.0
		for _, n := range f.nodes {
			if f.runs(n) {
				held += n.ledger.Held(f.now)
			}
		}
		f.mostHeld = max(f.mostHeld, held)
		for name, rate := range perSecond {
			for k := poisson(f.random, rate*step.Seconds()); k > 0; k-- {
				if n := to[f.random.IntN(len(to))]; f.runs(n) {
					f.request(n, name)
				}
			}
		}
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for t := r.ExpFloat64(); t < mean; t += r.ExpFloat64() {
		n++
	}
	return n
}

// excess returns by how many requests an organisation's quota was exceeded in the
// worst window after since, or 0 or less.
func (f *fleet) excess(name string, l Limit, since time.Time) float64 {
	allowed := (l.RatePerSecond*f.bounds.Window.Seconds()+l.Burst)*(1+f.bounds.Overshoot) + f.bounds.Slack
	most, first := 0, 0
	all := f.admitted[name]
	for last, at := range all {
		for at.Sub(all[first]) > f.bounds.Window || all[first].Before(since) && first < last {
			first++
		}
		most = max(most, last-first+1)
	}
	return float64(most) - allowed
}
