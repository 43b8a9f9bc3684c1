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

// drainFleet is a small fleet whose callers keep look-ups for the shortest
// time that may be set, so that a daemon that learns late of a drain shows.
func drainFleet() fleet.Options {
	opts := smallFleet()
	opts.Args = []string{"--lookup-ttl", "100ms", "--stop-timeout", "30s"}
	return opts
}

// stream sends requests of two services through every host until stopped,
// each caller one after the other.
type stream struct {
	stop chan struct{}
	wait sync.WaitGroup
	mu   sync.Mutex
	bad  []string
	sent int
}

func startStream(f *fleet.Fleet) *stream {
	s := &stream{stop: make(chan struct{})}
	for i, h := range f.Hosts {
		others := append([]*fleet.Host{h}, f.Hosts...)
		for _, service := range []string{"lookups", "payments"} {
			c := f.Client(others...)
			for worker := range 2 {
				s.wait.Go(func() { s.send(c, service, fmt.Sprintf("%d-%d", i, worker)) })
			}
		}
	}
	return s
}

func (s *stream) send(c *caller.Caller, service, name string) {
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
		s.note(service, body, result, err)
	}
}

func (s *stream) note(service, body string, r caller.Result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	whole := string(r.Body) == fmt.Sprintf("ran %s for %s\n", body, service)
	if err != nil || r.Outcome != request.OutcomeDone || r.LostAttempts > 0 || !whole {
		s.bad = append(s.bad, fmt.Sprintf("%s %s: %s (%s), %d tries, %d lost, %v", service, body, r.Outcome, r.Reason, r.Attempts, r.LostAttempts, err))
	}
}

func (s *stream) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// more waits until the stream has sent a number of requests more.
func (s *stream) more(t *testing.T, n int) {
	t.Helper()
	target := s.count() + n
	fleet.Eventually(t, "stream goes on", func() bool { return s.count() >= target })
}

// end stops the stream and fails the test if any request was cut or not done.
func (s *stream) end(t *testing.T) {
	t.Helper()
	close(s.stop)
	s.wait.Wait()
	if len(s.bad) > 0 {
		t.Fatalf("%d of %d requests were cut or not done:\n%s", len(s.bad), s.sent, strings.Join(s.bad, "\n"))
	}
}

// listedBy reports whether a look-up at one host names another.
func listedBy(t *testing.T, f *fleet.Fleet, at, host *fleet.Host) bool {
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

func waitListed(t *testing.T, f *fleet.Fleet, host *fleet.Host, want bool) {
	t.Helper()
	fleet.Eventually(t, fmt.Sprintf("look-ups name %s: %v", host.ID, want), func() bool {
		for _, at := range f.Hosts {
			if listedBy(t, f, at, host) != want {
				return false
			}
		}
		return true
	})
}

// TestEveryHostRestartsUnnoticed stops and restarts the hosts one by one
// under a stream of requests.
func TestEveryHostRestartsUnnoticed(t *testing.T) {
	f := fleet.Start(t, drainFleet())
	for _, h := range f.Hosts {
		s := startStream(f)
		s.more(t, 100)
		h.Stop()
		<-h.Exited()
		s.more(t, 100)
		s.end(t)
		if code := h.ExitCode(); code != 0 {
			t.Fatalf("%s ended with %d:\n%s", h.ID, code, h.Log())
		}
		f.Restart(h)
		f.WaitConverged()
	}
	for name, b := range f.Backends {
		if n := b.Stats().DuplicateRuns; n > 0 {
			t.Errorf("%s: %d double runs", name, n)
		}
	}
}

// TestDrainedHostServesCachedCallers drains one host by its entry, by its
// data centre and by the platform's list of hosts.
func TestDrainedHostServesCachedCallers(t *testing.T) {
	f := fleet.Start(t, drainFleet())
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
			wantDone(t, run(t, cached, "lookups", "before"), "lookups", "before")
			s := startStream(f)
			drain(true)
			waitListed(t, f, h, false)
			wantDone(t, run(t, cached, "lookups", "cached"), "lookups", "cached")
			s.more(t, 100)
			s.end(t)
			if !h.Running() {
				t.Errorf("%s ended on a drain", h.ID)
			}
			drain(false)
			waitListed(t, f, h, true)
		})
	}
}

