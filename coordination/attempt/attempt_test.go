package attempt

import (
	"errors"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

func TestCopiesShareOneRun(t *testing.T) {
	table := NewTable()
	now := time.Unix(1e9, 0)
	run, first, err := table.Begin("one", 0, now)
	if !first || err != nil {
		t.Fatalf("first copy: got first %v and error %v", first, err)
	}
	table.Finish(run, request.NotRunAnswer(request.ReasonTooLate, ""), now)
	for _, c := range []struct {
		after time.Duration
		first bool
		want  request.Outcome
	}{
		{0, false, request.OutcomeNotRun},
		{answerRetention, false, request.OutcomeNotRun},
		{answerRetention + 1, false, request.OutcomeUnknown},
		{Retention, false, request.OutcomeUnknown},
		{Retention + 1, true, ""},
	} {
		run, first, err := table.Begin("one", min(c.after, MaxAge), now.Add(c.after))
		if first != c.first || err != nil {
			t.Fatalf("after %v: got first %v and error %v", c.after, first, err)
		}
		if got := table.Answer(run).Outcome; got != c.want {
			t.Errorf("after %v: got %q, want %q", c.after, got, c.want)
		}
	}
}

func TestStaleCopyStartsNoRun(t *testing.T) {
	for age, want := range map[time.Duration]error{MaxAge: nil, MaxAge + 1: ErrStale, -maxClockLead: nil, -maxClockLead - 1: ErrStale} {
		if _, _, err := NewTable().Begin("one", age, time.Unix(1e9, 0)); !errors.Is(err, want) {
			t.Errorf("age %v: got error %v, want %v", age, err, want)
		}
	}
}
