package proofs

import (
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

// deliveryJitter is the largest expected difference between the time from one
// admission to another and the time between the starts of these requests at the
// backend server. Limits per second are checked over windows that are shorter by
// this time.
const deliveryJitter = 200 * time.Millisecond

// limitFleet starts a fleet with one service that has the given limits, and one
// upstream with far more slots than the limits allow to use. It returns the
// backend server too.
func limitFleet(t *testing.T, limits catalogue.Limits, work time.Duration) (*fleet.Fleet, *backend.Server) {
	t.Helper()
	return limitFleetWithDeadline(t, limits, work, 2*time.Second)
}

func limitFleetWithDeadline(t *testing.T, limits catalogue.Limits, work, deadline time.Duration) (*fleet.Fleet, *backend.Server) {
	t.Helper()
	opts := shortTTLFleet()
	service := fleet.Service("lookups", request.RankLookup, true)
	service.Class.Deadline = catalogue.Duration(deadline)
	service.Limits = limits
	opts.Services = []catalogue.Service{service}
	opts.Upstreams = []fleet.Upstream{{
		Name: "only", Service: "lookups", DataCentre: "north-1", Options: backend.Options{Slots: 64, Work: work},
	}}
	f := fleet.Start(t, opts)
	return f, f.Backends["only"]
}

// limitFlood sends requests through the given hosts until it is stopped. It counts
// the answered requests, and the requests that were not run by reason.
type limitFlood struct {
	stop     chan struct{}
	workers  sync.WaitGroup
	body     string
	mu       sync.Mutex
	answered int
	reasons  map[request.Reason]int
}

func startLimitFlood(workers int, hosts ...*fleet.Host) *limitFlood {
	return startLimitFloodOf("flood", workers, hosts...)
}

func startLimitFloodOf(body string, workers int, hosts ...*fleet.Host) *limitFlood {
	fl := &limitFlood{stop: make(chan struct{}), body: body, reasons: map[request.Reason]int{}}
	for _, h := range hosts {
		for range workers {
			fl.workers.Go(func() { fl.send(h) })
		}
	}
	return fl
}

// send sends requests to a host one after the other. It looks up the address of
// the host for each request, because a restart changes it.
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
			fl.answered++
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
	return fl.answered
}

// awaitAnswers waits until n further requests are answered.
func (fl *limitFlood) awaitAnswers(t *testing.T, n int) {
	t.Helper()
	before := fl.answers()
	fleet.Eventually(t, fmt.Sprintf("flood gets %d further answers", n), func() bool { return fl.answers() >= before+n })
}

func (fl *limitFlood) stopAndWait() {
	close(fl.stop)
	fl.workers.Wait()
}

