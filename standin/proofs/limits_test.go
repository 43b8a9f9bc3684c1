package proofs

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/platform"
	"bilberrytiller.example/standin/relay"
)

// deliveryJitter is what the time between two starts at a backend server may
// differ from the time between their admissions.
const deliveryJitter = 200 * time.Millisecond

// limitFleet has one service with the given limits and one upstream with far
// more slots than the limits allow.
func limitFleet(t *testing.T, limits catalogue.Limits, work time.Duration) (*fleet.Fleet, *backend.Server) {
	t.Helper()
	opts := drainFleet()
	service := fleet.Service("lookups", request.RankLookup, true)
	service.Class.Deadline = catalogue.Duration(2 * time.Second)
	service.Limits = limits
	opts.Services = []catalogue.Service{service}
	opts.Upstreams = []fleet.Upstream{{
		Name: "only", Service: "lookups", DataCentre: "north-1", Options: backend.Options{Slots: 64, Work: work},
	}}
	f := fleet.Start(t, opts)
	return f, f.Backends["only"]
}

// limitFlood sends requests through the given hosts until stopped.
type limitFlood struct {
	stop    chan struct{}
	wait    sync.WaitGroup
	body    string
	mu      sync.Mutex
	done    int
	reasons map[request.Reason]int
}

func startLimitFlood(workers int, hosts ...*fleet.Host) *limitFlood {
	return startLimitFloodOf("flood", workers, hosts...)
}

func startLimitFloodOf(body string, workers int, hosts ...*fleet.Host) *limitFlood {
	fl := &limitFlood{stop: make(chan struct{}), body: body, reasons: map[request.Reason]int{}}
	for _, h := range hosts {
		for range workers {
			fl.wait.Go(func() { fl.send(h) })
		}
	}
	return fl
}

// send sends to one host's address as it is at the moment.
func (fl *limitFlood) send(h *fleet.Host) {
	for {
		select {
		case <-fl.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		outcome, reason := h.Send("lookups", fl.body, 5*time.Second)
		fl.mu.Lock()
		if outcome == request.OutcomeDone {
			fl.done++
		}
		if outcome == request.OutcomeNotRun {
			fl.reasons[reason]++
		}
		fl.mu.Unlock()
	}
}

func (fl *limitFlood) answers() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.done
}

// more waits until the flood got a number of answers more.
func (fl *limitFlood) more(t *testing.T, n int) {
	t.Helper()
	before := fl.answers()
	fleet.Eventually(t, fmt.Sprintf("flood gets %d answers", n), func() bool { return fl.answers() >= before+n })
}

func (fl *limitFlood) end() {
	close(fl.stop)
	fl.wait.Wait()
}

// mostStarts returns the largest number of runs that started within a time.
func mostStarts(b *backend.Server, within time.Duration) int {
	var starts []time.Time
	for _, r := range b.RecordedRuns() {
		starts = append(starts, r.Start)
	}
	slices.SortFunc(starts, time.Time.Compare)
	most, first := 0, 0
	for i, start := range starts {
		for start.Sub(starts[first]) >= within {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestRateLimitHoldsWhileViewsDiffer floods every host over a service's rate
// while regions are cut off from each other, the platform is down, and a
// daemon is killed and started again.
func TestRateLimitHoldsWhileViewsDiffer(t *testing.T) {
	const rate = 30
	f, b := limitFleet(t, catalogue.Limits{Rate: rate}, time.Millisecond)
	fl := startLimitFlood(4, f.Hosts...)
	fl.more(t, rate)
	f.SetRegionPaths("north", "south", relay.Disconnect)
	fl.more(t, rate)
	f.Platform.SetFaults(platform.Faults{Down: true})
	f.Hosts[1].Kill()
	fl.more(t, rate)
	f.SetRegionPaths("north", "south", relay.Pass)
	f.Platform.SetFaults(platform.Faults{})
	f.Restart(f.Hosts[1])
	f.WaitConverged()
	fl.more(t, 2*rate)
	fl.end()
	if most := mostStarts(b, time.Second-deliveryJitter); most > rate {
		t.Errorf("%d requests ran within a second, limit %d", most, rate)
	}
	if fl.reasons[request.ReasonLimit] == 0 {
		t.Error("no request was refused for the limit")
	}
}

// TestConcurrencyLimitHoldsWhileViewsDiffer does the same to a limit of
// requests in flight, and pauses a daemon; afterwards one host alone can use
// the whole limit again.
func TestConcurrencyLimitHoldsWhileViewsDiffer(t *testing.T) {
	const concurrency = 6
	f, b := limitFleet(t, catalogue.Limits{Concurrency: concurrency}, 200*time.Millisecond)
	fl := startLimitFlood(4, f.Hosts...)
	fl.more(t, 20)
	f.SetRegionPaths("north", "south", relay.Disconnect)
	fl.more(t, 20)
	f.Hosts[1].Pause()
	fl.more(t, 20)
	f.Platform.SetFaults(platform.Faults{Down: true})
	f.SetRegionPaths("north", "south", relay.Pass)
	f.Hosts[1].Resume()
	fl.more(t, 20)
	f.Hosts[0].Kill()
	f.Platform.SetFaults(platform.Faults{})
	f.Restart(f.Hosts[0])
	f.WaitConverged()
	fl.more(t, 40)
	fl.end()
	if most := b.Stats().PeakConcurrency; most > concurrency {
		t.Errorf("%d requests were in flight, limit %d", most, concurrency)
	}
	fleet.Eventually(t, "one host uses the whole limit", func() bool { return allDone(f.Hosts[0], concurrency) })
}

// allDone sends requests at once and reports whether all are answered.
func allDone(h *fleet.Host, n int) bool {
	var all sync.WaitGroup
	outcomes := make([]request.Outcome, n)
	for i := range n {
		all.Go(func() { outcomes[i], _ = h.Send("lookups", "at-once", 5*time.Second) })
	}
	all.Wait()
	return !slices.ContainsFunc(outcomes, func(o request.Outcome) bool { return o != request.OutcomeDone })
}

// TestDemandAtOneHostGetsMoreThanItsShare has all demand at one of three
// hosts, also while the platform is down.
func TestDemandAtOneHostGetsMoreThanItsShare(t *testing.T) {
	const rate = 60
	f, b := limitFleet(t, catalogue.Limits{Rate: rate}, time.Millisecond)
	fl := startLimitFlood(8, f.Hosts[2])
	defer fl.end()
	fleet.Eventually(t, "one host uses most of the limit", func() bool { return mostStarts(b, time.Second) >= rate*5/6 })
	f.Platform.SetFaults(platform.Faults{Down: true})
	before := len(b.RecordedRuns())
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	fleet.Eventually(t, "the flood goes on during the outage", func() bool { return ctx.Err() != nil || len(b.RecordedRuns()) > before+3*rate })
	if most := mostStarts(b, time.Second-deliveryJitter); most > rate {
		t.Errorf("%d requests ran within a second, limit %d", most, rate)
	}
}
