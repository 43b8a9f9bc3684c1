package proofs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/fleet"
)

// shortTTLFleet returns the options of a three-host fleet whose callers cache
// look-ups for 100 ms, the shortest time that can be set. Callers then follow a
// drain at once, so that a daemon that learns of it late becomes visible.
func shortTTLFleet() fleet.Options {
	opts := threeHostFleet()
	opts.Args = []string{"--lookup-ttl", "100ms", "--stop-timeout", "30s"}
	return opts
}

// requestStream sends look-ups and payments through every host until it is
// stopped. Each of its callers sends one request after the other. failures
// describes the requests that were not done or had an attempt without an answer.
type requestStream struct {
	stop     chan struct{}
	workers  sync.WaitGroup
	mu       sync.Mutex
	failures []string
	sent     int
}

func startStream(f *fleet.Fleet) *requestStream {
	s := &requestStream{stop: make(chan struct{})}
	for i, h := range f.Hosts {
		others := append([]*fleet.Host{h}, f.Hosts...)
		for _, service := range []string{"lookups", "payments"} {
			c := f.Client(others...)
			for worker := range 2 {
				s.workers.Go(func() { s.send(c, service, fmt.Sprintf("%d-%d", i, worker)) })
			}
		}
	}
	return s
}

func (s *requestStream) send(c *caller.Caller, service, name string) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		default:
		}
		body := fmt.Sprintf("%s-%d", name, n)
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		result, err := c.Run(ctx, service, "", []byte(body), nil)
		cancel()
		s.record(service, body, result, err)
	}
}

func (s *requestStream) record(service, body string, r caller.Result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	complete := string(r.Body) == fmt.Sprintf("ran %s for %s\n", body, service)
	if err != nil || r.Outcome != request.OutcomeDone || r.LostAttempts > 0 || !complete {
		s.failures = append(s.failures, fmt.Sprintf("%s %s: %s (%s), %d attempts, %d lost, error %v", service, body, r.Outcome, r.Reason, r.Attempts, r.LostAttempts, err))
	}
}

func (s *requestStream) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// awaitSent waits until n further requests have been sent and have ended.
func (s *requestStream) awaitSent(t *testing.T, n int) {
	t.Helper()
	target := s.count() + n
	fleet.Eventually(t, "further requests are sent", func() bool { return s.count() >= target })
}

// stopAndCheck stops the stream and fails the test if a request was not done or
// an attempt was cut off without an answer.
func (s *requestStream) stopAndCheck(t *testing.T) {
	t.Helper()
	close(s.stop)
	s.workers.Wait()
	if len(s.failures) > 0 {
		t.Fatalf("%d of %d requests were cut off or not done:\n%s", len(s.failures), s.sent, strings.Join(s.failures, "\n"))
	}
}

// isListed reports whether a look-up at one host lists another host.
func isListed(t *testing.T, f *fleet.Fleet, at, host *fleet.Host) bool {
	t.Helper()
	lookup, err := f.Client(at).Lookup(context.Background(), "lookups")
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range lookup.Hosts {
		if h.ID == host.ID {
			return true
		}
	}
	return false
}

// awaitListed waits until look-ups at every host list a host, or no longer list
// it.
func awaitListed(t *testing.T, f *fleet.Fleet, host *fleet.Host, want bool) {
	t.Helper()
	fleet.Eventually(t, fmt.Sprintf("look-ups list %s: %v", host.ID, want), func() bool {
		for _, at := range f.Hosts {
			if isListed(t, f, at, host) != want {
				return false
			}
		}
		return true
	})
}

// TestRollingRestartCutsNoRequest guards against requests that are cut off, not
// done or run twice when hosts are stopped gracefully and restarted one after the
// other under load.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	f := fleet.Start(t, shortTTLFleet())
	for _, h := range f.Hosts {
		s := startStream(f)
		s.awaitSent(t, 100)
		h.Stop()
		<-h.Exited()
		s.awaitSent(t, 100)
		s.stopAndCheck(t)
		if code := h.ExitCode(); code != 0 {
			t.Fatalf("%s exited with %d, want 0:\n%s", h.ID, code, h.Log())
		}
		f.Restart(h)
		f.WaitConverged()
	}
	for name, b := range f.Backends {
		if n := b.Stats().DuplicateRuns; n > 0 {
			t.Errorf("%s: %d duplicate runs of a key, want 0", name, n)
		}
	}
}

// TestDrainedHostServesCallersWithCachedLookups guards against a drained host that
// stays in look-ups, or that stops serving callers whose cached look-up still lists
// it. The host is drained by its entry, by the entry of its data centre, and by the
// platform's list of hosts.
func TestDrainedHostServesCallersWithCachedLookups(t *testing.T) {
	f := fleet.Start(t, shortTTLFleet())
	h := f.Hosts[0]
	host := &catalogue.Host{Meta: catalogue.Meta{Schema: catalogue.SchemaVersion, Kind: catalogue.KindHost, Name: h.ID, Owner: "tests"}}
	dc := &catalogue.DataCentre{Meta: host.Meta, Region: h.Region}
	dc.Kind, dc.Name = catalogue.KindDataCentre, h.DataCentre
	drains := map[string]func(on bool){
		"entry":       func(on bool) { host.Drain = on; f.Apply(host) },
		"data centre": func(on bool) { dc.Drain = on; f.Apply(dc) },
		"host list": func(on bool) {
			f.PublishHosts()
			if on {
				f.PublishHosts(h)
			}
		},
	}
	for name, drain := range drains {
		t.Run(name, func(t *testing.T) {
			cached := f.Client(h)
			requireDone(t, runRequest(t, cached, "lookups", "before"), "lookups", "before")
			s := startStream(f)
			drain(true)
			awaitListed(t, f, h, false)
			requireDone(t, runRequest(t, cached, "lookups", "cached"), "lookups", "cached")
			s.awaitSent(t, 100)
			s.stopAndCheck(t)
			if !h.Running() {
				t.Errorf("%s exited when it was drained", h.ID)
			}
			drain(false)
			awaitListed(t, f, h, true)
		})
	}
}

