package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
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

// TestLargeConfigurationReachesSlowLinksInTime guards against versions of a large
// configuration that daemons with slow links never get.
func TestLargeConfigurationReachesSlowLinksInTime(t *testing.T) {
	for _, gap := range []time.Duration{475 * time.Millisecond, time.Second, 4 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLargeVersions(t, gap) })
		})
	}
}

// playLargeVersions reports the daemons that lack a version of a large configuration after
// the time within which it must be in force. The versions are gap apart.
func playLargeVersions(t *testing.T, gap time.Duration) {
	const bound = 3 * time.Second
	s := newFakeStore()
	fleet := startFleetWithLinks(t, s, 14, 2)
	defer fleet.stop()
	time.Sleep(5 * time.Second)
	for made := time.Now(); time.Since(made) < 6*time.Second; time.Sleep(gap) {
		s.putSpec("main", largeSpec(s.revision))
		s.mu.Lock()
		at := objects.Position{Revision: s.revision}
		s.mu.Unlock()
		time.AfterFunc(bound, func() {
			if late := fleet.behind(at); len(late) > 0 {
				t.Errorf("%v lack revision %d after %s", late, at.Revision, bound)
			}
		})
	}
	time.Sleep(bound + time.Millisecond)
}

// largeSpec returns a configuration of about a megabyte.
func largeSpec(version int64) []byte {
	var b strings.Builder
	for i := range 3400 {
		fmt.Fprintf(&b, `"r-%07x":{"host":"shop%d.example","prefix":"/gi%d/","kind":"idempotent","timeout":"3000ms","objective":"1000ms","priority":0,`+
			`"split":[{"service":"stock","weight":%d}],"attempts":2,"affinity":true,"regions":["north","south","east"],"made_by":"operator-%d","version":%d},`,
			uint32(i)*2654435761>>4, i%97, i, 10+i%90, i%7, version)
	}
	return []byte(b.String())
}

// link is the network link of a daemon, which its transfers share.
type link struct {
	bytesPerSecond float64
	mu             sync.Mutex
	transfers      int
}

// transferTick is the time after which the share of a transfer is calculated again.
const transferTick = 5 * time.Millisecond

// transfer receives a number of bytes, unless ctx ends first.
func (l *link) transfer(ctx context.Context, bytes int) {
	l.add(1)
	defer l.add(-1)
	for left := float64(bytes); left > 0 && ctx.Err() == nil; {
		time.Sleep(transferTick)
		l.mu.Lock()
		left -= l.bytesPerSecond * transferTick.Seconds() / float64(l.transfers)
		l.mu.Unlock()
	}
}

func (l *link) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transfers += n
}

// startFleetWithLinks starts daemons of one data centre, the first of which have links of
// 200 Mbit/s, and the others of 10 Mbit/s, half of which their clients use.
func startFleetWithLinks(t *testing.T, s *fakeStore, daemons, fast int) *testFleet {
	t.Helper()
	links := map[string]*link{}
	for i := range daemons {
		mbps := 5.0
		if i < fast {
			mbps = 200
		}
		links[fmt.Sprint("d", i)] = &link{bytesPerSecond: mbps * 1e6 / 8}
	}
	kind := watchedKind(changingKind, 1500*time.Millisecond)
	kind.MaxAge = 3 * time.Second
	return startFleetOf(t, s, []Subscription{kind}, links, slices.Repeat([]string{"z1"}, daemons)...)
}

// receive waits until a reply has arrived over a daemon's link. The rest of a reply that is
// no longer awaited arrives nevertheless.
func (f *testFleet) receive(ctx context.Context, id string, reply *wire.ObjectsReply) error {
	l := f.links[id]
	if l == nil {
		return nil
	}
	frame, err := wire.Encode(wire.Envelope{}, reply)
	if err != nil {
		return err
	}
	received := make(chan struct{})
	f.done.Go(func() {
		defer close(received)
		l.transfer(context.Background(), len(frame))
	})
	select {
	case <-received:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// behind returns the daemons whose copy is not yet at a position.
func (f *testFleet) behind(at objects.Position) []string {
	var ids []string
	for _, m := range f.members {
		if got, _ := f.replica(m.Address).cache.Position(changingKind); got.Before(at) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// call calls a daemon, which replies unless it is unresponsive.
func (f *testFleet) call(ctx context.Context, from string, addr netip.AddrPort, call *wire.ObjectsCall) (*wire.ObjectsReply, error) {
	reply, err := f.replica(addr.String()).handleCall(ctx, from, call)
	if err == nil {
		err = f.receive(ctx, from, reply)
	}
	return reply, err
}

// TestAgeCountsTimeOnTheWay guards against a copy that seems younger than it is, by the time
// that each reply takes to arrive, so that it is trusted for too long.
func TestAgeCountsTimeOnTheWay(t *testing.T) {
	const (
		age   = time.Second
		onWay = 500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		kind := watchedKind(changingKind, 1500*time.Millisecond)
		slow := func(context.Context, netip.AddrPort, *wire.ObjectsCall) (*wire.ObjectsReply, error) {
			time.Sleep(onWay)
			return &wire.ObjectsReply{Kinds: []wire.KindReply{{Kind: changingKind, Full: true, Revision: 2, Age: age}}}, nil
		}
		hooks := FailureHooks{Local: func() []upstream.FailureCount { return nil }, ApplyRegional: func([]upstream.FailureCount) {}}
		r := New(Settings{Self: relay.Member{ID: "a"}}, &storeClient{fakeStore: newFakeStore()}, []Subscription{kind}, hooks, slow, zerolog.Nop())
		if err := r.pollDaemon(t.Context(), "10.0.0.2:1", true); err != nil {
			t.Fatal(err)
		}
		if got := r.Age(changingKind); got != age+onWay {
			t.Errorf("copy is %s old, want %s and the %s that the reply took", got, age, onWay)
		}
	})
}

// TestArrivingReplyIsNotRacedByStore guards against a daemon that reads the store as well
// while its relay's reply arrives, which delays both on the same link.
func TestArrivingReplyIsNotRacedByStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		fleet := startFleetWithLinks(t, s, 3, 2)
		defer fleet.stop()
		time.Sleep(5 * time.Second)
		spec := make([]byte, 700_000)
		_, _ = rand.NewChaCha8([32]byte{}).Read(spec)
		s.putSpec("main", spec)
		// The reply takes 1.12 s.
		if calls := s.callsDuring(1300 * time.Millisecond); calls > 2 || len(fleet.lagging("main")) > 0 {
			t.Errorf("got %d calls to the store, %v lack the object, want at most 2 calls, of the root, and none", calls, fleet.lagging("main"))
		}
	})
}
