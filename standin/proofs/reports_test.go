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

// durableFleet is three entry hosts before one upstream that runs durable
// reports and is drained.
func durableFleet(t *testing.T, work time.Duration) *fleet.Fleet {
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
	setDrain(f, true)
	return f
}

func setDrain(f *fleet.Fleet, drain bool) {
	entry := *f.UpstreamEntry("reports-1")
	entry.Drain = drain
	f.Apply(&entry)
	f.WaitConverged()
}

// accepted sends a report that cannot run yet and returns its name.
func accepted(t *testing.T, f *fleet.Fleet, body string) string {
	t.Helper()
	result := run(t, f.Client(), "reports", body)
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
	wantDone(t, result, "reports", body)
}

func TestAcceptedReportIsAnsweredLater(t *testing.T) {
	t.Parallel()
	f := durableFleet(t, time.Millisecond)
	name := accepted(t, f, "later")
	if result := f.Client().Report(t.Context(), name); result.Outcome != request.OutcomeAccepted {
		t.Fatalf("got %s (%s), want accepted", result.Outcome, result.Reason)
	}
	setDrain(f, false)
	awaitReport(t, f.Client(), name, "later")
	fleet.Eventually(t, "the request is deleted", func() bool {
		_, err := f.Platform.Object(tiller.KindReport, name)
		return errors.Is(err, tiller.ErrNotFound)
	})
	if got := f.Backends["reports-1"].Stats().Runs; got != 1 {
		t.Errorf("the report ran %d times", got)
	}
	if result := f.Client().Report(t.Context(), "no-such-report"); result.Reason != request.ReasonUnknownReport {
		t.Errorf("got %s (%s), want unknown-report", result.Outcome, result.Reason)
	}
}

func TestReportIsNotAcceptedWhileThePlatformIsDown(t *testing.T) {
	t.Parallel()
	f := durableFleet(t, time.Millisecond)
	f.Platform.SetFaults(platform.Faults{Down: true})
	client := f.Client()
	lookup, err := client.Lookup(t.Context(), "reports")
	if err != nil {
		t.Fatal(err)
	}
	result := client.RunOnce(t.Context(), lookup, "reports", []byte("refused"))
	if result.Outcome == request.OutcomeAccepted || result.Outcome == request.OutcomeDone {
		t.Fatalf("got %s (%s) while the platform is down", result.Outcome, result.Reason)
	}
	f.Platform.SetFaults(platform.Faults{})
	setDrain(f, false)
	awaitReport(t, client, acceptedBehindDrain(t, f), "after")
	for _, r := range f.Backends["reports-1"].RecordedRuns() {
		if r.Body == "refused" {
			t.Error("a report that was not accepted ran")
		}
	}
}

// acceptedBehindDrain stores a report behind a drain, so that whatever was stored
// before it has been looked at once it is answered.
func acceptedBehindDrain(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	setDrain(f, true)
	name := accepted(t, f, "after")
	setDrain(f, false)
	return name
}

func TestReportIsAcceptedOnceWhenTheAnswerOfTheWriteIsLost(t *testing.T) {
	t.Parallel()
	f := durableFleet(t, time.Millisecond)
	f.Platform.SetFaults(platform.Faults{DropResponses: 1})
	name := accepted(t, f, "lost")
	setDrain(f, false)
	awaitReport(t, f.Client(), name, "lost")
	if got := f.Backends["reports-1"].Stats().Runs; got != 1 {
		t.Errorf("the report ran %d times", got)
	}
}

func TestReportOfAKilledWorkerIsAnswered(t *testing.T) {
	t.Parallel()
	f := durableFleet(t, 1500*time.Millisecond)
	name := accepted(t, f, "killed")
	setDrain(f, false)
	var worker *fleet.Host
	fleet.Eventually(t, "a worker runs the report", func() bool {
		worker = workerOf(f, name)
		return worker != nil && f.Backends["reports-1"].Stats().Runs > 0
	})
	worker.Kill()
	awaitReport(t, f.Client(otherHosts(f, worker)...), name, "killed")
}

// workerOf returns the host whose daemon has the lease of a report.
func workerOf(f *fleet.Fleet, name string) *fleet.Host {
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
