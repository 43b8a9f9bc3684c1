package proofs

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	tiller "bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/platformhttp"

	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/platform"
	"bilberrytiller.example/standin/relay"
)

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
	started, unsent := f.NewPayment(t, f.Hosts[0], "started"), f.NewPayment(t, f.Hosts[0], "unsent")
	result := started.StartRun(context.Background(), f.Hosts[1])
	f.Hosts[0].Kill()
	if got := <-result; got.Outcome != request.OutcomeUnknown {
		t.Fatalf("got %s (%s), want unknown", got.Outcome, got.Reason)
	}
	f.Restart(f.Hosts[0])
	f.WaitConverged()
	for _, h := range f.Hosts {
		started.RequireOutcome(h, request.OutcomeUnknown)
		unsent.RequireOutcome(h, request.OutcomeUnknown)
	}
	started.RequireRuns(1)
	unsent.RequireRuns(0)
}

func TestOwnerPausedMidRun(t *testing.T) {
	f := fleet.Start(t, slowFleet(300*time.Millisecond, 4))
	p := f.NewPayment(t, f.Hosts[0], "paused")
	p.Deadline = "1000"
	result := p.StartRun(context.Background(), f.Hosts[1])
	f.Hosts[0].Pause()
	if got := <-result; got.Outcome != request.OutcomeUnknown {
		t.Fatalf("got %s (%s), want unknown", got.Outcome, got.Reason)
	}
	p.RequireOutcome(f.Hosts[2], request.OutcomeUnknown)
	f.Hosts[0].Resume()
	p.RetryUntilDone(f.Hosts[2])
	p.RequireRuns(1)
}

func TestOwnerCutOffMidRun(t *testing.T) {
	for _, mode := range []relay.Mode{relay.Disconnect, relay.Blackhole} {
		f := fleet.Start(t, slowFleet(300*time.Millisecond, 4))
		p := f.NewPayment(t, f.Hosts[0], "cut-off")
		p.Deadline = "1000"
		result := p.StartRun(context.Background(), f.Hosts[1])
		f.SetHostPaths(f.Hosts[0], mode)
		if got := <-result; got.Outcome != request.OutcomeUnknown {
			t.Fatalf("got %s (%s), want unknown", got.Outcome, got.Reason)
		}
		p.RequireOutcome(f.Hosts[2], request.OutcomeUnknown)
		f.SetHostPaths(f.Hosts[0], relay.Pass)
		// The backend's answer may have been lost on the way to the owner.
		fleet.Eventually(t, "owner has settled the run", func() bool {
			got := p.Send(context.Background(), f.Hosts[0])
			return got.Reason == request.ReasonReplayed || got.Reason == request.ReasonPeerLost
		})
		p.RequireRuns(1)
	}
}

func TestPaymentsWhilePlatformIsDown(t *testing.T) {
	f := fleet.Start(t, smallFleet())
	f.Platform.SetFaults(platform.Faults{Down: true})
	for i := range 20 {
		p := f.NewPayment(t, f.Hosts[0], fmt.Sprintf("payment-%d", i))
		p.RequireOutcome(f.Hosts[i%3], request.OutcomeDone)
		p.RequireOutcome(f.Hosts[(i+1)%3], request.OutcomeDone)
		p.RequireRuns(1)
	}
}

func TestKeySentToSeveralHostsAtOnce(t *testing.T) {
	f := fleet.Start(t, slowFleet(20*time.Millisecond, 4))
	for i := range 10 {
		p := f.NewPayment(t, f.Hosts[0], fmt.Sprintf("payment-%d", i))
		var all sync.WaitGroup
		for n := range 12 {
			all.Go(func() {
				if got := p.Send(context.Background(), f.Hosts[n%3]); got.Outcome != request.OutcomeDone {
					t.Errorf("%s: got %s (%s), want done", p.Body, got.Outcome, got.Reason)
				}
			})
		}
		all.Wait()
		p.RequireRuns(1)
	}
}

