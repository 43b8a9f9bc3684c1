package poison

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func crash(digest byte, id string) Crash {
	return Crash{Digest: Digest{digest}, ID: id, Expires: start.Add(Expiry)}
}

func wantVerdict(t *testing.T, tr *Tracker, digest byte, at time.Time, want Verdict) {
	t.Helper()
	if got := tr.Verdict(Digest{digest}, at); got != want {
		t.Fatalf("verdict %d, want %d", got, want)
	}
}

func TestSecondCrashBlocks(t *testing.T) {
	tr := NewTracker()
	wantVerdict(t, tr, 1, start, Clear)
	tr.Charge(crash(1, "a"), start)
	tr.Charge(crash(1, "a"), start)
	wantVerdict(t, tr, 1, start, Suspect)
	tr.Charge(crash(1, "b"), start)
	wantVerdict(t, tr, 1, start, Blocked)
	wantVerdict(t, tr, 2, start, Clear)
}

func TestAnswerClearsAndLateCopyDoesNotCharge(t *testing.T) {
	tr := NewTracker()
	tr.Charge(crash(1, "a"), start)
	for _, c := range tr.Open(Digest{1}, start) {
		tr.Clear(c, start)
	}
	tr.Charge(crash(1, "a"), start)
	wantVerdict(t, tr, 1, start, Clear)
	tr.Clear(crash(2, "b"), start)
	tr.Charge(crash(2, "b"), start)
	wantVerdict(t, tr, 2, start, Clear)
}

func TestChargesExpire(t *testing.T) {
	tr := NewTracker()
	tr.Charge(crash(1, "a"), start)
	tr.Charge(crash(1, "b"), start)
	wantVerdict(t, tr, 1, start.Add(Expiry), Clear)
	tr.Charge(crash(2, "c"), start.Add(Expiry))
	if len(tr.charges) != 0 {
		t.Fatalf("%d expired requests are still tracked", len(tr.charges))
	}
}
