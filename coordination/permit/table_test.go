package permit

import (
	"errors"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

var start = time.Unix(1e9, 0)

// begin issues a key for the table's own incarnation and begins a run with it.
func begin(t *testing.T, f *fleet, table *Table, now time.Time) (Key, *Run, error) {
	t.Helper()
	key, err := f.issuer.Issue("n0", now.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	run, _, err := table.Begin(key, &request.Request{Body: []byte("one")}, now)
	return key, run, err
}

func TestFullTableRefusesUntilKeysExpire(t *testing.T) {
	table := NewTable("n0", Limits{MaxKeys: 1, MaxAnswerBytes: 10})
	f := newFleet()
	key, run, err := begin(t, f, table, start)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := begin(t, f, table, start); !errors.Is(err, ErrTableFull) {
		t.Fatalf("second key: got %v, want %v", err, ErrTableFull)
	}
	table.Finish(key, run, request.Answer{Outcome: request.OutcomeDone})
	for _, c := range []struct {
		after time.Duration
		want  error
	}{{time.Minute, ErrTableFull}, {time.Minute + ExpiryMargin, ErrTableFull}, {time.Minute + ExpiryMargin + 1, nil}} {
		if _, _, err := begin(t, f, table, start.Add(c.after)); !errors.Is(err, c.want) {
			t.Errorf("after %v: got %v, want %v", c.after, err, c.want)
		}
	}
	if _, _, err := table.Begin(key, &request.Request{Body: []byte("one")}, start.Add(time.Minute)); !errors.Is(err, ErrExpired) {
		t.Errorf("expired key: got %v, want %v", err, ErrExpired)
	}
}

func TestKeyIsBoundToRequestContent(t *testing.T) {
	table := NewTable("n0", Limits{MaxKeys: 1, MaxAnswerBytes: 10})
	key, _, err := begin(t, newFleet(), table, start)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := table.Begin(key, &request.Request{Body: []byte("two")}, start); !errors.Is(err, ErrKeyReused) {
		t.Errorf("other content: got %v, want %v", err, ErrKeyReused)
	}
	if _, first, err := table.Begin(key, &request.Request{Body: []byte("one")}, start); first || err != nil {
		t.Errorf("same content: got first %v, error %v", first, err)
	}
}

func TestDelayedCopyDoesNotRunAfterNotRun(t *testing.T) {
	table := NewTable("n0", Limits{MaxKeys: 1, MaxAnswerBytes: 100})
	key, run, err := begin(t, newFleet(), table, start)
	if err != nil {
		t.Fatal(err)
	}
	table.Finish(key, run, request.NotRunAnswer(request.ReasonCancelled, "caller gone"))
	delayed, first, err := table.Begin(key, &request.Request{Body: []byte("one")}, start)
	if err != nil || first || delayed.Answer().Outcome != request.OutcomeNotRun {
		t.Errorf("delayed copy: got first %v, error %v, run %v, want the answer not-run", first, err, delayed)
	}
}

func TestAnswerOverByteLimitIsReportedAsNotKept(t *testing.T) {
	table := NewTable("n0", Limits{MaxKeys: 3, MaxAnswerBytes: 10})
	f := newFleet()
	var keys []Key
	for _, body := range []string{"12345", "123456", "12345678901"} {
		key, run, err := begin(t, f, table, start)
		if err != nil {
			t.Fatal(err)
		}
		table.Finish(key, run, request.Answer{Outcome: request.OutcomeDone, Body: []byte(body)})
		if got := run.Answer(); string(got.Body) != body {
			t.Errorf("first answer: got %q, want %q", got.Body, body)
		}
		keys = append(keys, key)
		table.mu.Lock()
		if table.keptBytes > table.limits.MaxAnswerBytes {
			t.Errorf("%d bytes of answers are kept, want at most %d", table.keptBytes, table.limits.MaxAnswerBytes)
		}
		table.mu.Unlock()
	}
	for _, key := range keys {
		run, first, err := table.Begin(key, &request.Request{Body: []byte("one")}, start)
		if first || err != nil || run.Answer().Reason != request.ReasonAnswerNotKept || run.Answer().Outcome != request.OutcomeDone {
			t.Errorf("repeated key: got first %v, error %v, answer %+v, want done and not kept", first, err, run.Answer())
		}
	}
}
