package feed

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/objects"
	"bilberrytiller.example/tiller/coordination/relay"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

// changingKind is the kind of all objects of a fakeStore. Other kinds are empty.
const changingKind = "k"

// fakeStore is an in-memory store that can be unavailable, partitioned from
// some daemons, slow, or without its history.
type fakeStore struct {
	mu          sync.Mutex
	era         int64
	revision    int64
	objects     map[string]objects.Object
	events      []objects.Event
	compactedAt int64
	down        bool
	calls       int
	// delay is how long a call takes.
	delay time.Duration
}

func newFakeStore() *fakeStore { return &fakeStore{revision: 1, objects: map[string]objects.Object{}} }

func (s *fakeStore) put(name string) { s.putSpec(name, nil) }

func (s *fakeStore) putSpec(name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.objects[name] = objects.Object{Name: name, Revision: s.revision, Spec: spec}
	s.events = append(s.events, objects.Event{Object: s.objects[name]})
}

func (s *fakeStore) setState(down, compact bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if compact {
		s.compactedAt = s.revision
	}
}

// callsDuring returns how many calls the store receives during d.
func (s *fakeStore) callsDuring(d time.Duration) int {
	s.mu.Lock()
	before := s.calls
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls - before
}

// storeClient is one daemon's connection to the store.
type storeClient struct {
	*fakeStore
	partitioned bool
	// silent makes a partitioned watch end only after its wait and watchSlack, as
	// on a connection that goes silent.
	silent bool
	// link is the daemon's own, or nil if it is not limited.
	link *link
}

const watchSlack = 500 * time.Millisecond

var errUnreachable = errors.New("store unreachable")

