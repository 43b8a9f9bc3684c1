package proofs

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/platform"
	"bilberrytiller.example/standin/relay"
)

// payment is one request with its key, which host-1 owns unless told else.
type payment struct {
	t    *testing.T
	f    *fleet.Fleet
	key  string
	body string
	// deadline is in milliseconds, "" for that of the service.
	deadline string
}

// newPayment makes a look-up at the owner-to-be.
func newPayment(t *testing.T, f *fleet.Fleet, owner *fleet.Host, body string) *payment {
	t.Helper()
	lookup, err := f.Client(owner).Lookup(context.Background(), "payments")
	if err != nil {
		t.Fatal(err)
	}
	if lookup.Hosts[0].ID != owner.ID {
		t.Fatalf("key is owned by %s, want %s", lookup.Hosts[0].ID, owner.ID)
	}
	return &payment{t: t, f: f, key: lookup.Key, body: body}
}

// send sends the payment to one entry host, once.
func (p *payment) send(ctx context.Context, h *fleet.Host) caller.Result {
	header := http.Header{}
	if p.deadline != "" {
		header.Set(callerapi.HeaderDeadline, p.deadline)
	}
	return p.f.Client(h).RunAt(ctx, h.Caller.String(), "payments", "", p.key, []byte(p.body), header)
}

// want sends the payment and checks its outcome, and its answer when done.
func (p *payment) want(h *fleet.Host, outcome request.Outcome) {
	p.t.Helper()
	result := p.send(context.Background(), h)
	if result.Outcome != outcome {
		p.t.Fatalf("%s at %s: got %s (%s), want %s", p.body, h.ID, result.Outcome, result.Reason, outcome)
	}
	if outcome == request.Done {
		wantDone(p.t, result, "payments", p.body)
	}
}

// eventually sends the payment until it is done.
func (p *payment) eventually(h *fleet.Host) {
	p.t.Helper()
	fleet.Eventually(p.t, p.body+" is done at "+h.ID, func() bool {
		return p.send(context.Background(), h).Outcome == request.Done
	})
}

// runs counts the runs of the payment on all backend servers.
func (p *payment) runs() int {
	n := 0
	for _, b := range p.f.Backends {
		for _, r := range b.Ledger() {
			if r.Key == p.key {
				n++
			}
		}
	}
	return n
}

func (p *payment) wantRuns(n int) {
	p.t.Helper()
	if got := p.runs(); got != n {
		p.t.Fatalf("%s ran %d times, want %d", p.body, got, n)
	}
}

// start sends the payment at a host and returns once a backend server runs
// it. The result comes later.
func (p *payment) start(ctx context.Context, h *fleet.Host) <-chan caller.Result {
	p.t.Helper()
	result := make(chan caller.Result, 1)
	go func() { result <- p.send(ctx, h) }()
	fleet.Eventually(p.t, p.body+" starts", func() bool { return p.runs() == 1 })
	return result
}

// slowFleet is a small fleet whose payments take the given time, with the
// given slots on each backend server.
func slowFleet(work time.Duration, slots int) fleet.Options {
	opts := smallFleet()
	opts.Args = []string{"--lookup-ttl", "200ms"}
	for i := range opts.Upstreams {
		if opts.Upstreams[i].Service == "payments" {
			opts.Upstreams[i].Options.Work = work
			opts.Upstreams[i].Options.Slots = slots
		}
	}
	return opts
}

func TestOwnerKilledMidRun(t *testing.T) {
	f := fleet.Start(t, slowFleet(500*time.Millisecond, 4))
	started, unsent := newPayment(t, f, f.Hosts[0], "started"), newPayment(t, f, f.Hosts[0], "unsent")
	result := started.start(context.Background(), f.Hosts[1])
	f.Hosts[0].Kill()
	if got := <-result; got.Outcome != request.Unknown {
		t.Fatalf("got %s (%s), want unknown", got.Outcome, got.Reason)
	}
	f.Restart(f.Hosts[0])
	f.WaitConverged()
	for _, h := range f.Hosts {
		started.want(h, request.Unknown)
		unsent.want(h, request.Unknown)
	}
	started.wantRuns(1)
	unsent.wantRuns(0)
}

