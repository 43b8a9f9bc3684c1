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
)

// store is a store in memory that can be down, cut off from some daemons,
// deaf to changes, and without its history.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]objects.Object
	events   []objects.Event
	floor    int64
	down     bool
	calls    int
	// delay is the time that an answer takes.
	delay time.Duration
}

func newStore() *store { return &store{revision: 1, objects: map[string]objects.Object{}} }

func (s *store) put(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.objects[name] = objects.Object{Name: name, Revision: s.revision}
	s.events = append(s.events, objects.Event{Object: s.objects[name]})
}

func (s *store) set(down, forget bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if forget {
		s.floor = s.revision
	}
}

// callsIn returns how many calls come within a time.
func (s *store) callsIn(d time.Duration) int {
	s.mu.Lock()
	before := s.calls
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls - before
}

// client is the store as one daemon reaches it.
type client struct {
	*store
	cut bool
}

var errSilent = errors.New("silent")

// answer waits as a store that cannot be reached does.
func (c *client) answer(ctx context.Context) error {
	c.mu.Lock()
	c.calls++
	lost, delay := c.down || c.cut, c.delay
	c.mu.Unlock()
	if !lost {
		time.Sleep(delay)
		return nil
	}
	select {
	case <-time.After(700 * time.Millisecond):
		return errSilent
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *client) List(ctx context.Context, _ string) ([]objects.Object, int64, error) {
	if err := c.answer(ctx); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []objects.Object
	for _, o := range c.objects {
		all = append(all, o)
	}
	return all, c.revision, nil
}

func (c *client) Watch(ctx context.Context, _ string, revision int64, wait time.Duration) ([]objects.Event, int64, error) {
	end := time.Now().Add(wait)
	for {
		if err := c.answer(ctx); err != nil {
			return nil, 0, err
		}
		c.mu.Lock()
		c.calls--
		events, at, gone := c.since(revision)
		c.mu.Unlock()
		if gone {
			return nil, 0, objects.ErrHistoryGone
		}
		if len(events) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			c.mu.Lock()
			c.calls++
			c.mu.Unlock()
			return events, at, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *store) since(revision int64) (events []objects.Event, at int64, gone bool) {
	for _, e := range s.events {
		if e.Object.Revision > revision {
			events = append(events, e)
		}
	}
	return events, s.revision, revision < s.floor
}

// daemons are feeds that reach each other by address.
type daemons struct {
	feeds   map[string]*Replica
	clients map[string]*client
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu sync.Mutex
	// silent are the addresses that do not answer.
	silent map[string]bool
	// failures are what each daemon learnt of the region's.
	failures map[string][]upstream.FailureCount
}

func start(t *testing.T, s *store, zones ...string) *daemons {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemons{feeds: map[string]*Replica{}, clients: map[string]*client{}, stop: cancel, failures: map[string][]upstream.FailureCount{}}
	var members []relay.Member
	for i, zone := range zones {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		members = append(members, relay.Member{ID: fmt.Sprint("d", i), Zone: zone, Region: "r", Address: address})
	}
	for _, m := range members {
		d.clients[m.ID] = &client{store: s}
		kind := Subscription{Kind: "k", WatchTimeout: 1500 * time.Millisecond, OnList: func([]objects.Object) {}, OnEvent: func(objects.Event) {}}
		d.feeds[m.Address] = New(Settings{Self: m, StartupRelayWait: 150 * time.Millisecond}, d.clients[m.ID], []Subscription{kind}, d.faultsOf(m.ID), d.askAs(m.ID), zerolog.Nop())
		d.feeds[m.Address].SetMembers(members)
	}
	for _, f := range d.feeds {
		d.done.Go(func() { f.Run(ctx) })
	}
	return d
}

// askAs returns how a daemon asks others.
func (d *daemons) askAs(id string) CallFunc {
	return func(ctx context.Context, addr netip.AddrPort, call *wire.ObjectsCall) (*wire.ObjectsReply, error) {
		d.mu.Lock()
		silent := d.silent[addr.String()]
		d.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return d.feeds[addr.String()].answer(ctx, id, call)
	}
}

// faultsOf returns what a daemon sees of servers: one failure of two answers of
// the server i-1.
func (d *daemons) faultsOf(id string) FailureHooks {
	return FailureHooks{
		Local: func() []upstream.FailureCount { return []upstream.FailureCount{{ID: "i-1", Failed: 1, Total: 2}} },
		ApplyRegional: func(all []upstream.FailureCount) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.failures[id] = all
		},
	}
}

// silence makes the daemons at addresses answer no more.
func (d *daemons) silence(addresses ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = map[string]bool{}
	for _, address := range addresses {
		d.silent[address] = true
	}
}

func (d *daemons) end() {
	d.stop()
	d.done.Wait()
}

// behind returns the daemons that do not know an object.
func (d *daemons) behind(name string) []string {
	var ids []string
	for _, f := range d.feeds {
		all, _, _ := f.cache.List("k")
		known := false
		for _, o := range all {
			known = known || o.Name == name
		}
		if !known {
			ids = append(ids, f.settings.Self.ID)
		}
	}
	return ids
}

func fleetZones() []string { return []string{"z1", "z1", "z1", "z2", "z2", "z2"} }

func TestOneDaemonAsksTheStoreForItsRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		d := start(t, s, fleetZones()...)
		defer d.end()
		time.Sleep(3 * time.Second)
		if calls := s.callsIn(15 * time.Second); calls < 8 || calls > 12 {
			t.Errorf("%d calls of 6 daemons in 15 s, want the ten of one that waits 1.5 s each", calls)
		}
		s.put("a")
		time.Sleep(100 * time.Millisecond)
		if late := d.behind("a"); len(late) > 0 {
			t.Errorf("%v do not know a change after 100 ms", late)
		}
	})
}