// respond waits for the store's delay, or until the timeout of a call to an
// unreachable store.
func (c *storeClient) respond(ctx context.Context) error {
	c.mu.Lock()
	c.calls++
	unreachable, delay := c.down || c.partitioned, c.delay
	c.mu.Unlock()
	if !unreachable {
		time.Sleep(delay)
		return nil
	}
	select {
	case <-time.After(700 * time.Millisecond):
		return errUnreachable
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *storeClient) List(ctx context.Context, kind string) ([]objects.Object, objects.Position, error) {
	if err := c.respond(ctx); err != nil {
		return nil, objects.Position{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []objects.Object
	for _, o := range c.objects {
		if kind == changingKind {
			all = append(all, o)
		}
	}
	at := objects.Position{Era: c.era, Revision: c.revision}
	c.mu.Unlock()
	defer c.mu.Lock()
	return all, at, c.receive(ctx, all, nil)
}

func (c *storeClient) Watch(ctx context.Context, kind string, after objects.Position, wait time.Duration) (objects.Changes, error) {
	end := time.Now().Add(wait)
	for {
		if err := c.respond(ctx); err != nil {
			return objects.Changes{}, err
		}
		c.mu.Lock()
		c.calls--
		if c.partitioned && c.silent {
			c.mu.Unlock()
			time.Sleep(time.Until(end) + watchSlack)
			return objects.Changes{}, errUnreachable
		}
		events, at, compacted := c.eventsAfter(kind, after.Revision)
		era := c.era
		c.mu.Unlock()
		if compacted || era != after.Era {
			return objects.Changes{}, objects.ErrHistoryGone
		}
		if len(events) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			c.mu.Lock()
			c.calls++
			c.mu.Unlock()
			asOf := time.Now()
			err := c.receive(ctx, nil, events)
			return objects.Changes{Events: events, To: objects.Position{Era: era, Revision: at}, AsOf: asOf}, errors.Join(err, ctx.Err())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *fakeStore) eventsAfter(kind string, revision int64) (events []objects.Event, at int64, compacted bool) {
	for _, e := range s.events {
		if kind == changingKind && e.Object.Revision > revision {
			events = append(events, e)
		}
	}
	return events, s.revision, revision < s.compactedAt
}

// receive waits until an answer has arrived over the daemon's link.
func (c *storeClient) receive(ctx context.Context, all []objects.Object, events []objects.Event) error {
	if c.link != nil {
		c.link.transfer(ctx, int(update{objects: all, events: events}.size()))
	}
	return ctx.Err()
}

// testFleet is a set of replicas that call each other by address.
type testFleet struct {
	replicas map[string]*Replica
	clients  map[string]*storeClient
	kinds    []Subscription
	members  []relay.Member
	cancels  map[string]context.CancelFunc
	done     sync.WaitGroup
	// links are those of the daemons by ID that have limited ones.
	links map[string]*link

	// mu guards the fields below, and replicas once the fleet runs.
	mu sync.Mutex
	// unresponsive are the addresses of daemons that do not reply.
	unresponsive map[string]bool
	// regionFailures are the regional failure counts applied by each daemon.
	regionFailures map[string][]upstream.FailureCount
}

// watchedKind returns a subscription without callbacks.
func watchedKind(kind string, watchTimeout time.Duration) Subscription {
	return Subscription{
		Kind: kind, MaxAge: watchTimeout + time.Second, MaxWatchTimeout: watchTimeout,
		OnList: func([]objects.Object, objects.Position) {}, OnEvent: func(objects.Event, objects.Position) {},
	}
}

// startFleet starts a daemon in each of the given zones, which may repeat.
func startFleet(t *testing.T, s *fakeStore, zones ...string) *testFleet {
	t.Helper()
	return startFleetWithKinds(t, s, []Subscription{watchedKind(changingKind, 1500*time.Millisecond)}, zones...)
}

func startFleetWithKinds(t *testing.T, s *fakeStore, kinds []Subscription, zones ...string) *testFleet {
	t.Helper()
	return startFleetOf(t, s, kinds, nil, zones...)
}

func startFleetOf(t *testing.T, s *fakeStore, kinds []Subscription, links map[string]*link, zones ...string) *testFleet {
	t.Helper()
	fleet := &testFleet{
		links:    links,
		replicas: map[string]*Replica{}, clients: map[string]*storeClient{}, kinds: kinds,
		cancels: map[string]context.CancelFunc{}, regionFailures: map[string][]upstream.FailureCount{},
	}
	for i, zone := range zones {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		fleet.members = append(fleet.members, relay.Member{ID: fmt.Sprint("d", i), Zone: zone, Region: "r", Address: address})
	}
	for _, m := range fleet.members {
		fleet.clients[m.ID] = &storeClient{fakeStore: s, link: links[m.ID]}
		fleet.replicas[m.Address] = fleet.newReplica(m)
	}
	for _, m := range fleet.members {
		fleet.run(m)
	}
	return fleet
}

func (f *testFleet) newReplica(m relay.Member) *Replica {
	replica := New(Settings{Self: m, StartupRelayWait: 150 * time.Millisecond}, f.clients[m.ID], f.kinds, f.failureHooks(m.ID), f.callFrom(m.ID), zerolog.Nop())
	replica.SetMembers(f.members)
	return replica
}

func (f *testFleet) run(m relay.Member) {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancels[m.ID] = cancel
	replica := f.replicas[m.Address]
	f.done.Go(func() { replica.Run(ctx) })
}

// restart replaces a daemon by one without any objects.
func (f *testFleet) restart(m relay.Member) {
	f.cancels[m.ID]()
	f.mu.Lock()
	f.replicas[m.Address] = f.newReplica(m)
	f.mu.Unlock()
	f.run(m)
}

func (f *testFleet) replica(address string) *Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas[address]
}

// callFrom returns the function by which a daemon calls others.
func (f *testFleet) callFrom(id string) CallFunc {
	return func(ctx context.Context, addr netip.AddrPort, call *wire.ObjectsCall) (*wire.ObjectsReply, error) {
		f.mu.Lock()
		unresponsive := f.unresponsive[addr.String()]
		f.mu.Unlock()
		if unresponsive {
			time.Sleep(relayReplyTimeout)
			return nil, peer.ErrStalled
		}
		return f.call(ctx, id, addr, call)
	}
}

// failureHooks makes each daemon observe one failure in two answers of server
// i-1.
func (f *testFleet) failureHooks(id string) FailureHooks {
	return FailureHooks{
		Local: func() []upstream.FailureCount { return []upstream.FailureCount{{ID: "i-1", Failed: 1, Total: 2}} },
		ApplyRegional: func(all []upstream.FailureCount) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.regionFailures[id] = all
		},
	}
}

// setUnresponsive makes exactly the daemons at the given addresses stop
// replying.
func (f *testFleet) setUnresponsive(addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive = map[string]bool{}
	for _, address := range addresses {
		f.unresponsive[address] = true
	}
}

func (f *testFleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.done.Wait()
}

// lagging returns the daemons that do not have an object.
func (f *testFleet) lagging(name string) []string {
	var ids []string
	for _, replica := range f.replicas {
		all, _, _ := replica.cache.List(changingKind)
		hasObject := false
		for _, o := range all {
			hasObject = hasObject || o.Name == name
		}
		if !hasObject {
			ids = append(ids, replica.settings.Self.ID)
		}
	}
	return ids
}

func fleetZones() []string { return []string{"z1", "z1", "z1", "z2", "z2", "z2"} }

func TestOneDaemonPerRegionWatchesStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		fleet := startFleet(t, s, fleetZones()...)
		defer fleet.stop()
		time.Sleep(3 * time.Second)
		if calls := s.callsDuring(15 * time.Second); calls < 8 || calls > 12 {
			t.Errorf("6 daemons made %d store calls in 15 s, want about 10: one daemon with watches of 1.5 s", calls)
		}
		s.put("a")
		time.Sleep(100 * time.Millisecond)
		if lagging := fleet.lagging("a"); len(lagging) > 0 {
			t.Errorf("%v lack a change 100 ms after it was made", lagging)
		}
	})
}

