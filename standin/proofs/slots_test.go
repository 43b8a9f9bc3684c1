package proofs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/relay"
)

// oneUpstream is three entry hosts of one data centre before one upstream.
func oneUpstream(slots int, work time.Duration) fleet.Options {
	return fleet.Options{
		DataCentres: map[string]string{"north-1": "north"},
		Hosts:       []string{"north-1", "north-1", "north-1"},
		Services:    []catalogue.Service{fleet.Service("lookups", request.RankLookup, true)},
		Upstreams: []fleet.Upstream{{
			Name: "lookups-1", Service: "lookups", DataCentre: "north-1",
			Options: backend.Options{Slots: slots, Work: work},
		}},
	}
}

// floodTimeout is how long a request of a flood is waited for.
const floodTimeout = 8 * time.Second

// flood keeps requests of a service in flight until its stop is called.
type flood struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	sent   atomic.Int64
	ok     atomic.Int64
}

func startFlood(f *fleet.Fleet, service string, requests int, hosts ...*fleet.Host) *flood {
	ctx, cancel := context.WithCancel(context.Background())
	fl := &flood{cancel: cancel}
	client := f.Client(hosts...)
	for n := range requests {
		fl.done.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				fl.one(ctx, client, service, fmt.Sprintf("flood-%d-%d", n, i))
			}
		})
	}
	return fl
}

func (fl *flood) one(ctx context.Context, c *caller.Caller, service, body string) {
	ctx, cancel := context.WithTimeout(ctx, floodTimeout)
	defer cancel()
	fl.sent.Add(1)
	result, err := c.Run(ctx, service, "", []byte(body), nil)
	if err == nil && result.Outcome == request.OutcomeDone {
		fl.ok.Add(1)
		return
	}
	time.Sleep(5 * time.Millisecond)
}

func (fl *flood) stop() {
	fl.cancel()
	fl.done.Wait()
}

// awaitDone waits until a flood has had more requests answered.
func (fl *flood) awaitDone(t *testing.T, more int64) {
	t.Helper()
	want := fl.ok.Load() + more
	fleet.Eventually(t, "the flood is answered", func() bool { return fl.ok.Load() >= want })
}

// holderOf returns the one host that holds an upstream, by its log.
func holderOf(f *fleet.Fleet, upstream string) *fleet.Host {
	var found *fleet.Host
	for _, h := range f.Hosts {
		if !h.Running() || !holds(h, upstream) {
			continue
		}
		if found != nil {
			return nil
		}
		found = h
	}
	return found
}

// holds reports whether the last change of a host's hold was to open it.
func holds(h *fleet.Host, upstream string) bool {
	open := false
	for line := range strings.Lines(h.Log()) {
		if !strings.Contains(line, "event=hold.") || !strings.Contains(line, "upstream="+upstream) {
			continue
		}
		open = strings.Contains(line, "event=hold.open")
	}
	return open
}

func awaitHolder(t *testing.T, f *fleet.Fleet, upstream string) *fleet.Host {
	t.Helper()
	var h *fleet.Host
	fleet.Eventually(t, "a host holds "+upstream, func() bool {
		h = holderOf(f, upstream)
		return h != nil
	})
	return h
}

func wantOverSlots(t *testing.T, f *fleet.Fleet, upstream string, most int) {
	t.Helper()
	if got := f.Backends[upstream].Stats().ArrivalsOverSlots; got > most {
		t.Errorf("%d requests were dispatched beyond the slots of %s, want at most %d", got, upstream, most)
	}
}

func TestNoDispatchBeyondSlots(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneUpstream(3, 2*time.Millisecond))
	fl := startFlood(f, "lookups", 24)
	fl.awaitDone(t, 500)
	fl.stop()
	wantOverSlots(t, f, "lookups-1", 0)
	if got := f.Backends["lookups-1"].Stats().PeakConcurrency; got != 3 {
		t.Errorf("%d slots were used at once, want all 3", got)
	}
}

func TestSlotsChangedByTheCatalogueAreKept(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneUpstream(6, 2*time.Millisecond))
	fl := startFlood(f, "lookups", 24)
	defer fl.stop()
	fl.awaitDone(t, 100)
	entry := *f.UpstreamEntry("lookups-1")
	entry.Slots = 2
	f.Apply(&entry)
	f.WaitConverged()
	fl.awaitDone(t, 100)
	if got := f.Backends["lookups-1"].PeakConcurrencyDuring(func() { fl.awaitDone(t, 200) }); got > 2 {
		t.Errorf("%d requests ran at once, want at most 2", got)
	}
}

