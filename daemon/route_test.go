package daemon

import (
	"testing"

	"bilberrytiller.example/tiller/state/request"
)

// The unit of a limit must not be released with the answer of a second server
// while the first may still work on the request.
func TestAnsweredRetryKeepsUnitOfLostAttempt(t *testing.T) {
	r := routing{answer: request.NotRunAnswer(request.ReasonNoUpstream, "")}
	r.recordAnswer(request.NotRunAnswer(request.ReasonShed, ""))
	if got := r.limitOutcome(); got != request.OutcomeNotRun {
		t.Errorf("after a shed attempt: got outcome %q, want not run", got)
	}
	r.recordAnswer(request.UnknownAnswer(request.ReasonPeerLost, ""))
	r.recordAnswer(request.Answer{Outcome: request.OutcomeDone, Reason: request.ReasonAnswered})
	if got := r.limitOutcome(); got != request.OutcomeUnknown {
		t.Errorf("after a lost and an answered attempt: got outcome %q, want unknown", got)
	}
}