// TestFleetCatchesUpAfterStoreOutage guards against daemons that learn too late
// of changes made during a store outage. From 3 s after the outage on, users
// expect changes to take effect in time again. On two simulated days a daemon
// broke the rules DRAIN and CONFIG on that time: it did not try a relay that had
// just recovered again for 3 s, and it queried a store without its history again
// only after 1.5 s.
func TestFleetCatchesUpAfterStoreOutage(t *testing.T) {
	for _, compact := range []bool{false, true} {
		for outage := 10 * time.Second; outage < 14*time.Second; outage += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				fleet := startFleet(t, s, fleetZones()...)
				defer fleet.stop()
				time.Sleep(5 * time.Second)
				s.setState(true, false)
				s.put("a")
				time.Sleep(outage)
				s.setState(false, compact)
				time.Sleep(3 * time.Second)
				if lagging := fleet.lagging("a"); len(lagging) > 0 {
					t.Errorf("outage of %s, history lost %t: %v lack a change 3 s after the outage", outage, compact, lagging)
				}
			})
		}
	}
}

func TestDaemonsAbandonRelayPartitionedFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		fleet := startFleet(t, s, fleetZones()...)
		defer fleet.stop()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		fleet.clients["d0"].partitioned = true
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		s.put("a")
		time.Sleep(2500 * time.Millisecond)
		for _, id := range fleet.lagging("a") {
			if id != "d0" {
				t.Errorf("%s lacks a change 2.5 s after it was made", id)
			}
		}
	})
}

// TestChangeArrivesInTimeWhenRelaysGoSilent guards against requests refused for
// a missing route 3 s after the route was confirmed, where 2.5 s are allowed.
// The two daemons at the top of the relay tree were cut off from the store with
// their watches open, and the others trusted their copies until these were 2.5 s
// old. The cut comes at each phase of a watch.
func TestChangeArrivesInTimeWhenRelaysGoSilent(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for phase := time.Duration(0); phase < 1800*time.Millisecond; phase += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			fleet := startFleet(t, s, slices.Repeat([]string{"z1"}, 20)...)
			defer fleet.stop()
			time.Sleep(5*time.Second + phase)
			s.mu.Lock()
			for _, id := range []string{"d0", "d1"} {
				fleet.clients[id].partitioned, fleet.clients[id].silent = true, true
			}
			s.mu.Unlock()
			s.put("a")
			time.Sleep(bound)
			for _, id := range fleet.lagging("a") {
				if id != "d0" && id != "d1" {
					t.Errorf("phase %s: %s lacks a change %s after it was made", phase, id, bound)
				}
			}
		})
	}
}

