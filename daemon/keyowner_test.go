package daemon

import (
	"context"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

// The deadline of one copy of a request says nothing about another copy that still
// waits: the request may run for that one.
func TestCopyIsNotRunOnlyIfNoOtherCopyWaits(t *testing.T) {
	d := benchDaemon(t, 1, "error")
	req := &request.Request{Service: "payments"}
	key, err := d.keyIssuer.Issue(d.self.Incarnation, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	run, _, _ := d.keys.Begin(key, req, time.Now())
	d.keys.Begin(key, req, time.Now())
	go func() {
		<-run.Abandoned()
		d.keys.Finish(key, run, request.NotRunAnswer(request.ReasonCancelled, ""))
	}()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, want := range []request.Outcome{request.OutcomeUnknown, request.OutcomeNotRun} {
		if answer := d.awaitRun(ended, run, false); answer.Outcome != want {
			t.Errorf("got %s (%s), want %s", answer.Outcome, answer.Detail, want)
		}
	}
}