// maxStartsWithin returns the largest number of the runs that started within any
// window of the given length.
func maxStartsWithin(runs []backend.Run, within time.Duration) int {
	var starts []time.Time
	for _, r := range runs {
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

// requireRate checks that at most rate requests a second started: in one second and in
// longer times, in which deliveryJitter matters less.
func requireRate(t *testing.T, b *backend.Server, rate int) {
	t.Helper()
	for _, seconds := range []int{1, 2, 5, 10} {
		within := time.Duration(seconds)*time.Second - deliveryJitter
		if most := maxStartsWithin(b.RecordedRuns(), within); most > seconds*rate {
			t.Errorf("%d requests ran within %v, want at most %d", most, within, seconds*rate)
		}
	}
}

// awaitRate waits until 5/6 of a rate is used in a second that begins after the first
// runs of the given number.
func awaitRate(t *testing.T, b *backend.Server, after, rate int) {
	t.Helper()
	fleet.Eventually(t, "5/6 of the limit is used", func() bool { return maxStartsWithin(b.RecordedRuns()[after:], time.Second) >= rate*5/6 })
}

// TestRateLimitHoldsDuringPartition guards against hosts that together exceed the
// rate limit of a service because they cannot coordinate: every host is flooded
// while regions are disconnected from each other, the platform is down, and a
// daemon is killed and restarted.
func TestRateLimitHoldsDuringPartition(t *testing.T) {
	const rate = 30
	f, b := limitFleet(t, catalogue.Limits{Rate: rate}, time.Millisecond)
	fl := startLimitFlood(4, f.Hosts...)
	fl.awaitAnswers(t, rate)
	f.SetRegionPaths("north", "south", relay.Disconnect)
	fl.awaitAnswers(t, rate)
	f.Platform.SetFaults(platform.Faults{Down: true})
	f.Hosts[1].Kill()
	fl.awaitAnswers(t, rate)
	f.SetRegionPaths("north", "south", relay.Pass)
	f.Platform.SetFaults(platform.Faults{})
	f.Restart(f.Hosts[1])
	f.WaitConverged()
	fl.awaitAnswers(t, 2*rate)
	awaitRate(t, b, len(b.RecordedRuns()), rate)
	fl.stopAndWait()
	requireRate(t, b, rate)
	if fl.reasons[request.ReasonLimit] == 0 {
		t.Error("no request was refused for the rate limit")
	}
}

// TestConcurrencyLimitHoldsDuringPartition guards against hosts that together
// exceed the concurrency limit of a service because they cannot coordinate: every
// host is flooded while regions are disconnected from each other, a daemon is
// paused, the platform is down, and another daemon is killed and restarted.
// Afterwards one host alone must be able to use the whole limit, so that no unit
// of it is lost.
func TestConcurrencyLimitHoldsDuringPartition(t *testing.T) {
	const concurrency = 6
	f, b := limitFleet(t, catalogue.Limits{Concurrency: concurrency}, 200*time.Millisecond)
	fl := startLimitFlood(4, f.Hosts...)
	fl.awaitAnswers(t, 20)
	f.SetRegionPaths("north", "south", relay.Disconnect)
	fl.awaitAnswers(t, 20)
	f.Hosts[1].Pause()
	fl.awaitAnswers(t, 20)
	f.Platform.SetFaults(platform.Faults{Down: true})
	f.SetRegionPaths("north", "south", relay.Pass)
	f.Hosts[1].Resume()
	fl.awaitAnswers(t, 20)
	f.Hosts[0].Kill()
	f.Platform.SetFaults(platform.Faults{})
	f.Restart(f.Hosts[0])
	f.WaitConverged()
	fl.awaitAnswers(t, 40)
	fl.stopAndWait()
	if most := b.Stats().PeakConcurrency; most != concurrency {
		t.Errorf("at most %d requests were in flight at a time, want %d", most, concurrency)
	}
	fleet.Eventually(t, "one host uses the whole limit", func() bool { return allDone(f.Hosts[0], concurrency) })
}

// TestConcurrencyLimitCountsAbandonedRuns guards against a limit whose units are
// released at the deadline of a request while its backend server still works on
// it: the server becomes slower than the deadline, so that runs are abandoned.
func TestConcurrencyLimitCountsAbandonedRuns(t *testing.T) {
	const concurrency = 6
	const deadline = 400 * time.Millisecond
	f, b := limitFleetWithDeadline(t, catalogue.Limits{Concurrency: concurrency}, 20*time.Millisecond, deadline)
	fl := startLimitFlood(4, f.Hosts...)
	fl.awaitAnswers(t, 40)
	before := len(b.RecordedRuns())
	b.SetFaults(backend.Faults{ResponseDelayMs: 600})
	fleet.Eventually(t, "abandoned runs", func() bool { return len(b.RecordedRuns()) >= before+4*concurrency })
	b.SetFaults(backend.Faults{})
	fl.awaitAnswers(t, 40)
	fl.stopAndWait()
	if most := b.Stats().PeakConcurrency; most != concurrency {
		t.Errorf("at most %d requests were in flight at a time, want %d", most, concurrency)
	}
}

// allDone sends n concurrent requests and reports whether all are answered.
func allDone(h *fleet.Host, n int) bool {
	var all sync.WaitGroup
	outcomes := make([]request.Outcome, n)
	for i := range n {
		all.Go(func() { outcomes[i], _ = h.Send("lookups", "at-once", 5*time.Second) })
	}
	all.Wait()
	return !slices.ContainsFunc(outcomes, func(o request.Outcome) bool { return o != request.OutcomeDone })
}

// TestOneHostUsesMoreThanItsShareOfTheLimit guards against a rate limit that is
// split into fixed shares: when all demand is at one of three hosts, that host
// must be able to use 5/6 of the limit, and must stay within the limit also while
// the platform is down.
func TestOneHostUsesMoreThanItsShareOfTheLimit(t *testing.T) {
	const rate = 60
	f, b := limitFleet(t, catalogue.Limits{Rate: rate}, time.Millisecond)
	fl := startLimitFlood(8, f.Hosts[2])
	defer fl.stopAndWait()
	awaitRate(t, b, 0, rate)
	f.Platform.SetFaults(platform.Faults{Down: true})
	before := len(b.RecordedRuns())
	fleet.Eventually(t, "the flood goes on during the outage", func() bool { return len(b.RecordedRuns()) > before+3*rate })
	awaitRate(t, b, before+3*rate, rate)
	requireRate(t, b, rate)
}