// TestDeepRelayTreeSurvivesDeadRelays has 89 daemons in one data centre. The
// root of their relay tree and a daemon directly below it stop replying.
func TestDeepRelayTreeSurvivesDeadRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		fleet := startFleet(t, s, slices.Repeat([]string{"z1"}, 89)...)
		defer fleet.stop()
		time.Sleep(5 * time.Second)
		s.put("a")
		time.Sleep(100 * time.Millisecond)
		if lagging := fleet.lagging("a"); len(lagging) > 0 {
			t.Errorf("%v lack a change 100 ms after it was made, with all relays running", lagging)
		}
		fleet.setUnresponsive("10.0.0.1:1", "10.0.0.2:1")
		time.Sleep(1500 * time.Millisecond)
		s.put("b")
		time.Sleep(time.Second)
		if lagging := fleet.lagging("b"); len(lagging) > 0 {
			t.Errorf("%v lack a change 1 s after it was made", lagging)
		}
	})
}

// TestSimultaneousStartLimitsStoreReads starts 89 daemons at once with a store
// whose list takes longer than a daemon waits for a relay that does not reply.
func TestSimultaneousStartLimitsStoreReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.delay = 400 * time.Millisecond
		s.put("a")
		fleet := startFleet(t, s, slices.Repeat([]string{"z1"}, 89)...)
		defer fleet.stop()
		time.Sleep(time.Second)
		if lagging := fleet.lagging("a"); len(lagging) > 0 {
			t.Errorf("%d daemons have no objects after 1 s", len(lagging))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.calls > 3 {
			t.Errorf("89 daemons made %d store calls, want at most 3, those of one daemon", s.calls)
		}
	})
}

func TestServerFailuresAreSummedOverRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zones := slices.Concat(slices.Repeat([]string{"z1"}, 20), slices.Repeat([]string{"z2"}, 20))
		fleet := startFleet(t, newFakeStore(), zones...)
		defer fleet.stop()
		time.Sleep(5 * time.Second)
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		for i := range zones {
			got := fleet.regionFailures[fmt.Sprint("d", i)]
			if len(got) != 1 || got[0] != (upstream.FailureCount{ID: "i-1", Failed: 40, Total: 80}) {
				t.Errorf("d%d has %+v, want 40 failures in 80 answers", i, got)
			}
		}
	})
}

func TestUnavailableStoreIsProbedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		fleet := startFleet(t, s, fleetZones()...)
		defer fleet.stop()
		time.Sleep(5 * time.Second)
		s.setState(true, false)
		time.Sleep(5 * time.Second)
		if calls := s.callsDuring(10 * time.Second); calls > 80 {
			t.Errorf("6 daemons made %d store calls in 10 s of an outage, want at most 80", calls)
		}
	})
}

func TestStartDuringStoreOutageUsesSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		fleet := startFleet(t, s, "z1")
		time.Sleep(2 * time.Second)
		s.setState(true, false)
		kind := watchedKind(changingKind, time.Second)
		replica := New(Settings{Self: relay.Member{ID: "d9", Zone: "z9"}, Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}},
			&storeClient{fakeStore: s}, []Subscription{kind}, fleet.failureHooks("d9"), fleet.callFrom("d9"), zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		fleet.done.Go(func() { replica.Run(ctx) })
		time.Sleep(5 * time.Second)
		if _, known := replica.cache.Position(changingKind); !known {
			t.Error("a daemon started during an outage got no objects from its seed")
		}
		cancel()
		fleet.stop()
	})
}