func TestKilledHolderOverSlots(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneUpstream(3, 1500*time.Millisecond))
	holder := awaitHolder(t, f, "lookups-1")
	fl := startFlood(f, "lookups", 24)
	defer fl.stop()
	fl.awaitDone(t, 6)
	holder.Kill()
	fl.awaitDone(t, 6)
	wantOverSlots(t, f, "lookups-1", 1)
	if next := awaitHolder(t, f, "lookups-1"); next == holder {
		t.Fatalf("%s still holds the upstream", holder.ID)
	}
}

func TestPausedHolderOverSlots(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneUpstream(3, 20*time.Millisecond))
	holder := awaitHolder(t, f, "lookups-1")
	others := otherHosts(f, holder)
	fl := startFlood(f, "lookups", 24, others...)
	defer fl.stop()
	fl.awaitDone(t, 50)
	holder.Pause()
	defer holder.Resume()
	fleet.Eventually(t, "another host holds the upstream", func() bool {
		return holds(others[0], "lookups-1") || holds(others[1], "lookups-1")
	})
	// The requests that wait at the paused host are still in time.
	second := startFlood(f, "lookups", 24, others...)
	defer second.stop()
	second.awaitDone(t, 20)
	wantOverSlots(t, f, "lookups-1", 1)
	holder.Resume()
	fleet.Eventually(t, "the host holds the upstream again", func() bool { return holds(holder, "lookups-1") })
	fl.awaitDone(t, 50)
	wantOverSlots(t, f, "lookups-1", 2)
}

func TestCutOffHolderOverSlots(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneUpstream(3, 20*time.Millisecond))
	holder := awaitHolder(t, f, "lookups-1")
	fl := startFlood(f, "lookups", 24, otherHosts(f, holder)...)
	defer fl.stop()
	fl.awaitDone(t, 50)
	f.SetHostPaths(holder, relay.Disconnect)
	fleet.Eventually(t, "the host lets go", func() bool { return !holds(holder, "lookups-1") })
	fl.awaitDone(t, 50)
	wantOverSlots(t, f, "lookups-1", 1)
}

func TestLeavingHolderOverSlots(t *testing.T) {
	t.Parallel()
	opts := oneUpstream(3, 500*time.Millisecond)
	opts.Args = []string{"--lookup-ttl", "500ms"}
	f := fleet.Start(t, opts)
	holder := awaitHolder(t, f, "lookups-1")
	fl := startFlood(f, "lookups", 24, otherHosts(f, holder)...)
	defer fl.stop()
	fl.awaitDone(t, 6)
	holder.Stop()
	<-holder.Exited()
	fl.awaitDone(t, 6)
	wantOverSlots(t, f, "lookups-1", 1)
}

// A misleading load report at a change of holder keeps the slots neither full
// nor empty.
func TestMisleadingLoadReportAtAChangeOfHolder(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneUpstream(3, 5*time.Millisecond))
	holder := awaitHolder(t, f, "lookups-1")
	outOfRange := 1 << 20
	f.Backends["lookups-1"].SetFaults(backend.Faults{LoadReport: &outOfRange})
	holder.Kill()
	next := awaitHolder(t, f, "lookups-1")
	fl := startFlood(f, "lookups", 8, next)
	defer fl.stop()
	fl.awaitDone(t, 20)
	wantOverSlots(t, f, "lookups-1", 0)
	var metrics struct {
		Dropped int `json:"load_reports_dropped"`
	}
	if err := next.GetJSON("/debug/vars", &metrics); err != nil {
		t.Fatal(err)
	}
	if metrics.Dropped == 0 {
		t.Error("no load report was dropped")
	}
}

func otherHosts(f *fleet.Fleet, h *fleet.Host) []*fleet.Host {
	var out []*fleet.Host
	for _, other := range f.Hosts {
		if other != h {
			out = append(out, other)
		}
	}
	return out
}

// A caller that goes away does not end the work of the backend server, so
// that the slot is not free yet.
func TestAbandonedRequestKeepsItsSlot(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneUpstream(1, 400*time.Millisecond))
	wantDone(t, run(t, f.Client(), "lookups", "first"), "lookups", "first")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = f.Client().Run(ctx, "lookups", "", []byte("abandoned"), nil) }()
	fleet.Eventually(t, "the request runs", func() bool { return f.Backends["lookups-1"].Stats().Runs == 2 })
	cancel()
	wantDone(t, run(t, f.Client(), "lookups", "next"), "lookups", "next")
	wantOverSlots(t, f, "lookups-1", 0)
}
