package proofs

import (
	"slices"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/relay"
)

// TestSilentPeerConnections silences every open connection between the hosts
// while new ones work. The services have one upstream each and a deadline far
// beyond the caller's patience, so that requests cross silent connections and
// cannot be saved by their deadline.
func TestSilentPeerConnections(t *testing.T) {
	opts := smallFleet()
	opts.Upstreams = slices.DeleteFunc(opts.Upstreams, func(u fleet.Upstream) bool { return u.DataCentre != "north-1" })
	for i := range opts.Services {
		opts.Services[i].Class.Deadline = catalogue.Duration(10 * requestTimeout)
	}
	f := fleet.Start(t, opts)
	doneThroughEveryHost(t, f, "before")
	for _, from := range f.Hosts {
		for _, to := range f.Hosts {
			f.SetPath(from, to, relay.BlackholeOpen)
		}
	}
	doneThroughEveryHost(t, f, "after")
	wantNoDoubleRuns(t, f)
}

// TestSilentBackendConnections silences every connection that backend servers
// have open, while new ones work.
func TestSilentBackendConnections(t *testing.T) {
	opts := smallFleet()
	for i := range opts.Services {
		opts.Services[i].Class.Deadline = catalogue.Duration(10 * requestTimeout)
	}
	f := fleet.Start(t, opts)
	doneThroughEveryHost(t, f, "before")
	setFaults(f, backend.Faults{StallOpenConns: true})
	doneThroughEveryHost(t, f, "after")
	wantNoDoubleRuns(t, f)
}

// TestSlowBackendIsNotSilent gives requests work that takes longer than
// silence is waited for.
func TestSlowBackendIsNotSilent(t *testing.T) {
	opts := smallFleet()
	for i := range opts.Upstreams {
		opts.Upstreams[i].Options.Work = 1500 * time.Millisecond
	}
	f := fleet.Start(t, opts)
	var all sync.WaitGroup
	for _, service := range []string{"lookups", "payments"} {
		all.Go(func() {
			if r := run(t, f.Client(), service, "slow"); r.Outcome != request.OutcomeDone {
				t.Errorf("%s: got %s (%s), want done", service, r.Outcome, r.Reason)
			}
		})
	}
	all.Wait()
	runs := 0
	for _, b := range f.Backends {
		runs += b.Stats().Runs
	}
	if runs != 2 {
		t.Errorf("2 requests ran %d times", runs)
	}
}

// doneThroughEveryHost sends a look-up and a payment through every host and
// fails the test unless each is done.
func doneThroughEveryHost(t *testing.T, f *fleet.Fleet, name string) {
	t.Helper()
	for _, h := range f.Hosts {
		wantDone(t, run(t, f.Client(h), "lookups", name), "lookups", name)
		wantDone(t, run(t, f.Client(h), "payments", name+"-"+h.ID), "payments", name+"-"+h.ID)
	}
}

// wantNoDoubleRuns fails the test if a backend server ran a key twice.
func wantNoDoubleRuns(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, b := range f.Backends {
		if n := b.Stats().DuplicateRuns; n != 0 {
			t.Errorf("%d double runs", n)
		}
	}
}
