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

// TestStalledPeerConnections guards against requests that wait forever on open
// peer connections which carry no more bytes, while new connections work. Each
// service has one upstream, so that requests need the stalled connections, and a
// deadline of 10 times the caller's timeout, so that they cannot end by their
// deadline.
func TestStalledPeerConnections(t *testing.T) {
	opts := threeHostFleet()
	opts.Upstreams = slices.DeleteFunc(opts.Upstreams, func(u fleet.Upstream) bool { return u.DataCentre != "north-1" })
	for i := range opts.Services {
		opts.Services[i].Class.Deadline = catalogue.Duration(10 * requestTimeout)
	}
	f := fleet.Start(t, opts)
	requireDoneThroughEveryHost(t, f, "before")
	for _, from := range f.Hosts {
		for _, to := range f.Hosts {
			f.SetPath(from, to, relay.BlackholeOpen)
		}
	}
	requireDoneThroughEveryHost(t, f, "after")
	checkNoDuplicateRuns(t, f)
}

// TestStalledBackendConnections guards against requests that wait forever on open
// connections to backend servers which carry no more answers, while new
// connections work.
func TestStalledBackendConnections(t *testing.T) {
	opts := threeHostFleet()
	for i := range opts.Services {
		opts.Services[i].Class.Deadline = catalogue.Duration(10 * requestTimeout)
	}
	f := fleet.Start(t, opts)
	requireDoneThroughEveryHost(t, f, "before")
	setBackendFaults(f, backend.Faults{StallOpenConns: true})
	requireDoneThroughEveryHost(t, f, "after")
	checkNoDuplicateRuns(t, f)
}

// TestSlowBackendIsNotTreatedAsStalled guards against requests that are given up
// or sent again because the backend server works on them for longer than the
// time after which a connection counts as stalled.
func TestSlowBackendIsNotTreatedAsStalled(t *testing.T) {
	opts := threeHostFleet()
	for i := range opts.Upstreams {
		opts.Upstreams[i].Options.Work = 1500 * time.Millisecond
	}
	f := fleet.Start(t, opts)
	var all sync.WaitGroup
	for _, service := range []string{"lookups", "payments"} {
		all.Go(func() {
			if r := runRequest(t, f.Client(), service, "slow"); r.Outcome != request.OutcomeDone {
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
		t.Errorf("2 requests ran %d times in total, want 2", runs)
	}
}

// requireDoneThroughEveryHost sends a look-up and a payment through every host and
// fails the test unless each is done.
func requireDoneThroughEveryHost(t *testing.T, f *fleet.Fleet, name string) {
	t.Helper()
	for _, h := range f.Hosts {
		requireDone(t, runRequest(t, f.Client(h), "lookups", name), "lookups", name)
		requireDone(t, runRequest(t, f.Client(h), "payments", name+"-"+h.ID), "payments", name+"-"+h.ID)
	}
}

// checkNoDuplicateRuns reports an error if a backend server ran a key more than
// once.
func checkNoDuplicateRuns(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, b := range f.Backends {
		if n := b.Stats().DuplicateRuns; n != 0 {
			t.Errorf("%d duplicate runs of a key, want 0", n)
		}
	}
}
