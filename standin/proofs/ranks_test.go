package proofs

import (
	"context"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/fleet"
)

// allRanksFleet starts a fleet of two entry hosts and one upstream that runs a
// service of each rank, each with a guaranteed share of 0.2.
func allRanksFleet(t *testing.T, work time.Duration) *fleet.Fleet {
	opts := fleet.Options{
		DataCentres: map[string]string{"north-1": "north"},
		Hosts:       []string{"north-1", "north-1"},
	}
	for name, rank := range map[string]request.Rank{
		"payments": request.RankPayment, "lookups": request.RankLookup, "reports": request.RankReport,
	} {
		s := fleet.Service(name, rank, rank != request.RankPayment)
		s.Class.Guaranteed = 0.2
		opts.Services = append(opts.Services, s)
	}
	opts.Upstreams = []fleet.Upstream{{
		Name: "only", Service: "payments", Services: []string{"lookups", "reports"}, DataCentre: "north-1",
		Options: backend.Options{Slots: 4, Work: work},
	}}
	return fleet.Start(t, opts)
}

// runsOf returns the recorded runs of a service on the upstream.
func runsOf(f *fleet.Fleet, service string) []backend.Run {
	var out []backend.Run
	for _, r := range f.Backends["only"].RecordedRuns() {
		if r.Service == service {
			out = append(out, r)
		}
	}
	return out
}

// TestReportFloodDoesNotDelayHigherRanks guards against payments and look-ups that
// wait behind a long queue of reports.
func TestReportFloodDoesNotDelayHigherRanks(t *testing.T) {
	t.Parallel()
	f := allRanksFleet(t, 20*time.Millisecond)
	fl := startFlood(f, "reports", 100)
	defer fl.stop()
	fl.awaitAnswers(t, 20)
	for _, service := range []string{"payments", "lookups"} {
		before := len(runsOf(f, "reports"))
		for range 5 {
			requireDone(t, runRequest(t, f.Client(), service, "urgent"), service, "urgent")
		}
		// A request of a higher rank waits for a slot, not for the queue of
		// reports: at most 48 reports may run for each of the 5 requests.
		if during := len(runsOf(f, "reports")) - before; during > 5*48 {
			t.Errorf("%d reports ran while 5 requests of %s ran, want at most 240", during, service)
		}
	}
}

// TestPaymentFloodLeavesGuaranteedShares guards against a flood of payments that
// starves look-ups and reports: both must get 95% of their guaranteed share of
// the runs.
func TestPaymentFloodLeavesGuaranteedShares(t *testing.T) {
	t.Parallel()
	f := allRanksFleet(t, 10*time.Millisecond)
	fl := startFlood(f, "payments", 100)
	defer fl.stop()
	fl.awaitAnswers(t, 40)
	var others []*flood
	for _, service := range []string{"lookups", "reports"} {
		others = append(others, startFlood(f, service, 8))
	}
	payments, lookups, reports := len(runsOf(f, "payments")), len(runsOf(f, "lookups")), len(runsOf(f, "reports"))
	fl.awaitAnswers(t, 300)
	total := len(f.Backends["only"].RecordedRuns()) - payments - lookups - reports
	for service, before := range map[string]int{"lookups": lookups, "reports": reports} {
		got := len(runsOf(f, service)) - before
		if float64(got) < 0.95*0.2*float64(total) {
			t.Errorf("%s had %d of %d runs, want at least 95%% of a share of 0.2", service, got, total)
		}
	}
	for _, o := range others {
		o.stop()
	}
}

// TestRequestThatCannotMeetDeadlineIsNotRun guards against a request that is
// dispatched although its queue is too long for its deadline: it must be rejected
// as too late, and before its deadline.
func TestRequestThatCannotMeetDeadlineIsNotRun(t *testing.T) {
	t.Parallel()
	f := allRanksFleet(t, 100*time.Millisecond)
	client := f.Client(f.Hosts[0])
	for range 4 {
		requireDone(t, runRequest(t, client, "lookups", "warm"), "lookups", "warm")
	}
	fl := startFlood(f, "lookups", 100)
	defer fl.stop()
	fl.awaitAnswers(t, 8)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	lookup, err := client.Lookup(ctx, "lookups")
	if err != nil {
		t.Fatal(err)
	}
	result := client.RunOnce(ctx, lookup, "lookups", []byte("too late"))
	if result.Outcome != request.OutcomeNotRun || result.Reason != request.ReasonTooLate {
		t.Fatalf("got %s (%s), want not-run (too-late) before the deadline", result.Outcome, result.Reason)
	}
	for _, r := range runsOf(f, "lookups") {
		if r.Body == "too late" {
			t.Fatal("the request rejected as too late ran")
		}
	}
}

// TestIdempotentRequestWithUnknownOutcomeIsRetried checks retries after an unknown
// outcome, which arises here because a backend server answers with the ID of
// another request. An idempotent request must be retried on another upstream; a
// payment must not, because it may have run.
func TestIdempotentRequestWithUnknownOutcomeIsRetried(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, threeHostFleet())
	f.Backends["lookups-north-1"].SetFaults(backend.Faults{WrongRequestID: true})
	f.Backends["payments-north-1"].SetFaults(backend.Faults{WrongRequestID: true})
	f.Backends["payments-south-1"].SetFaults(backend.Faults{WrongRequestID: true})
	for range 5 {
		requireDone(t, runRequest(t, f.Client(), "lookups", "again"), "lookups", "again")
	}
	runRequest(t, f.Client(), "payments", "once")
	runs := 0
	for _, name := range []string{"payments-north-1", "payments-south-1"} {
		runs += f.Backends[name].Stats().Runs
	}
	if runs > 1 {
		t.Errorf("a payment with an unknown outcome ran %d times, want at most 1", runs)
	}
}

// TestRetriesStayWithinBudget guards against retries that multiply the load when
// every outcome is unknown: the daemon may retry at most 20 of 200 requests.
func TestRetriesStayWithinBudget(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, threeHostFleet())
	runs := func() int {
		return f.Backends["lookups-north-1"].Stats().Runs + f.Backends["lookups-south-1"].Stats().Runs
	}
	for _, name := range []string{"lookups-north-1", "lookups-south-1"} {
		f.Backends[name].SetFaults(backend.Faults{WrongRequestID: true})
	}
	client := f.Client(f.Hosts[0])
	lookup, err := client.Lookup(t.Context(), "lookups")
	if err != nil {
		t.Fatal(err)
	}
	const requests, budget = 200, 20
	var sent sync.WaitGroup
	for range 4 {
		sent.Go(func() {
			for range requests / 4 {
				client.RunOnce(t.Context(), lookup, "lookups", []byte("lost"))
			}
		})
	}
	sent.Wait()
	if got := runs(); got > requests+budget {
		t.Errorf("%d requests ran %d times, want at most %d retries", requests, got, budget)
	}
}

// TestUpstreamsOfOneRegionDown guards against requests that fail because all
// upstreams of their region are down, while another region could serve them.
func TestUpstreamsOfOneRegionDown(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, threeHostFleet())
	f.StopBackend("lookups-north-1")
	f.StopBackend("payments-north-1")
	client := f.Client(f.Hosts[0])
	for range 10 {
		for _, service := range []string{"lookups", "payments"} {
			lookup, err := client.Lookup(t.Context(), service)
			if err != nil {
				t.Fatal(err)
			}
			requireDone(t, client.RunOnce(t.Context(), lookup, service, []byte("elsewhere")), service, "elsewhere")
		}
	}
}
