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

// manyFaultsSeed orders the faults.
const manyFaultsSeed = 17

// sent is a payment with the last result that its caller was told.
type sent struct {
	payment *fleet.Payment
	last    caller.Result
}

// sendUntil sends payments through any host until ctx ends. Each one is sent
// again, at random hosts, while its outcome is unknown.
func sendUntil(ctx context.Context, t *testing.T, f *fleet.Fleet, worker int) []sent {
	random := rand.New(rand.NewPCG(manyFaultsSeed, uint64(worker)))
	anyHost := func() *fleet.Host { return f.Hosts[random.IntN(len(f.Hosts))] }
	var all []sent
	for n := 0; ctx.Err() == nil; n++ {
		p, _, err := f.LookUpPayment(t, anyHost(), fmt.Sprintf("payment-%d-%d", worker, n))
		if err != nil {
			continue
		}
		p.Deadline = "400"
		s := sent{payment: p, last: caller.Result{Outcome: request.OutcomeUnknown}}
		for try := 0; try < 5 && s.last.Outcome == request.OutcomeUnknown; try++ {
			s.last = p.Send(context.Background(), anyHost())
		}
		all = append(all, s)
	}
	return all
}

// TestPaymentsUnderManyFaults brings failures about together and one after
// the other, and compares what callers were told with what ran.
func TestPaymentsUnderManyFaults(t *testing.T) {
	f := fleet.Start(t, slowFleet(20*time.Millisecond, 2))
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var all []sent
	var workers sync.WaitGroup
	for worker := range 8 {
		workers.Go(func() {
			mine := sendUntil(ctx, t, f, worker)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, mine...)
		})
	}
	random := rand.New(rand.NewPCG(manyFaultsSeed, manyFaultsSeed))
	faults := []func(h *fleet.Host) (undo func()){pauseHost, cutOff(f, relay.Disconnect), cutOff(f, relay.Blackhole), cutOff(f, relay.BlackholeOpen), platformDown(f)}
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
		checkTold(t, s)
	}
	t.Logf("%d payments: %v", len(all), outcomes)
}

// checkTold compares what a caller was told with what ran.
func checkTold(t *testing.T, s sent) {
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
		t.Errorf("%s: told %s (%s) %q, ran %d times", s.payment.Body, s.last.Outcome, s.last.Reason, s.last.Body, runs)
	}
}

func pauseHost(h *fleet.Host) func() {
	h.Pause()
	return h.Resume
}

func cutOff(f *fleet.Fleet, mode relay.Mode) func(*fleet.Host) func() {
	return func(h *fleet.Host) func() {
		f.SetHostPaths(h, mode)
		return func() { f.SetHostPaths(h, relay.Pass) }
	}
}

func platformDown(f *fleet.Fleet) func(*fleet.Host) func() {
	return func(*fleet.Host) func() {
		f.Platform.SetFaults(platform.Faults{Down: true})
		return func() { f.Platform.SetFaults(platform.Faults{}) }
	}
}
