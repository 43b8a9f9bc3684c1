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

// slowPaymentFleet returns the options of a three-host fleet whose payments take
// the given time and whose backend servers for payments have the given slots.
func slowPaymentFleet(work time.Duration, slots int) fleet.Options {
	opts := threeHostFleet()
	opts.Args = []string{"--lookup-ttl", "200ms"}
	for i := range opts.Upstreams {
		if opts.Upstreams[i].Service == "payments" {
			opts.Upstreams[i].Options.Work = work
			opts.Upstreams[i].Options.Slots = slots
		}
	}
	return opts
}

// TestOwnerKilledMidRun guards against a payment that runs again, or is reported as
// not run, because the owner of its key was killed while it ran. The outcome must
// stay unknown at every host, also for a key of the owner that was never sent.
func TestOwnerKilledMidRun(t *testing.T) {
	f := fleet.Start(t, slowPaymentFleet(500*time.Millisecond, 4))
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

// TestOwnerPausedMidRun guards against a payment that runs again because the owner
// of its key was paused while it ran: the outcome is unknown until the owner
// resumes, and then done.
func TestOwnerPausedMidRun(t *testing.T) {
	f := fleet.Start(t, slowPaymentFleet(300*time.Millisecond, 4))
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

// TestOwnerIsolatedMidRun guards against a payment that runs again because the
// owner of its key was disconnected from its peers while it ran.
func TestOwnerIsolatedMidRun(t *testing.T) {
	for _, mode := range []relay.Mode{relay.Disconnect, relay.Blackhole} {
		f := fleet.Start(t, slowPaymentFleet(300*time.Millisecond, 4))
		p := f.NewPayment(t, f.Hosts[0], "cut-off")
		p.Deadline = "1000"
		result := p.StartRun(context.Background(), f.Hosts[1])
		f.SetHostPaths(f.Hosts[0], mode)
		if got := <-result; got.Outcome != request.OutcomeUnknown {
			t.Fatalf("got %s (%s), want unknown", got.Outcome, got.Reason)
		}
		p.RequireOutcome(f.Hosts[2], request.OutcomeUnknown)
		f.SetHostPaths(f.Hosts[0], relay.Pass)
		// The answer of the backend server may have been lost on the way to the
		// owner; the owner then reports the peer as lost instead of the answer.
		fleet.Eventually(t, "the owner has recorded the end of the run", func() bool {
			got := p.Send(context.Background(), f.Hosts[0])
			return got.Reason == request.ReasonReplayed || got.Reason == request.ReasonPeerLost
		})
		p.RequireRuns(1)
	}
}

// TestPaymentsWhilePlatformIsDown guards against payments that need the platform,
// and against a payment that runs again at a second host during its outage.
func TestPaymentsWhilePlatformIsDown(t *testing.T) {
	f := fleet.Start(t, threeHostFleet())
	f.Platform.SetFaults(platform.Faults{Down: true})
	for i := range 20 {
		p := f.NewPayment(t, f.Hosts[0], fmt.Sprintf("payment-%d", i))
		p.RequireOutcome(f.Hosts[i%3], request.OutcomeDone)
		p.RequireOutcome(f.Hosts[(i+1)%3], request.OutcomeDone)
		p.RequireRuns(1)
	}
}

// TestKeySentToSeveralHostsConcurrently guards against a payment that runs more than
// once because copies with the same key arrive at several hosts at the same time.
func TestKeySentToSeveralHostsConcurrently(t *testing.T) {
	f := fleet.Start(t, slowPaymentFleet(20*time.Millisecond, 4))
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

// TestGracefulStopsHandKeysOver guards against keys that are lost when their owner
// stops gracefully: payments that ran must replay their answer, one in flight must
// end, an unused key must still work, and a stream of payments must not need a
// second attempt.
func TestGracefulStopsHandKeysOver(t *testing.T) {
	f := fleet.Start(t, slowPaymentFleet(20*time.Millisecond, 4))
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
			t.Errorf("%s: got %s (%s) after %d attempts, want done after 1", body, result.Outcome, result.Reason, result.Attempts)
		}
	}
	unsent.RequireOutcome(f.Hosts[2], request.OutcomeDone)
	ran.RequireRuns(1)
	unsent.RequireRuns(1)
	for name, b := range f.Backends {
		if n := b.Stats().DuplicateRuns; n != 0 {
			t.Errorf("%s: %d duplicate runs of a key, want 0", name, n)
		}
	}
}

// sendPayments sends payments through all hosts until stop is called. stop returns
// the results by body; the reason of a payment that failed is the error.
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

// keysHeld returns the number of keys that a daemon holds, or -1 if its metrics
// cannot be read.
func keysHeld(h *fleet.Host) int {
	held := struct {
		Keys int `json:"keys_held"`
	}{-1}
	if err := h.GetJSON(operatorapi.PathMetrics, &held); err != nil {
		return -1
	}
	return held.Keys
}

// TestCallerDisconnectsBeforeDispatch guards against a queued payment that runs
// after its caller has disconnected, and against a caller that can no longer pay
// afterwards: its key is used up, but the answer to it carries a new one.
func TestCallerDisconnectsBeforeDispatch(t *testing.T) {
	opts := slowPaymentFleet(2*time.Second, 1)
	opts.Upstreams = slices.DeleteFunc(opts.Upstreams, func(u fleet.Upstream) bool { return u.Name == "payments-south-1" })
	f := fleet.Start(t, opts)
	ctx, disconnect := context.WithCancel(context.Background())
	running := f.NewPayment(t, f.Hosts[0], "running").StartRun(context.Background(), f.Hosts[0])
	p := f.NewPayment(t, f.Hosts[0], "queued")
	queued := make(chan caller.Result, 1)
	go func() { queued <- p.Send(ctx, f.Hosts[1]) }()
	fleet.Eventually(t, "the payment is queued", func() bool { return keysHeld(f.Hosts[0]) == 2 })
	disconnect()
	<-queued
	<-running
	// The key stays recorded as not run; the new key in the answer can be used.
	rejected := p.Send(context.Background(), f.Hosts[2])
	if rejected.Outcome != request.OutcomeNotRun || rejected.Key == "" || rejected.Key == p.Key {
		t.Fatalf("used key: got %s (%s) with key %q, want not-run with another key", rejected.Outcome, rejected.Reason, rejected.Key)
	}
	p.RequireRuns(0)
	p.Key = rejected.Key
	p.RequireOutcome(f.Hosts[2], request.OutcomeDone)
	p.RequireRuns(1)
}

// TestDelayedDuplicateDoesNotRunAfterNotRun guards against a payment that runs after
// its caller was told that it did not run: a paused entry host holds a copy of it,
// while another host reports it as not run, and then resumes.
func TestDelayedDuplicateDoesNotRunAfterNotRun(t *testing.T) {
	opts := slowPaymentFleet(time.Second, 1)
	opts.Upstreams = slices.DeleteFunc(opts.Upstreams, func(u fleet.Upstream) bool { return u.Name == "payments-south-1" })
	f := fleet.Start(t, opts)
	running := f.NewPayment(t, f.Hosts[0], "running").StartRun(context.Background(), f.Hosts[0])
	p := f.NewPayment(t, f.Hosts[0], "held-back")
	f.Hosts[1].Pause()
	delayed := make(chan caller.Result, 1)
	go func() { delayed <- p.Send(context.Background(), f.Hosts[1]) }()
	shortDeadline := *p
	shortDeadline.Deadline = "100"
	shortDeadline.RequireOutcome(f.Hosts[2], request.OutcomeNotRun)
	<-running
	f.Hosts[1].Resume()
	if late := <-delayed; late.Outcome != request.OutcomeNotRun {
		t.Errorf("delayed copy: got %s (%s), want not-run", late.Outcome, late.Reason)
	}
	p.RequireRuns(0)
}

// TestCallerDisconnectsAfterDispatch guards against a payment that runs again because
// its caller disconnected while it ran and sends it once more.
func TestCallerDisconnectsAfterDispatch(t *testing.T) {
	f := fleet.Start(t, slowPaymentFleet(time.Second, 1))
	p := f.NewPayment(t, f.Hosts[0], "started")
	ctx, disconnect := context.WithCancel(context.Background())
	result := p.StartRun(ctx, f.Hosts[1])
	disconnect()
	<-result
	p.RetryUntilDone(f.Hosts[2])
	p.RequireRuns(1)
}

// TestPaymentsRunOnceWhenConnectionsFail guards against a payment that runs twice or
// is not answered because the connections between its owner and the holder of the
// upstream stall before it is sent, or are cut while it runs.
func TestPaymentsRunOnceWhenConnectionsFail(t *testing.T) {
	// The only upstream of payments is in the region of host-3, which holds it.
	opts := slowPaymentFleet(400*time.Millisecond, 8)
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
	requireDone(t, <-result, "payments", running.Body)
	running.RequireRuns(1)
}

// TestRejectionsNeverReportExecutedKeyAsNotRun guards against a caller that pays again
// because its payment ran but a later request with the same key is rejected as not
// run, for an invalid header or for a service that has been deleted.
func TestRejectionsNeverReportExecutedKeyAsNotRun(t *testing.T) {
	f := fleet.Start(t, threeHostFleet())
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
		fleet.Eventually(t, "the service is deleted", func() bool {
			_, _, err := f.LookUpPayment(t, h, "other")
			return err != nil
		})
		p.RequireOutcome(h, request.OutcomeDone)
	}
	p.RequireRuns(1)
}

// TestConcurrentGracefulStops guards against keys that are lost because their owner
// and a host that could take them over stop gracefully at the same time.
func TestConcurrentGracefulStops(t *testing.T) {
	f := fleet.Start(t, slowPaymentFleet(20*time.Millisecond, 4))
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
