package feed

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bilberrytiller.example/tiller/coordination/objects"
	"bilberrytiller.example/tiller/coordination/relay"
)

// faultSeeds is the number of seeds that TestReachableDaemonIsNeverOlderThanBound
// plays.
var faultSeeds = flag.Uint64("seeds", 60, "number of seeds of random faults")

const (
	// changeBound is the time within which a daemon has a change of the store.
	changeBound = 2500 * time.Millisecond
	// stableWindow is how long a daemon has reached the store before changeBound
	// applies to it.
	stableWindow = 3 * time.Second
)

// boundedKinds are the kind whose changes are bounded and others whose watches
// wait longer.
func boundedKinds() []Subscription {
	return []Subscription{
		watchedKind(changingKind, 1500*time.Millisecond), watchedKind("other", 1500*time.Millisecond),
		watchedKind("slow", 3*time.Second), watchedKind("slowest", 10*time.Second),
	}
}

// TestLongWatchDoesNotDelayOtherKindsAfterOutage guards against a daemon without
// a usable relay whose only call to the recovered store is a watch of a kind
// that does not change.
func TestLongWatchDoesNotDelayOtherKindsAfterOutage(t *testing.T) {
	for outage := 2 * time.Second; outage < 4*time.Second; outage += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			fleet := startFleetWithKinds(t, s, boundedKinds(), "z1", "z1")
			defer fleet.stop()
			time.Sleep(5 * time.Second)
			s.setState(true, false)
			s.put("a")
			time.Sleep(outage)
			s.mu.Lock()
			fleet.clients["d0"].partitioned, fleet.clients["d0"].silent = true, true
			s.mu.Unlock()
			s.setState(false, false)
			time.Sleep(stableWindow)
			if slices.Contains(fleet.lagging("a"), "d1") {
				t.Errorf("outage of %s: d1 lacks a change %s after the outage", outage, stableWindow)
			}
		})
	}
}

// TestReachableDaemonIsNeverOlderThanBound plays random faults: daemons cut off
// from the store, from each other or from both, restarts, outages, lost history,
// slow calls, and changes all the while.
func TestReachableDaemonIsNeverOlderThanBound(t *testing.T) {
	playSeeds(t, *faultSeeds, slices.Concat(slices.Repeat([]string{"z1"}, 9), slices.Repeat([]string{"z2"}, 3)))
}

// TestReachableDaemonOfDeepTreeIsNeverOlderThanBound does the same where up to four
// relays are between a daemon and the store.
func TestReachableDaemonOfDeepTreeIsNeverOlderThanBound(t *testing.T) {
	playSeeds(t, *faultSeeds/15, slices.Concat(slices.Repeat([]string{"z1"}, 50), slices.Repeat([]string{"z2"}, 50)))
}

// TestReachableDaemonFollowsRestoredStore does the same with a store that is also restored
// from older copies. At the end, all daemons must have exactly its state.
func TestReachableDaemonFollowsRestoredStore(t *testing.T) {
	zones := slices.Concat(slices.Repeat([]string{"z1"}, 9), slices.Repeat([]string{"z2"}, 3))
	for seed := range *faultSeeds / 3 {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFaults(t, seed, zones, true) })
		})
	}
}

func playSeeds(t *testing.T, seeds uint64, zones []string) {
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFaults(t, seed, zones, false) })
		})
	}
}

// copyOf returns a function that restores the store to what it holds now.
func copyOf(s *fakeStore) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, all := s.revision, maps.Clone(s.objects)
	return func() { s.restoreTo(revision, maps.Clone(all)) }
}

// checkHoldsStore reports each daemon whose copy is not the store's state.
func (p *faultPlay) checkHoldsStore() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	for _, m := range p.fleet.members {
		all, at, err := p.fleet.replica(m.Address).cache.List(changingKind)
		got := map[string]objects.Object{}
		for _, o := range all {
			got[o.Name] = o
		}
		same := func(a, b objects.Object) bool { return a.Revision == b.Revision }
		if err != nil || at.Era != p.store.era || !maps.EqualFunc(got, p.store.objects, same) {
			p.t.Errorf("%s has %d objects at %v (%v), want the store's %d at era %d", m.ID, len(got), at, err, len(p.store.objects), p.store.era)
		}
	}
}