func TestOwnerPausedMidRun(t *testing.T) {
	f := fleet.Start(t, slowFleet(300*time.Millisecond, 4))
	p := newPayment(t, f, f.Hosts[0], "paused")
	p.deadline = "1000"
	result := p.start(context.Background(), f.Hosts[1])
	f.Hosts[0].Pause()
	if got := <-result; got.Outcome != request.Unknown {
		t.Fatalf("got %s (%s), want unknown", got.Outcome, got.Reason)
	}
	p.want(f.Hosts[2], request.Unknown)
	f.Hosts[0].Resume()
	p.eventually(f.Hosts[2])
	p.wantRuns(1)
}

func TestOwnerCutOffMidRun(t *testing.T) {
	for _, mode := range []relay.Mode{relay.Cut, relay.Silent} {
		f := fleet.Start(t, slowFleet(300*time.Millisecond, 4))
		p := newPayment(t, f, f.Hosts[0], "cut-off")
		p.deadline = "1000"
		result := p.start(context.Background(), f.Hosts[1])
		f.CutOff(f.Hosts[0], mode)
		if got := <-result; got.Outcome != request.Unknown {
			t.Fatalf("got %s (%s), want unknown", got.Outcome, got.Reason)
		}
		p.want(f.Hosts[2], request.Unknown)
		f.CutOff(f.Hosts[0], relay.Pass)
		// The backend's answer may have been lost on the way to the owner.
		fleet.Eventually(t, "owner has settled the run", func() bool {
			got := p.send(context.Background(), f.Hosts[0])
			return got.Reason == request.ReasonReplayed || got.Reason == request.ReasonPeerLost
		})
		p.wantRuns(1)
	}
}

func TestPaymentsWhilePlatformIsDown(t *testing.T) {
	f := fleet.Start(t, smallFleet())
	f.Platform.SetFaults(platform.Faults{Down: true})
	for i := range 20 {
		p := newPayment(t, f, f.Hosts[0], fmt.Sprintf("payment-%d", i))
		p.want(f.Hosts[i%3], request.Done)
		p.want(f.Hosts[(i+1)%3], request.Done)
		p.wantRuns(1)
	}
}

func TestKeySentToSeveralHostsAtOnce(t *testing.T) {
	f := fleet.Start(t, slowFleet(20*time.Millisecond, 4))
	for i := range 10 {
		p := newPayment(t, f, f.Hosts[0], fmt.Sprintf("payment-%d", i))
		var all sync.WaitGroup
		for n := range 12 {
			all.Go(func() {
				if got := p.send(context.Background(), f.Hosts[n%3]); got.Outcome != request.Done {
					t.Errorf("%s: got %s (%s), want done", p.body, got.Outcome, got.Reason)
				}
			})
		}
		all.Wait()
		p.wantRuns(1)
	}
}

func TestPlannedStopsHandKeysOver(t *testing.T) {
	f := fleet.Start(t, slowFleet(20*time.Millisecond, 4))
	ran, unsent := newPayment(t, f, f.Hosts[0], "ran"), newPayment(t, f, f.Hosts[0], "unsent")
	ran.want(f.Hosts[0], request.Done)
	stop := sendPayments(f)
	for _, h := range f.Hosts[:2] {
		slow := newPayment(t, f, h, "during-stop-of-"+h.ID)
		h.Leave()
		slow.want(f.Hosts[2], request.Done)
		<-h.Exited()
		if h.ExitCode() != 0 {
			t.Fatalf("%s exited with %d:\n%s", h.ID, h.ExitCode(), h.Log())
		}
		ran.want(f.Hosts[2], request.Done)
		slow.want(f.Hosts[2], request.Done)
		slow.wantRuns(1)
	}
	for body, result := range stop() {
		if result.Outcome != request.Done || result.Tries != 1 {
			t.Errorf("%s: got %s (%s) after %d tries, want done after 1", body, result.Outcome, result.Reason, result.Tries)
		}
	}
	unsent.want(f.Hosts[2], request.Done)
	ran.wantRuns(1)
	unsent.wantRuns(1)
	for name, b := range f.Backends {
		if n := b.Stats().DoubleRuns; n != 0 {
			t.Errorf("%s: %d double runs", name, n)
		}
	}
}