func TestPlannedStopsHandKeysOver(t *testing.T) {
	f := fleet.Start(t, slowFleet(20*time.Millisecond, 4))
	ran, unsent := f.NewPayment(t, f.Hosts[0], "ran"), f.NewPayment(t, f.Hosts[0], "unsent")
	ran.RequireOutcome(f.Hosts[0], request.OutcomeDone)
	stop := sendPayments(f)
	for _, h := range f.Hosts[:2] {
		slow := f.NewPayment(t, h, "during-stop-of-"+h.ID)
		h.Stop()
		slow.RequireOutcome(f.Hosts[2], request.OutcomeDone)
		<-h.Exited()
		if h.ExitCode() != 0 {
			t.Fatalf("%s exited with %d:\n%s", h.ID, h.ExitCode(), h.Log())
		}
		ran.RequireOutcome(f.Hosts[2], request.OutcomeDone)
		slow.RequireOutcome(f.Hosts[2], request.OutcomeDone)
		slow.RequireRuns(1)
	}
	for body, result := range stop() {
		if result.Outcome != request.OutcomeDone || result.Attempts != 1 {
			t.Errorf("%s: got %s (%s) after %d tries, want done after 1", body, result.Outcome, result.Reason, result.Attempts)
		}
	}
	unsent.RequireOutcome(f.Hosts[2], request.OutcomeDone)
	ran.RequireRuns(1)
	unsent.RequireRuns(1)
	for name, b := range f.Backends {
		if n := b.Stats().DuplicateRuns; n != 0 {
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
	if err := h.GetJSON(operatorapi.PathMetrics, &held); err != nil {
		return -1
	}
	return held.Keys
}

func TestCallerGoneBeforeDispatch(t *testing.T) {
	opts := slowFleet(2*time.Second, 1)
	opts.Upstreams = slices.DeleteFunc(opts.Upstreams, func(u fleet.Upstream) bool { return u.Name == "payments-south-1" })
	f := fleet.Start(t, opts)
	ctx, gone := context.WithCancel(context.Background())
	running := f.NewPayment(t, f.Hosts[0], "running").StartRun(context.Background(), f.Hosts[0])
	p := f.NewPayment(t, f.Hosts[0], "queued")
	queued := make(chan caller.Result, 1)
	go func() { queued <- p.Send(ctx, f.Hosts[1]) }()
	fleet.Eventually(t, "queued", func() bool { return keysHeld(f.Hosts[0]) == 2 })
	gone()
	<-queued
	<-running
	// The key stays recorded as not run; the fresh one of its answer serves.
	spent := p.Send(context.Background(), f.Hosts[2])
	if spent.Outcome != request.OutcomeNotRun || spent.Key == "" || spent.Key == p.Key {
		t.Fatalf("spent key: %s (%s) with key %q, want not-run with another key", spent.Outcome, spent.Reason, spent.Key)
	}
	p.RequireRuns(0)
	p.Key = spent.Key
	p.RequireOutcome(f.Hosts[2], request.OutcomeDone)
	p.RequireRuns(1)
}

// TestCopyThroughPausedHostDoesNotRunAfterNotRun has a paused entry host hold a
// copy of a payment while the caller learns elsewhere that it did not run.
func TestCopyThroughPausedHostDoesNotRunAfterNotRun(t *testing.T) {
	opts := slowFleet(time.Second, 1)
	opts.Upstreams = slices.DeleteFunc(opts.Upstreams, func(u fleet.Upstream) bool { return u.Name == "payments-south-1" })
	f := fleet.Start(t, opts)
	running := f.NewPayment(t, f.Hosts[0], "running").StartRun(context.Background(), f.Hosts[0])
	p := f.NewPayment(t, f.Hosts[0], "held-back")
	f.Hosts[1].Pause()
	heldBack := make(chan caller.Result, 1)
	go func() { heldBack <- p.Send(context.Background(), f.Hosts[1]) }()
	hurried := *p
	hurried.Deadline = "100"
	hurried.RequireOutcome(f.Hosts[2], request.OutcomeNotRun)
	<-running
	f.Hosts[1].Resume()
	if late := <-heldBack; late.Outcome != request.OutcomeNotRun {
		t.Errorf("copy held back: got %s (%s), want not-run", late.Outcome, late.Reason)
	}
	p.RequireRuns(0)
}

func TestCallerGoneAfterDispatch(t *testing.T) {
	f := fleet.Start(t, slowFleet(time.Second, 1))
	p := f.NewPayment(t, f.Hosts[0], "started")
	ctx, gone := context.WithCancel(context.Background())
	result := p.StartRun(ctx, f.Hosts[1])
	gone()
	<-result
	p.RetryUntilDone(f.Hosts[2])
	p.RequireRuns(1)
}

func TestPaymentsThroughLostConnections(t *testing.T) {
	// The payments' only upstream stands in the region of host-3, which holds it.
	opts := slowFleet(400*time.Millisecond, 8)
	opts.Upstreams = slices.DeleteFunc(opts.Upstreams, func(u fleet.Upstream) bool { return u.Name == "payments-north-1" })
	f := fleet.Start(t, opts)
	f.NewPayment(t, f.Hosts[0], "first").RequireOutcome(f.Hosts[0], request.OutcomeDone)
	idle := f.NewPayment(t, f.Hosts[0], "sent-on-silent-connection")
	f.SetHostPaths(f.Hosts[0], relay.BlackholeOpen)
	idle.RequireOutcome(f.Hosts[0], request.OutcomeDone)
	idle.RequireRuns(1)
	running := f.NewPayment(t, f.Hosts[0], "running-when-cut")
	result := running.StartRun(context.Background(), f.Hosts[0])
	f.SetHostPaths(f.Hosts[0], relay.Disconnect)
	f.SetHostPaths(f.Hosts[0], relay.Pass)
	wantDone(t, <-result, "payments", running.Body)
	running.RequireRuns(1)
}

func TestRefusalsNeverSayNotRunOfAKeyThatRan(t *testing.T) {
	f := fleet.Start(t, smallFleet())
	p := f.NewPayment(t, f.Hosts[0], "paid")
	p.RequireOutcome(f.Hosts[0], request.OutcomeDone)
	p.Deadline = "no number"
	p.RequireOutcome(f.Hosts[1], request.OutcomeUnknown)
	p.Deadline = ""
	client := platformhttp.New(f.PlatformURL)
	entry, err := client.Get(context.Background(), tiller.KindCatalogue, "service.payments")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Delete(context.Background(), tiller.KindCatalogue, entry.Name, entry.Version); err != nil {
		t.Fatal(err)
	}
	f.WaitConverged()
	for _, h := range f.Hosts {
		fleet.Eventually(t, "service is gone", func() bool {
			_, _, err := f.LookUpPayment(t, h, "other")
			return err != nil
		})
		p.RequireOutcome(h, request.OutcomeDone)
	}
	p.RequireRuns(1)
}

func TestTwoPlannedStopsAtOnce(t *testing.T) {
	f := fleet.Start(t, slowFleet(20*time.Millisecond, 4))
	payments := []*fleet.Payment{f.NewPayment(t, f.Hosts[0], "of-host-1"), f.NewPayment(t, f.Hosts[2], "of-host-3")}
	for _, p := range payments {
		p.RequireOutcome(f.Hosts[1], request.OutcomeDone)
	}
	f.Hosts[0].Stop()
	f.Hosts[2].Stop()
	<-f.Hosts[0].Exited()
	<-f.Hosts[2].Exited()
	for _, p := range payments {
		p.RequireOutcome(f.Hosts[1], request.OutcomeDone)
		p.RequireRuns(1)
	}
}
