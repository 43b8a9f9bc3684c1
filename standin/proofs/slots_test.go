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

// singleUpstreamFleet returns the options of a fleet of three entry hosts and
// one upstream in one data centre.
func singleUpstreamFleet(slots int, work time.Duration) fleet.Options {
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

// floodTimeout is how long a caller waits for the answer to a request of a
// flood.
const floodTimeout = 8 * time.Second

// flood keeps a number of requests of a service in flight until stop is called.
type flood struct {
	cancel   context.CancelFunc
	done     sync.WaitGroup
	sent     atomic.Int64
	answered atomic.Int64
}

func startFlood(f *fleet.Fleet, service string, requests int, hosts ...*fleet.Host) *flood {
	ctx, cancel := context.WithCancel(context.Background())
	fl := &flood{cancel: cancel}
	client := f.Client(hosts...)
	for n := range requests {
		fl.done.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				fl.sendOne(ctx, client, service, fmt.Sprintf("flood-%d-%d", n, i))
			}
		})
	}
	return fl
}

func (fl *flood) sendOne(ctx context.Context, c *caller.Caller, service, body string) {
	ctx, cancel := context.WithTimeout(ctx, floodTimeout)
	defer cancel()
	fl.sent.Add(1)
	result, err := c.Run(ctx, service, "", []byte(body), nil)
	if err == nil && result.Outcome == request.OutcomeDone {
		fl.answered.Add(1)
		return
	}
	time.Sleep(5 * time.Millisecond)
}

func (fl *flood) stop() {
	fl.cancel()
	fl.done.Wait()
}

// awaitAnswers waits until the given number of further requests are answered.
func (fl *flood) awaitAnswers(t *testing.T, more int64) {
	t.Helper()
	want := fl.answered.Load() + more
	fleet.Eventually(t, "requests of the flood are answered", func() bool { return fl.answered.Load() >= want })
}

// holderOf returns the running host that holds an upstream according to the
// logs, or nil if no host or more than one holds it.
func holderOf(f *fleet.Fleet, upstream string) *fleet.Host {
	var found *fleet.Host
	for _, h := range f.Hosts {
		if !h.Running() || !isHolder(h, upstream) {
			continue
		}
		if found != nil {
			return nil
		}
		found = h
	}
	return found
}

// isHolder reports whether the last hold event of an upstream in a host's log is
// hold.open.
func isHolder(h *fleet.Host, upstream string) bool {
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

func checkMaxOverSlots(t *testing.T, f *fleet.Fleet, upstream string, most int) {
	t.Helper()
	if got := f.Backends[upstream].Stats().ArrivalsOverSlots; got > most {
		t.Errorf("%d requests arrived at %s while all its slots were in use, want at most %d", got, upstream, most)
	}
}

// TestNoDispatchBeyondSlots guards against more dispatched requests than an
// upstream has slots, and against unused slots, when 24 callers compete for 3
// slots through three entry hosts.
func TestNoDispatchBeyondSlots(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, singleUpstreamFleet(3, 2*time.Millisecond))
	fl := startFlood(f, "lookups", 24)
	fl.awaitAnswers(t, 500)
	fl.stop()
	checkMaxOverSlots(t, f, "lookups-1", 0)
	if got := f.Backends["lookups-1"].Stats().PeakConcurrency; got != 3 {
		t.Errorf("peak concurrency is %d, want 3", got)
	}
}

// TestReducedSlotsLimitConcurrency guards against dispatch by an old number of
// slots after the catalogue entry of an upstream has reduced it from 6 to 2.
func TestReducedSlotsLimitConcurrency(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, singleUpstreamFleet(6, 2*time.Millisecond))
	fl := startFlood(f, "lookups", 24)
	defer fl.stop()
	fl.awaitAnswers(t, 100)
	entry := *f.UpstreamEntry("lookups-1")
	entry.Slots = 2
	f.Apply(&entry)
	f.WaitConverged()
	fl.awaitAnswers(t, 100)
	if got := f.Backends["lookups-1"].PeakConcurrencyDuring(func() { fl.awaitAnswers(t, 200) }); got > 2 {
		t.Errorf("%d requests ran concurrently, want at most 2", got)
	}
}

// TestSlotOverrunWhenHolderIsKilled guards against a new holder that dispatches
// into slots still used by requests of the killed holder. At most one request
// may exceed the slots.
func TestSlotOverrunWhenHolderIsKilled(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, singleUpstreamFleet(3, 1500*time.Millisecond))
	holder := awaitHolder(t, f, "lookups-1")
	fl := startFlood(f, "lookups", 24)
	defer fl.stop()
	fl.awaitAnswers(t, 6)
	holder.Kill()
	fl.awaitAnswers(t, 6)
	checkMaxOverSlots(t, f, "lookups-1", 1)
	if next := awaitHolder(t, f, "lookups-1"); next == holder {
		t.Fatalf("%s still holds the upstream", holder.ID)
	}
}

