package proofs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/fleet"
)

// setFaults gives every backend server the same faults.
func setFaults(f *fleet.Fleet, faults backend.Faults) {
	for _, b := range f.Backends {
		b.SetFaults(faults)
	}
}

// lookUpOnce sends one idempotent request to one host, once.
func lookUpOnce(f *fleet.Fleet, h *fleet.Host, body, deadline string) caller.Result {
	header := map[string][]string{callerapi.HeaderDeadline: {deadline}}
	return f.Client(h).RunAt(context.Background(), h.Caller.String(), "lookups", "", "", []byte(body), header)
}

func TestWrongAnswersNeverReachCallers(t *testing.T) {
	f := fleet.Start(t, smallFleet())
	for name, faults := range map[string]backend.Faults{"crossed": {Cross: true}, "truncated": {Truncate: true}} {
		setFaults(f, faults)
		payments := map[*fleet.Host]*payment{}
		for _, h := range f.Hosts {
			if got := lookUpOnce(f, h, name, "5000"); got.Outcome != request.Unknown {
				t.Errorf("%s look-up: got %s (%s), want unknown", name, got.Outcome, got.Reason)
			}
			payments[h] = newPayment(t, f, f.Hosts[0], fmt.Sprintf("%s-%s", name, h.ID))
			payments[h].want(h, request.Unknown)
		}
		setFaults(f, backend.Faults{})
		for _, h := range f.Hosts {
			payments[h].want(f.Hosts[2], request.Unknown)
			payments[h].wantRuns(1)
			wantDone(t, lookUpOnce(f, h, name, "5000"), "lookups", name)
		}
	}
}

func TestLateAnswersGoToTheirOwnRequests(t *testing.T) {
	f := fleet.Start(t, smallFleet())
	setFaults(f, backend.Faults{LateMs: 1500})
	late := newPayment(t, f, f.Hosts[0], "late")
	late.deadline = "100"
	late.want(f.Hosts[1], request.Unknown)
	if got := lookUpOnce(f, f.Hosts[1], "late", "100"); got.Outcome != request.Unknown {
		t.Errorf("late look-up: got %s (%s), want unknown", got.Outcome, got.Reason)
	}
	setFaults(f, backend.Faults{})
	for i := range 20 {
		body := fmt.Sprintf("next-%d", i)
		wantDone(t, lookUpOnce(f, f.Hosts[1], body, "5000"), "lookups", body)
		newPayment(t, f, f.Hosts[0], body).want(f.Hosts[1], request.Done)
	}
	late.deadline = ""
	late.want(f.Hosts[2], request.Done)
	late.wantRuns(1)
}

func TestDeadlineInTheQueueIsNotRun(t *testing.T) {
	f := fleet.Start(t, slowFleet(1500*time.Millisecond, 1))
	ctx := context.Background()
	first := newPayment(t, f, f.Hosts[0], "first").start(ctx, f.Hosts[0])
	var queued []*payment
	for i := range 6 {
		p := newPayment(t, f, f.Hosts[0], fmt.Sprintf("queued-%d", i))
		p.deadline = "300"
		queued = append(queued, p)
	}
	results := make(chan caller.Result, len(queued))
	for i, p := range queued {
		go func() { results <- p.send(ctx, f.Hosts[i%3]) }()
	}
	notRun := 0
	for range queued {
		if (<-results).Outcome == request.NotRun {
			notRun++
		}
	}
	<-first
	ran := 0
	for _, p := range queued {
		ran += p.runs()
	}
	if notRun == 0 || notRun+ran != len(queued) {
		t.Fatalf("of %d queued payments %d are told not run and %d ran", len(queued), notRun, ran)
	}
}
