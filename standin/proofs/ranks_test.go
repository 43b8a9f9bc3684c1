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

// rankedFleet is two entry hosts before one upstream that serves all ranks.
func rankedFleet(t *testing.T, work time.Duration) *fleet.Fleet {
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

// ledgerOf returns the runs of a service at the only upstream.
func ledgerOf(f *fleet.Fleet, service string) []backend.Run {
	var out []backend.Run
	for _, r := range f.Backends["only"].RecordedRuns() {
		if r.Service == service {
			out = append(out, r)
		}
	}
	return out
}

func TestFloodOfReportsLetsUrgentWorkPass(t *testing.T) {
	t.Parallel()
	f := rankedFleet(t, 20*time.Millisecond)
	fl := startFlood(f, "reports", 100)
	defer fl.stop()
	fl.awaitDone(t, 20)
	for _, service := range []string{"payments", "lookups"} {
		before := len(ledgerOf(f, "reports"))
		for range 5 {
			wantDone(t, run(t, f.Client(), service, "urgent"), service, "urgent")
		}
		// An urgent request waits for a slot, not for the queue of reports.
		if during := len(ledgerOf(f, "reports")) - before; during > 5*48 {
			t.Errorf("%d reports ran while 5 of %s did", during, service)
		}
	}
}

func TestFloodOfPaymentsLeavesOthersTheirMinimum(t *testing.T) {
	t.Parallel()
	f := rankedFleet(t, 10*time.Millisecond)
	fl := startFlood(f, "payments", 100)
	defer fl.stop()
	fl.awaitDone(t, 40)
	var others []*flood
	for _, service := range []string{"lookups", "reports"} {
		others = append(others, startFlood(f, service, 8))
	}
	payments, lookups, reports := len(ledgerOf(f, "payments")), len(ledgerOf(f, "lookups")), len(ledgerOf(f, "reports"))
	fl.awaitDone(t, 300)
	total := len(f.Backends["only"].RecordedRuns()) - payments - lookups - reports
	for service, before := range map[string]int{"lookups": lookups, "reports": reports} {
		got := len(ledgerOf(f, service)) - before
		if float64(got) < 0.95*0.2*float64(total) {
			t.Errorf("%s had %d of %d runs, want 95%% of a fifth", service, got, total)
		}
	}
	for _, o := range others {
		o.stop()
	}
}

func TestRequestThatCannotBeAnsweredInTimeIsNotRun(t *testing.T) {
	t.Parallel()
	f := rankedFleet(t, 100*time.Millisecond)
	client := f.Client(f.Hosts[0])
	for range 4 {
		wantDone(t, run(t, client, "lookups", "warm"), "lookups", "warm")
	}
	fl := startFlood(f, "lookups", 100)
	defer fl.stop()
	fl.awaitDone(t, 8)
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
	for _, r := range ledgerOf(f, "lookups") {
		if r.Body == "too late" {
			t.Fatal("the request ran")
		}
	}
}

// An upstream that answers each request with another's identity leaves
// outcomes unknown. Idempotent work then runs on another upstream.
func TestUnknownOutcomeOfIdempotentWorkRunsElsewhere(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, smallFleet())
	f.Backends["lookups-north-1"].SetFaults(backend.Faults{WrongRequestID: true})
	f.Backends["payments-north-1"].SetFaults(backend.Faults{WrongRequestID: true})
	f.Backends["payments-south-1"].SetFaults(backend.Faults{WrongRequestID: true})
	for range 5 {
		wantDone(t, run(t, f.Client(), "lookups", "again"), "lookups", "again")
	}
	run(t, f.Client(), "payments", "once")
	runs := 0
	for _, name := range []string{"payments-north-1", "payments-south-1"} {
		runs += f.Backends[name].Stats().Runs
	}
	if runs > 1 {
		t.Errorf("a payment with an unknown outcome ran %d times", runs)
	}
}

// When every answer is lost, retries stay within their budget.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, smallFleet())
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
		t.Errorf("%d requests ran %d times, want at most %d more", requests, got, budget)
	}
}

// Everything of a region's upstreams is gone; the others serve the work.
func TestWholeRegionOfUpstreamsGone(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, smallFleet())
	f.StopBackend("lookups-north-1")
	f.StopBackend("payments-north-1")
	client := f.Client(f.Hosts[0])
	for range 10 {
		for _, service := range []string{"lookups", "payments"} {
			lookup, err := client.Lookup(t.Context(), service)
			if err != nil {
				t.Fatal(err)
			}
			wantDone(t, client.RunOnce(t.Context(), lookup, service, []byte("elsewhere")), service, "elsewhere")
		}
	}
}