// TestSlotOverrunWhenHolderIsPaused guards against two holders that dispatch at
// the same time: a holder is paused until another host takes over, and then
// resumes with requests in its queue. Each change of holder may exceed the slots
// by one request.
func TestSlotOverrunWhenHolderIsPaused(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, singleUpstreamFleet(3, 20*time.Millisecond))
	holder := awaitHolder(t, f, "lookups-1")
	others := hostsExcept(f, holder)
	fl := startFlood(f, "lookups", 24, others...)
	defer fl.stop()
	fl.awaitAnswers(t, 50)
	holder.Pause()
	defer holder.Resume()
	fleet.Eventually(t, "another host holds the upstream", func() bool {
		return isHolder(others[0], "lookups-1") || isHolder(others[1], "lookups-1")
	})
	// The deadlines of the requests queued at the paused host have not passed,
	// so that it could still dispatch them when it resumes.
	second := startFlood(f, "lookups", 24, others...)
	defer second.stop()
	second.awaitAnswers(t, 20)
	checkMaxOverSlots(t, f, "lookups-1", 1)
	holder.Resume()
	fleet.Eventually(t, "the host holds the upstream again", func() bool { return isHolder(holder, "lookups-1") })
	fl.awaitAnswers(t, 50)
	checkMaxOverSlots(t, f, "lookups-1", 2)
}

// TestSlotOverrunWhenHolderIsIsolated guards against a holder that goes on
// dispatching while it is disconnected from its peers and another host has taken
// over. At most one request may exceed the slots.
func TestSlotOverrunWhenHolderIsIsolated(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, singleUpstreamFleet(3, 20*time.Millisecond))
	holder := awaitHolder(t, f, "lookups-1")
	fl := startFlood(f, "lookups", 24, hostsExcept(f, holder)...)
	defer fl.stop()
	fl.awaitAnswers(t, 50)
	f.SetHostPaths(holder, relay.Disconnect)
	fleet.Eventually(t, "the isolated host closes its hold", func() bool { return !isHolder(holder, "lookups-1") })
	fl.awaitAnswers(t, 50)
	checkMaxOverSlots(t, f, "lookups-1", 1)
}

// TestSlotOverrunWhenHolderStops guards against a new holder that dispatches into
// slots still used by requests of a holder that stops gracefully. At most one
// request may exceed the slots.
func TestSlotOverrunWhenHolderStops(t *testing.T) {
	t.Parallel()
	opts := singleUpstreamFleet(3, 500*time.Millisecond)
	opts.Args = []string{"--lookup-ttl", "500ms"}
	f := fleet.Start(t, opts)
	holder := awaitHolder(t, f, "lookups-1")
	fl := startFlood(f, "lookups", 24, hostsExcept(f, holder)...)
	defer fl.stop()
	fl.awaitAnswers(t, 6)
	holder.Stop()
	<-holder.Exited()
	fl.awaitAnswers(t, 6)
	checkMaxOverSlots(t, f, "lookups-1", 1)
}

// TestInvalidLoadReportDuringFailover guards against a new holder that believes
// an out-of-range load report of the backend server: it must drop the report,
// and neither stop dispatching nor dispatch beyond the slots.
func TestInvalidLoadReportDuringFailover(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, singleUpstreamFleet(3, 5*time.Millisecond))
	holder := awaitHolder(t, f, "lookups-1")
	outOfRange := 1 << 20
	f.Backends["lookups-1"].SetFaults(backend.Faults{LoadReport: &outOfRange})
	holder.Kill()
	next := awaitHolder(t, f, "lookups-1")
	fl := startFlood(f, "lookups", 8, next)
	defer fl.stop()
	fl.awaitAnswers(t, 20)
	checkMaxOverSlots(t, f, "lookups-1", 0)
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

func hostsExcept(f *fleet.Fleet, h *fleet.Host) []*fleet.Host {
	var out []*fleet.Host
	for _, other := range f.Hosts {
		if other != h {
			out = append(out, other)
		}
	}
	return out
}

// TestAbandonedRequestKeepsItsSlot guards against a slot that is reused when a
// caller disconnects: the backend server goes on with the request, so that the
// slot is not free yet.
func TestAbandonedRequestKeepsItsSlot(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, singleUpstreamFleet(1, 400*time.Millisecond))
	requireDone(t, runRequest(t, f.Client(), "lookups", "first"), "lookups", "first")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = f.Client().Run(ctx, "lookups", "", []byte("abandoned"), nil) }()
	fleet.Eventually(t, "the request runs", func() bool { return f.Backends["lookups-1"].Stats().Runs == 2 })
	cancel()
	requireDone(t, runRequest(t, f.Client(), "lookups", "next"), "lookups", "next")
	checkMaxOverSlots(t, f, "lookups-1", 0)
}
