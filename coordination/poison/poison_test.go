package poison

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func newCrash(digest byte, id string) Crash {
	return Crash{Digest: Digest{digest}, ID: id, Expires: start.Add(CrashTTL)}
}

func wantVerdict(t *testing.T, tr *Tracker, digest byte, at time.Time, want Verdict) {
	t.Helper()
	if got := tr.Verdict(Digest{digest}, at); got != want {
		t.Fatalf("got verdict %d, want %d", got, want)
	}
}

func TestSecondCrashBlocks(t *testing.T) {
	tr := NewTracker("")
	wantVerdict(t, tr, 1, start, Allowed)
	tr.RecordCrash(newCrash(1, "a"), start)
	tr.RecordCrash(newCrash(1, "a"), start)
	wantVerdict(t, tr, 1, start, Suspect)
	tr.RecordCrash(newCrash(1, "b"), start)
	wantVerdict(t, tr, 1, start, Blocked)
	wantVerdict(t, tr, 2, start, Allowed)
}

func TestClearedCrashIsNotRecordedAgain(t *testing.T) {
	tr := NewTracker("")
	tr.RecordCrash(newCrash(1, "a"), start)
	for _, c := range tr.ActiveCrashes(Digest{1}, start) {
		tr.ClearCrash(c, start)
	}
	tr.RecordCrash(newCrash(1, "a"), start)
	wantVerdict(t, tr, 1, start, Allowed)
	tr.ClearCrash(newCrash(2, "b"), start)
	tr.RecordCrash(newCrash(2, "b"), start)
	wantVerdict(t, tr, 2, start, Allowed)
}

func TestCrashesExpire(t *testing.T) {
	tr := NewTracker("")
	tr.RecordCrash(newCrash(1, "a"), start)
	tr.RecordCrash(newCrash(1, "b"), start)
	wantVerdict(t, tr, 1, start.Add(CrashTTL), Allowed)
	tr.RecordCrash(newCrash(2, "c"), start.Add(CrashTTL))
	if len(tr.crashes) != 0 {
		t.Fatalf("%d requests with expired crashes are still tracked", len(tr.crashes))
	}
}
