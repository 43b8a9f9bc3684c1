package poison

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func crash(digest byte, id string) Crash {
	return Crash{Digest: Digest{digest}, ID: id, Expires: start.Add(CrashTTL)}
}

func wantVerdict(t *testing.T, tr *Tracker, digest byte, at time.Time, want Verdict) {
	t.Helper()
	if got := tr.Verdict(Digest{digest}, at); got != want {
		t.Fatalf("verdict %d, want %d", got, want)
	}
}

func TestSecondCrashBlocks(t *testing.T) {
	tr := NewTracker()
	wantVerdict(t, tr, 1, start, Allowed)
	tr.RecordCrash(crash(1, "a"), start)
	tr.RecordCrash(crash(1, "a"), start)
	wantVerdict(t, tr, 1, start, Suspect)
	tr.RecordCrash(crash(1, "b"), start)
	wantVerdict(t, tr, 1, start, Blocked)
	wantVerdict(t, tr, 2, start, Allowed)
}

func TestAnswerClearsAndLateCopyDoesNotCharge(t *testing.T) {
	tr := NewTracker()
	tr.RecordCrash(crash(1, "a"), start)
	for _, c := range tr.ActiveCrashes(Digest{1}, start) {
		tr.ClearCrash(c, start)
	}
	tr.RecordCrash(crash(1, "a"), start)
	wantVerdict(t, tr, 1, start, Allowed)
	tr.ClearCrash(crash(2, "b"), start)
	tr.RecordCrash(crash(2, "b"), start)
	wantVerdict(t, tr, 2, start, Allowed)
}

func TestChargesExpire(t *testing.T) {
	tr := NewTracker()
	tr.RecordCrash(crash(1, "a"), start)
	tr.RecordCrash(crash(1, "b"), start)
	wantVerdict(t, tr, 1, start.Add(CrashTTL), Allowed)
	tr.RecordCrash(crash(2, "c"), start.Add(CrashTTL))
	if len(tr.charges) != 0 {
		t.Fatalf("%d expired requests are still tracked", len(tr.charges))
	}
}