// queueFleet has two upstreams of one slot each; the second is drained.
func queueFleet(t *testing.T, work time.Duration) *fleet.Fleet {
	t.Helper()
	opts := drainFleet()
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

// TestDrainedUpstreamHandsItsQueueOn drains an upstream by its entry or by
// its load report while one request runs there and more wait.
func TestDrainedUpstreamHandsItsQueueOn(t *testing.T) {
	drains := map[string]func(f *fleet.Fleet){
		"entry":       func(f *fleet.Fleet) { f.SetUpstreamDrain("first", true) },
		"load report": func(f *fleet.Fleet) { f.Backends["first"].SetFaults(backend.Faults{Draining: true}) },
	}
	for name, drain := range drains {
		t.Run(name, func(t *testing.T) {
			const requests = 5
			f := queueFleet(t, time.Second)
			first, second := f.Backends["first"], f.Backends["second"]
			var all sync.WaitGroup
			for n := range requests {
				body := fmt.Sprintf("request-%d", n)
				c := f.Client(f.Hosts[n%len(f.Hosts)])
				all.Go(func() {
					r := run(t, c, "lookups", body)
					if r.Outcome != request.OutcomeDone || r.LostAttempts > 0 {
						t.Errorf("%s: %s (%s), %d lost", body, r.Outcome, r.Reason, r.LostAttempts)
					}
				})
			}
			fleet.Eventually(t, "first runs a request", func() bool { return first.Stats().Runs > 0 })
			f.SetUpstreamDrain("second", false)
			drain(f)
			all.Wait()
			if one, other := first.Stats().Runs, second.Stats().Runs; one > 2 || one+other != requests {
				t.Errorf("drained upstream ran %d and the other %d of %d", one, other, requests)
			}
			atRest := first.Stats().Runs
			for n := range 4 {
				run(t, f.Client(f.Hosts[n%len(f.Hosts)]), "lookups", "later")
			}
			if got := first.Stats().Runs; got != atRest {
				t.Errorf("drained upstream got %d more requests", got-atRest)
			}
		})
	}
}

// TestStopWaitsForAbandonedPayment stops the owner of a payment whose caller
// went away.
func TestStopWaitsForAbandonedPayment(t *testing.T) {
	opts := drainFleet()
	opts.Upstreams = []fleet.Upstream{{
		Name: "slow", Service: "payments", DataCentre: "north-1", Options: backend.Options{Slots: 1, Work: 2500 * time.Millisecond},
	}}
	f := fleet.Start(t, opts)
	owner, b := f.Hosts[0], f.Backends["slow"]
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = f.Client(owner).Run(ctx, "payments", "", []byte("abandoned"), nil)
	}()
	fleet.Eventually(t, "payment runs", func() bool { return b.Stats().Runs == 1 })
	leave()
	<-gone
	owner.Stop()
	<-owner.Exited()
	if runs := b.RecordedRuns(); len(runs) != 1 || runs[0].End.IsZero() {
		t.Errorf("the owner ended before its payment: %+v\n%s", runs, owner.Log())
	}
	if code := owner.ExitCode(); code != 0 {
		t.Errorf("owner ended with %d", code)
	}
}

// TestSecondSignalTellsWhatIsCut ends a stop that waits for a long request.
func TestSecondSignalTellsWhatIsCut(t *testing.T) {
	opts := drainFleet()
	opts.Upstreams = []fleet.Upstream{{
		Name: "slow", Service: "lookups", DataCentre: "north-1", Options: backend.Options{Slots: 1, Work: 4 * time.Second},
	}}
	f := fleet.Start(t, opts)
	h := f.Hosts[0]
	go func() {
		_, _ = f.Client(h).Run(context.Background(), "lookups", "", []byte("long"), nil)
	}()
	fleet.Eventually(t, "request runs", func() bool { return f.Backends["slow"].Stats().Runs == 1 })
	h.Stop()
	fleet.Eventually(t, "stop begins", func() bool { return strings.Contains(h.Log(), "event=daemon.leaving") })
	h.Stop()
	<-h.Exited()
	if code := h.ExitCode(); code != 3 {
		t.Errorf("ended with %d, want 3", code)
	}
	if !strings.Contains(h.Log(), "event=daemon.cut") || !strings.Contains(h.Log(), "requests=1") {
		t.Errorf("the log does not tell what was cut:\n%s", h.Log())
	}
}
