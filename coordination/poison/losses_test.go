package poison

import (
	"testing"
	"time"
)

func TestOnlyConfirmedCrashIsAttributed(t *testing.T) {
	start := time.Unix(1000, 0)
	one, two := Digest{1}, Digest{2}
	detector := NewCrashDetector()
	detector.ConnectionLost("i-1", one, start, start)
	detector.ConnectionLost("i-1", two, start, start)
	detector.ConnectionLost("i-2", one, start, start)
	detector.ServerAnswered("i-2")
	if got := detector.ServerDown("i-2", start.Add(time.Millisecond)); len(got) != 0 {
		t.Errorf("server that answered after the loss: got %d requests, want 0", len(got))
	}
	if got := detector.ServerDown("i-1", start.Add(time.Millisecond)); len(got) != 2 {
		t.Errorf("server that went down: got %d requests, want 2", len(got))
	}
	if got := detector.ServerDown("i-1", start.Add(2*time.Millisecond)); len(got) != 0 {
		t.Errorf("server reported down again: got %d requests, want 0", len(got))
	}
	detector.ConnectionLost("i-3", one, start, start)
	if got := detector.ServerDown("i-3", start.Add(crashConfirmWindow+1)); len(got) != 0 {
		t.Errorf("server that went down long after the loss: got %d requests, want 0", len(got))
	}
	if !detector.Empty() {
		t.Error("detector still has pending requests")
	}
}

// A request that another server answered meanwhile crashes none, and losses that
// can no longer be judged must not be kept.
func TestAnsweredAndOldLossesAreDiscarded(t *testing.T) {
	start := time.Unix(1000, 0)
	one, two := Digest{1}, Digest{2}
	detector := NewCrashDetector()
	if !detector.ConnectionLost("i-1", one, start, start) {
		t.Error("first loss: no check is due, want one")
	}
	if detector.ConnectionLost("i-1", two, start, start) {
		t.Error("second loss while the server is checked: another check is due, want none")
	}
	detector.RequestAnswered(one, start)
	if got := detector.ServerDown("i-1", start); len(got) != 1 || got[0].Digest != two {
		t.Errorf("got crashes %+v, want one of the request that was not answered", got)
	}
	detector.ConnectionLost("i-2", one, start, start)
	detector.RequestAnswered(two, start.Add(crashConfirmWindow+1))
	if !detector.Empty() {
		t.Error("an old loss is kept")
	}
}