// TestFleetCatchesUpAfterAnOutage is the fault behind two days that broke
// DRAIN and CONFIG: a relay that had just come back was refused for 3 s, and
// a store without its history was asked again only 1.5 s later. Daemons have
// 3 s, after which the users count them as in touch.
func TestFleetCatchesUpAfterAnOutage(t *testing.T) {
	for _, forget := range []bool{false, true} {
		for outage := 10 * time.Second; outage < 14*time.Second; outage += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				d := start(t, s, fleetZones()...)
				defer d.end()
				time.Sleep(5 * time.Second)
				s.set(true, false)
				s.put("a")
				time.Sleep(outage)
				s.set(false, forget)
				time.Sleep(3 * time.Second)
				if late := d.behind("a"); len(late) > 0 {
					t.Errorf("outage of %s, history gone %t: %v do not know a change", outage, forget, late)
				}
			})
		}
	}
}

func TestDaemonsLeaveARelayThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		d := start(t, s, fleetZones()...)
		defer d.end()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		d.clients["d0"].cut = true
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		s.put("a")
		time.Sleep(2500 * time.Millisecond)
		for _, id := range d.behind("a") {
			if id != "d0" {
				t.Errorf("%s does not know a change of 2.5 s ago", id)
			}
		}
	})
}

// TestDeepDataCentreLearnsThroughDeadRelays has 89 daemons in a data centre, of
// which the top one and one below it stop answering.
func TestDeepDataCentreLearnsThroughDeadRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		d := start(t, s, slices.Repeat([]string{"z1"}, 89)...)
		defer d.end()
		time.Sleep(5 * time.Second)
		s.put("a")
		time.Sleep(100 * time.Millisecond)
		if behind := d.behind("a"); len(behind) > 0 {
			t.Errorf("%v do not know a change at once", behind)
		}
		d.silence("10.0.0.1:1", "10.0.0.2:1")
		time.Sleep(1500 * time.Millisecond)
		s.put("b")
		time.Sleep(time.Second)
		if behind := d.behind("b"); len(behind) > 0 {
			t.Errorf("%v do not know a change of 1 s ago", behind)
		}
	})
}

// TestFleetThatComesBackAtOnceReadsTheStoreSeldom has a store whose list takes
// longer than a daemon waits for a relay that does not answer.
func TestFleetThatComesBackAtOnceReadsTheStoreSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.delay = 400 * time.Millisecond
		s.put("a")
		d := start(t, s, slices.Repeat([]string{"z1"}, 89)...)
		defer d.end()
		time.Sleep(time.Second)
		if behind := d.behind("a"); len(behind) > 0 {
			t.Errorf("%d daemons know nothing after 1 s", len(behind))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.calls > 3 {
			t.Errorf("%d calls of the store by 89 daemons, want those of one", s.calls)
		}
	})
}

func TestFailuresOfAServerAreSummedOverTheRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zones := slices.Concat(slices.Repeat([]string{"z1"}, 20), slices.Repeat([]string{"z2"}, 20))
		d := start(t, newStore(), zones...)
		defer d.end()
		time.Sleep(5 * time.Second)
		d.mu.Lock()
		defer d.mu.Unlock()
		for i := range zones {
			got := d.failures[fmt.Sprint("d", i)]
			if len(got) != 1 || got[0] != (upstream.FailureCount{ID: "i-1", Failed: 40, Total: 80}) {
				t.Errorf("d%d knows %+v, want 40 failures of 80 answers", i, got)
			}
		}
	})
}

func TestStoreThatIsDownIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		d := start(t, s, fleetZones()...)
		defer d.end()
		time.Sleep(5 * time.Second)
		s.set(true, false)
		time.Sleep(5 * time.Second)
		if calls := s.callsIn(10 * time.Second); calls > 80 {
			t.Errorf("%d calls of 6 daemons in 10 s of an outage", calls)
		}
	})
}

func TestStartWithoutTheStoreAsksSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a")
		d := start(t, s, "z1")
		time.Sleep(2 * time.Second)
		s.set(true, false)
		kind := Subscription{Kind: "k", WatchTimeout: time.Second, OnList: func([]objects.Object) {}, OnEvent: func(objects.Event) {}}
		late := New(Settings{Self: relay.Member{ID: "d9", Zone: "z9"}, Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}},
			&client{store: s}, []Subscription{kind}, d.faultsOf("d9"), d.askAs("d9"), zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		d.done.Go(func() { late.Run(ctx) })
		time.Sleep(5 * time.Second)
		if _, known := late.cache.Revision("k"); !known {
			t.Error("a daemon that starts during an outage knows nothing although its seed does")
		}
		cancel()
		d.end()
	})
}