// endFaults ends all faults and lets the daemons catch up.
func (p *faultPlay) endFaults() {
	p.fleet.setUnresponsive()
	p.store.mu.Lock()
	p.store.down = false
	for _, c := range p.fleet.clients {
		c.partitioned = false
	}
	p.store.mu.Unlock()
	time.Sleep(stableWindow + changeBound)
}

// faultPlay is a run of random faults on a fleet.
type faultPlay struct {
	t     *testing.T
	rng   *rand.Rand
	store *fakeStore
	fleet *testFleet
	// reachableSince is when each daemon last began to reach the store, or zero if
	// it does not.
	reachableSince map[string]time.Time
	changes        []madeChange
}

type madeChange struct {
	at       time.Time
	position objects.Position
}

func playFaults(t *testing.T, seed uint64, zones []string, restores bool) {
	s := newFakeStore()
	s.delay = 10 * time.Millisecond
	p := &faultPlay{t: t, rng: rand.New(rand.NewPCG(seed, 0)), store: s, reachableSince: map[string]time.Time{}}
	p.fleet = startFleetWithKinds(t, s, boundedKinds(), zones...)
	defer p.fleet.stop()
	end := time.Now().Add(60 * time.Second)
	copies := []func(){copyOf(s)}
	nextFault := time.Now().Add(5 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		if time.Now().After(nextFault) {
			switch {
			case !restores || p.rng.IntN(3) > 0:
				p.fault()
			case p.rng.IntN(2) == 0:
				copies = append(copies, copyOf(s))
			default:
				copies[p.rng.IntN(len(copies))]()
			}
			nextFault = time.Now().Add(time.Duration(p.rng.IntN(2500)) * time.Millisecond)
		}
		if p.rng.IntN(8) == 0 {
			s.put(fmt.Sprint("o", len(p.changes)))
			p.changes = append(p.changes, madeChange{time.Now(), objects.Position{Era: s.era, Revision: s.revision}})
		}
		p.observeReachability()
		p.check()
	}
	if restores {
		p.endFaults()
		p.checkHoldsStore()
	}
}

// fault begins or ends one fault.
func (p *faultPlay) fault() {
	m := p.fleet.members[p.rng.IntN(len(p.fleet.members))]
	if p.rng.IntN(3) > 0 {
		// The first daemons of a zone relay to the others.
		m = p.fleet.members[p.rng.IntN(2)]
	}
	switch p.rng.IntN(7) {
	case 0, 1:
		p.togglePartition(m)
	case 2:
		p.store.mu.Lock()
		down, compact := !p.store.down, p.rng.IntN(2) == 0
		p.store.mu.Unlock()
		p.store.setState(down, compact)
	case 3:
		p.fleet.setUnresponsive(m.Address)
	case 4:
		p.fleet.setUnresponsive()
	case 5:
		p.fleet.restart(m)
		p.reachableSince[m.ID] = time.Now()
	case 6:
		p.store.mu.Lock()
		p.store.delay = time.Duration(5+p.rng.IntN(120)) * time.Millisecond
		p.store.mu.Unlock()
	}
}

func (p *faultPlay) togglePartition(m relay.Member) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	c := p.fleet.clients[m.ID]
	c.partitioned, c.silent = !c.partitioned, p.rng.IntN(2) == 0
}

func (p *faultPlay) observeReachability() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	for id, client := range p.fleet.clients {
		reachable := !p.store.down && !client.partitioned
		if !reachable {
			p.reachableSince[id] = time.Time{}
		} else if p.reachableSince[id].IsZero() {
			p.reachableSince[id] = time.Now()
		}
	}
}

// check reports each daemon in contact with the store that lacks a change for
// longer than changeBound.
func (p *faultPlay) check() {
	now := time.Now()
	var due objects.Position
	for _, c := range p.changes {
		if now.Sub(c.at) > changeBound {
			due = c.position
		}
	}
	for _, m := range p.fleet.members {
		since := p.reachableSince[m.ID]
		if since.IsZero() || now.Sub(since) < stableWindow {
			continue
		}
		if got, _ := p.fleet.replica(m.Address).cache.Position(changingKind); got.Before(due) {
			p.t.Fatalf("%s has %v, want %v or later: it reaches the store since %s", m.ID, got, due, now.Sub(since))
		}
	}
}