// twoUpstreamFleet starts a fleet with two upstreams of one slot each. The second
// one is drained.
func twoUpstreamFleet(t *testing.T, work time.Duration) *fleet.Fleet {
	t.Helper()
	opts := shortTTLFleet()
	opts.Services = opts.Services[:1]
	opts.Upstreams = nil
	for _, name := range []string{"first", "second"} {
		opts.Upstreams = append(opts.Upstreams, fleet.Upstream{
			Name: name, Service: "lookups", DataCentre: "north-1", Options: backend.Options{Slots: 1, Work: work},
		})
	}
	f := fleet.Start(t, opts)
	f.SetUpstreamDrain("second", true)
	f.WaitConverged()
	return f
}

// TestQueueOfDrainedUpstreamMovesToAnother guards against requests that stay in the
// queue of a drained upstream, or that are cut off by the drain. The upstream is
// drained by its entry or by its load report while it runs a request and others
// are queued.
func TestQueueOfDrainedUpstreamMovesToAnother(t *testing.T) {
	drains := map[string]func(f *fleet.Fleet){
		"entry":       func(f *fleet.Fleet) { f.SetUpstreamDrain("first", true) },
		"load report": func(f *fleet.Fleet) { f.Backends["first"].SetFaults(backend.Faults{Draining: true}) },
	}
	for name, drain := range drains {
		t.Run(name, func(t *testing.T) {
			const requests = 5
			f := twoUpstreamFleet(t, time.Second)
			first, second := f.Backends["first"], f.Backends["second"]
			var all sync.WaitGroup
			for n := range requests {
				body := fmt.Sprintf("request-%d", n)
				c := f.Client(f.Hosts[n%len(f.Hosts)])
				all.Go(func() {
					r := runRequest(t, c, "lookups", body)
					if r.Outcome != request.OutcomeDone || r.LostAttempts > 0 {
						t.Errorf("%s: got %s (%s), %d attempts lost; want done, 0 lost", body, r.Outcome, r.Reason, r.LostAttempts)
					}
				})
			}
			fleet.Eventually(t, "the first upstream runs a request", func() bool { return first.Stats().Runs > 0 })
			f.SetUpstreamDrain("second", false)
			drain(f)
			all.Wait()
			if one, other := first.Stats().Runs, second.Stats().Runs; one > 2 || one+other != requests {
				t.Errorf("drained upstream ran %d and the other %d of %d requests, want at most 2 on the drained one", one, other, requests)
			}
			settledRuns := first.Stats().Runs
			for n := range 4 {
				runRequest(t, f.Client(f.Hosts[n%len(f.Hosts)]), "lookups", "later")
			}
			if got := first.Stats().Runs; got != settledRuns {
				t.Errorf("drained upstream ran %d further requests, want 0", got-settledRuns)
			}
		})
	}
}

// TestStopWaitsForAbandonedPayment guards against a daemon that stops gracefully
// while a payment of which it owns the key still runs, because its caller has
// disconnected.
func TestStopWaitsForAbandonedPayment(t *testing.T) {
	opts := shortTTLFleet()
	opts.Upstreams = []fleet.Upstream{{
		Name: "slow", Service: "payments", DataCentre: "north-1", Options: backend.Options{Slots: 1, Work: 2500 * time.Millisecond},
	}}
	f := fleet.Start(t, opts)
	owner, b := f.Hosts[0], f.Backends["slow"]
	ctx, disconnect := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = f.Client(owner).Run(ctx, "payments", "", []byte("abandoned"), nil)
	}()
	fleet.Eventually(t, "the payment runs", func() bool { return b.Stats().Runs == 1 })
	disconnect()
	<-gone
	owner.Stop()
	<-owner.Exited()
	if runs := b.RecordedRuns(); len(runs) != 1 || runs[0].End.IsZero() {
		t.Errorf("the owner exited before its payment ended: %+v\n%s", runs, owner.Log())
	}
	if code := owner.ExitCode(); code != 0 {
		t.Errorf("owner exited with %d, want 0", code)
	}
}

// TestSecondSignalLogsCutRequests guards against a second SIGTERM that does not end
// a graceful stop which waits for a long request, or that ends it without logging
// how many requests it cut off.
func TestSecondSignalLogsCutRequests(t *testing.T) {
	opts := shortTTLFleet()
	opts.Upstreams = []fleet.Upstream{{
		Name: "slow", Service: "lookups", DataCentre: "north-1", Options: backend.Options{Slots: 1, Work: 4 * time.Second},
	}}
	f := fleet.Start(t, opts)
	h := f.Hosts[0]
	go func() {
		_, _ = f.Client(h).Run(context.Background(), "lookups", "", []byte("long"), nil)
	}()
	fleet.Eventually(t, "the request runs", func() bool { return f.Backends["slow"].Stats().Runs == 1 })
	h.Stop()
	fleet.Eventually(t, "the graceful stop begins", func() bool { return strings.Contains(h.Log(), "event=daemon.leaving") })
	h.Stop()
	<-h.Exited()
	if code := h.ExitCode(); code != 3 {
		t.Errorf("exited with %d, want 3", code)
	}
	if !strings.Contains(h.Log(), "event=daemon.cut") || !strings.Contains(h.Log(), "requests=1") {
		t.Errorf("the log does not tell that 1 request was cut off:\n%s", h.Log())
	}
}
