package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/platform"
	"bilberrytiller.example/standin/relay"
)

// manyFaultsSeed is the seed of the order of faults, and of the hosts that receive
// payments.
const manyFaultsSeed = 17

// sentPayment is a payment and the last result that its caller received.
type sentPayment struct {
	payment *fleet.Payment
	last    caller.Result
}

// keepSendingPayments sends payments through random hosts until ctx is done. It
// sends each payment up to five times, while its outcome is unknown.
func keepSendingPayments(ctx context.Context, t *testing.T, f *fleet.Fleet, worker int) []sentPayment {
	random := rand.New(rand.NewPCG(manyFaultsSeed, uint64(worker)))
	anyHost := func() *fleet.Host { return f.Hosts[random.IntN(len(f.Hosts))] }
	var all []sentPayment
	for n := 0; ctx.Err() == nil; n++ {
		p, _, err := f.LookUpPayment(t, anyHost(), fmt.Sprintf("payment-%d-%d", worker, n))
		if err != nil {
			continue
		}
		p.Deadline = "400"
		s := sentPayment{payment: p, last: caller.Result{Outcome: request.OutcomeUnknown}}
		for try := 0; try < 5 && s.last.Outcome == request.OutcomeUnknown; try++ {
			s.last = p.Send(context.Background(), anyHost())
		}
		all = append(all, s)
	}
	return all
}

// TestPaymentsUnderManyFaults guards against combinations of failures in which a
// payment runs twice or its caller receives a wrong outcome. It pauses hosts,
// disconnects them, stalls their connections and stops the platform, two faults
// overlapping at a time, then kills one host and stops another, and compares the
// last result of each payment with its runs.
func TestPaymentsUnderManyFaults(t *testing.T) {
	f := fleet.Start(t, slowPaymentFleet(20*time.Millisecond, 2))
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var all []sentPayment
	var workers sync.WaitGroup
	for worker := range 8 {
		workers.Go(func() {
			mine := keepSendingPayments(ctx, t, f, worker)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, mine...)
		})
	}
	random := rand.New(rand.NewPCG(manyFaultsSeed, manyFaultsSeed))
	faults := []func(h *fleet.Host) (undo func()){pauseHost, isolateHost(f, relay.Disconnect), isolateHost(f, relay.Blackhole), isolateHost(f, relay.BlackholeOpen), stopPlatform(f)}
	for range 8 {
		first, second := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		undoFirst := first(f.Hosts[random.IntN(len(f.Hosts))])
		time.Sleep(300 * time.Millisecond)
		undoSecond := second(f.Hosts[random.IntN(len(f.Hosts))])
		time.Sleep(500 * time.Millisecond)
		undoFirst()
		undoSecond()
	}
	f.Hosts[0].Kill()
	time.Sleep(300 * time.Millisecond)
	f.Hosts[1].Stop()
	<-f.Hosts[1].Exited()
	stop()
	workers.Wait()
	outcomes := map[request.Outcome]int{}
	for _, s := range all {
		outcomes[s.last.Outcome]++
		checkOutcome(t, s)
	}
	t.Logf("%d payments: %v", len(all), outcomes)
}

// checkOutcome compares the last result of a payment with its runs: done means
// exactly one run, not run means none, and unknown at most one.
func checkOutcome(t *testing.T, s sentPayment) {
	t.Helper()
	runs := s.payment.Runs()
	wrong := runs > 1
	switch s.last.Outcome {
	case request.OutcomeDone:
		wrong = runs != 1 || !s.payment.IsCompleteAnswer(s.last)
	case request.OutcomeNotRun:
		wrong = runs != 0
	}
	if wrong {
		t.Errorf("%s: got %s (%s) %q, but it ran %d times", s.payment.Body, s.last.Outcome, s.last.Reason, s.last.Body, runs)
	}
}

// pauseHost pauses a host and returns a function that resumes it.
func pauseHost(h *fleet.Host) func() {
	h.Pause()
	return h.Resume
}

// isolateHost returns a fault that sets the paths between a host and all others to
// a mode.
func isolateHost(f *fleet.Fleet, mode relay.Mode) func(*fleet.Host) func() {
	return func(h *fleet.Host) func() {
		f.SetHostPaths(h, mode)
		return func() { f.SetHostPaths(h, relay.Pass) }
	}
}

// stopPlatform returns a fault that makes the platform unavailable.
func stopPlatform(f *fleet.Fleet) func(*fleet.Host) func() {
	return func(*fleet.Host) func() {
		f.Platform.SetFaults(platform.Faults{Down: true})
		return func() { f.Platform.SetFaults(platform.Faults{}) }
	}
}
