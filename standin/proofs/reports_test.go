package proofs

import (
	"errors"
	"testing"
	"time"

	tiller "bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/coordination/report"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/platform"
)

// durableReportFleet starts a fleet of three entry hosts and one upstream for
// durable reports. The upstream is drained, so that reports are accepted and
// stored but cannot run yet.
func durableReportFleet(t *testing.T, work time.Duration) *fleet.Fleet {
	service := fleet.Service("reports", request.RankReport, true)
	service.Class.Durable = true
	service.Class.Deadline = catalogue.Duration(2 * time.Second)
	f := fleet.Start(t, fleet.Options{
		DataCentres: map[string]string{"north-1": "north"},
		Hosts:       []string{"north-1", "north-1", "north-1"},
		Services:    []catalogue.Service{service},
		Upstreams: []fleet.Upstream{{
			Name: "reports-1", Service: "reports", DataCentre: "north-1", Options: backend.Options{Slots: 4, Work: work},
		}},
	})
	setReportsDrain(f, true)
	return f
}

func setReportsDrain(f *fleet.Fleet, drain bool) {
	entry := *f.UpstreamEntry("reports-1")
	entry.Drain = drain
	f.Apply(&entry)
	f.WaitConverged()
}

// acceptReport sends a report while the upstream is drained, checks that it is
// accepted, and returns its name.
func acceptReport(t *testing.T, f *fleet.Fleet, body string) string {
	t.Helper()
	result := runRequest(t, f.Client(), "reports", body)
	if result.Outcome != request.OutcomeAccepted || result.Report == "" {
		t.Fatalf("got %s (%s) %q, want accepted", result.Outcome, result.Reason, result.Body)
	}
	return result.Report
}

func awaitReport(t *testing.T, c *caller.Caller, name, body string) {
	t.Helper()
	var result caller.Result
	fleet.Eventually(t, "the report is answered", func() bool {
		result = c.Report(t.Context(), name)
		return result.Outcome == request.OutcomeDone
	})
	requireDone(t, result, "reports", body)
}

// TestAcceptedReportIsAnsweredLater guards against an accepted report that is
// lost, runs more than once, or stays in the platform after its answer.
func TestAcceptedReportIsAnsweredLater(t *testing.T) {
	t.Parallel()
	f := durableReportFleet(t, time.Millisecond)
	name := acceptReport(t, f, "later")
	if result := f.Client().Report(t.Context(), name); result.Outcome != request.OutcomeAccepted {
		t.Fatalf("got %s (%s), want accepted", result.Outcome, result.Reason)
	}
	setReportsDrain(f, false)
	awaitReport(t, f.Client(), name, "later")
	fleet.Eventually(t, "the stored report is deleted", func() bool {
		_, err := f.Platform.Object(tiller.KindReport, name)
		return errors.Is(err, tiller.ErrNotFound)
	})
	if got := f.Backends["reports-1"].Stats().Runs; got != 1 {
		t.Errorf("the report ran %d times, want 1", got)
	}
	if result := f.Client().Report(t.Context(), "no-such-report"); result.Reason != request.ReasonUnknownReport {
		t.Errorf("got %s (%s), want unknown-report", result.Outcome, result.Reason)
	}
}

// TestReportIsNotAcceptedWhilePlatformIsDown guards against a report that is
// accepted although it could not be stored, and against one that runs although it
// was refused.
func TestReportIsNotAcceptedWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	f := durableReportFleet(t, time.Millisecond)
	f.Platform.SetFaults(platform.Faults{Down: true})
	client := f.Client()
	lookup, err := client.Lookup(t.Context(), "reports")
	if err != nil {
		t.Fatal(err)
	}
	result := client.RunOnce(t.Context(), lookup, "reports", []byte("refused"))
	if result.Outcome == request.OutcomeAccepted || result.Outcome == request.OutcomeDone {
		t.Fatalf("got %s (%s) while the platform is down, want a refusal", result.Outcome, result.Reason)
	}
	f.Platform.SetFaults(platform.Faults{})
	setReportsDrain(f, false)
	awaitReport(t, client, acceptReportBehindDrain(t, f), "after")
	for _, r := range f.Backends["reports-1"].RecordedRuns() {
		if r.Body == "refused" {
			t.Error("a report that was not accepted ran")
		}
	}
}

// acceptReportBehindDrain stores a report while the upstream is drained and then
// ends the drain. Once this report is answered, any report stored before it has
// been processed too.
func acceptReportBehindDrain(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	setReportsDrain(f, true)
	name := acceptReport(t, f, "after")
	setReportsDrain(f, false)
	return name
}

// TestReportRunsOnceWhenWriteResponseIsLost guards against a report that is
// stored and run twice because the platform's response to the write was lost and
// the write was retried.
func TestReportRunsOnceWhenWriteResponseIsLost(t *testing.T) {
	t.Parallel()
	f := durableReportFleet(t, time.Millisecond)
	f.Platform.SetFaults(platform.Faults{DropResponses: 1})
	name := acceptReport(t, f, "lost")
	setReportsDrain(f, false)
	awaitReport(t, f.Client(), name, "lost")
	if got := f.Backends["reports-1"].Stats().Runs; got != 1 {
		t.Errorf("the report ran %d times, want 1", got)
	}
}

// TestReportOfKilledWorkerIsAnswered guards against a report that is never
// answered because the daemon that held its lease was killed while it ran.
func TestReportOfKilledWorkerIsAnswered(t *testing.T) {
	t.Parallel()
	f := durableReportFleet(t, 1500*time.Millisecond)
	name := acceptReport(t, f, "killed")
	setReportsDrain(f, false)
	var worker *fleet.Host
	fleet.Eventually(t, "a worker runs the report", func() bool {
		worker = leaseHolder(f, name)
		return worker != nil && f.Backends["reports-1"].Stats().Runs > 0
	})
	worker.Kill()
	awaitReport(t, f.Client(hostsExcept(f, worker)...), name, "killed")
}

// leaseHolder returns the host whose daemon holds the lease of a report, or nil.
func leaseHolder(f *fleet.Fleet, name string) *fleet.Host {
	obj, err := f.Platform.Object(tiller.KindReport, name)
	if err != nil {
		return nil
	}
	record, err := report.Decode(obj.Data)
	if err != nil {
		return nil
	}
	for _, h := range f.Hosts {
		if status, err := h.Status(); err == nil && status.Incarnation == record.Worker {
			return h
		}
	}
	return nil
}