// sendPayments sends payments through all hosts until stop is called, which
// returns what became of each.
func sendPayments(f *fleet.Fleet) (stop func() map[string]caller.Result) {
	ctx, cancel := context.WithCancel(context.Background())
	results := map[string]caller.Result{}
	var mu sync.Mutex
	var all sync.WaitGroup
	client := f.Client()
	for worker := range 4 {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Sprintf("flow-%d-%d", worker, n)
				result, err := client.Run(context.Background(), "payments", "", []byte(body), nil)
				if err != nil {
					result.Reason = request.Reason(err.Error())
				}
				mu.Lock()
				results[body] = result
				mu.Unlock()
			}
		})
	}
	return func() map[string]caller.Result {
		cancel()
		all.Wait()
		return results
	}
}

// keysHeld reads how many keys a daemon holds, or -1.
func keysHeld(h *fleet.Host) int {
	held := struct {
		Keys int `json:"keys_held"`
	}{-1}
	if err := h.Read(operatorapi.PathMetrics, &held); err != nil {
		return -1
	}
	return held.Keys
}

func TestCallerGoneBeforeDispatch(t *testing.T) {
	opts := slowFleet(2*time.Second, 1)
	opts.Upstreams = slices.DeleteFunc(opts.Upstreams, func(u fleet.Upstream) bool { return u.Name == "payments-south-1" })
	f := fleet.Start(t, opts)
	ctx, gone := context.WithCancel(context.Background())
	running := newPayment(t, f, f.Hosts[0], "running").start(context.Background(), f.Hosts[0])
	p := newPayment(t, f, f.Hosts[0], "queued")
	queued := make(chan caller.Result, 1)
	go func() { queued <- p.send(ctx, f.Hosts[1]) }()
	fleet.Eventually(t, "queued", func() bool { return keysHeld(f.Hosts[0]) == 2 })
	gone()
	<-queued
	// The key of a request that did not run is forgotten and serves again.
	fleet.Eventually(t, "key is forgotten", func() bool { return keysHeld(f.Hosts[0]) == 1 })
	<-running
	p.wantRuns(0)
	p.want(f.Hosts[2], request.Done)
	p.wantRuns(1)
}

func TestCallerGoneAfterDispatch(t *testing.T) {
	f := fleet.Start(t, slowFleet(time.Second, 1))
	p := newPayment(t, f, f.Hosts[0], "started")
	ctx, gone := context.WithCancel(context.Background())
	result := p.start(ctx, f.Hosts[1])
	gone()
	<-result
	p.eventually(f.Hosts[2])
	p.wantRuns(1)
}

func TestPaymentsThroughLostConnections(t *testing.T) {
	// The payments' only upstream stands in the region of host-3, which holds it.
	opts := slowFleet(400*time.Millisecond, 8)
	opts.Upstreams = slices.DeleteFunc(opts.Upstreams, func(u fleet.Upstream) bool { return u.Name == "payments-north-1" })
	f := fleet.Start(t, opts)
	newPayment(t, f, f.Hosts[0], "first").want(f.Hosts[0], request.Done)
	idle := newPayment(t, f, f.Hosts[0], "sent-on-silent-connection")
	f.CutOff(f.Hosts[0], relay.SilentOpen)
	idle.want(f.Hosts[0], request.Done)
	idle.wantRuns(1)
	running := newPayment(t, f, f.Hosts[0], "running-when-cut")
	result := running.start(context.Background(), f.Hosts[0])
	f.CutOff(f.Hosts[0], relay.Cut)
	f.CutOff(f.Hosts[0], relay.Pass)
	wantDone(t, <-result, "payments", running.body)
	running.wantRuns(1)
}
