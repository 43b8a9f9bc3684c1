package poison

import (
	"testing"
	"time"
)

func TestOnlyACrashIsChargedToRequests(t *testing.T) {
	start := time.Unix(1000, 0)
	one, two := Digest{1}, Digest{2}
	l := NewCrashDetector()
	l.ConnectionLost("i-1", one, start)
	l.ConnectionLost("i-1", two, start)
	l.ConnectionLost("i-2", one, start)
	l.ServerAnswered("i-2")
	if got := l.ServerDown("i-2", start.Add(time.Millisecond)); len(got) != 0 {
		t.Errorf("a server that answered after the loss: %d charged", len(got))
	}
	if got := l.ServerDown("i-1", start.Add(time.Millisecond)); len(got) != 2 {
		t.Errorf("a server found down: %d charged, want 2", len(got))
	}
	if got := l.ServerDown("i-1", start.Add(2*time.Millisecond)); len(got) != 0 {
		t.Errorf("charged again: %d", len(got))
	}
	l.ConnectionLost("i-3", one, start)
	if got := l.ServerDown("i-3", start.Add(confirmPeriod+1)); len(got) != 0 {
		t.Errorf("a server found down long after: %d charged", len(got))
	}
	if !l.Empty() {
		t.Error("losses are kept")
	}
}
