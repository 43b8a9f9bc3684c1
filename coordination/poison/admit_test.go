package poison

import (
	"testing"
	"time"
)

// crashAt returns a crash of a run from began to at, in milliseconds after start.
func crashAt(digest byte, id string, began, at int) Crash {
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	return Crash{Digest: Digest{digest}, ID: id, Began: ms(began), At: ms(at), Expires: start.Add(CrashTTL)}
}

// Servers that end together must not count as several crashes of a request that
// ran on them, and crashes of one copy after the other must.
func TestCrashesOfOneMoment(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes []Crash
		admit   bool
	}{
		{"one crash", []Crash{crashAt(1, "a", 0, 50)}, true},
		{"copies at once", []Crash{crashAt(1, "a", 0, 50), crashAt(1, "b", 40, 300)}, true},
		{"one copy after the other", []Crash{crashAt(1, "a", 0, 50), crashAt(1, "b", 60, 300)}, false},
		{"one after the other while another server ends", []Crash{crashAt(1, "a", 0, 50), crashAt(2, "c", 0, 100), crashAt(1, "b", 60, 300)}, true},
		{"another server ended long before", []Crash{crashAt(2, "c", 0, 100), crashAt(1, "a", 5000, 5050), crashAt(1, "b", 5060, 5300)}, false},
		{"two moments", []Crash{crashAt(1, "a", 0, 50), crashAt(1, "b", 0, 1060)}, false},
	} {
		tr := NewTracker("d")
		now := start.Add(6 * time.Second)
		for _, crash := range c.crashes {
			tr.RecordCrash(crash, now)
		}
		if got := tr.Admit(Digest{1}, now); got != c.admit {
			t.Errorf("%s: got admitted %v, want %v", c.name, got, c.admit)
		}
	}
}

// A blocked request must get one trial run at a time, less often with each crash,
// and not before the last crash is trialPause old.
func TestTrialRunsBecomeRarer(t *testing.T) {
	tr := NewTracker("d")
	record := func(c Crash, now time.Time) { tr.RecordCrash(tr.WithExpiry(c), now) }
	record(crashAt(1, "a", 0, 0), start)
	record(crashAt(1, "b", 2000, 2000), start.Add(2*time.Second))
	last, least := start.Add(2*time.Second), trialPause
	for trial := range 3 {
		now := last
		for !tr.Admit(Digest{1}, now) {
			now = now.Add(time.Second)
		}
		if pause := now.Sub(last); pause < least || pause > 2*least+time.Second {
			t.Errorf("trial run %d: got a pause of %v, want %v to %v", trial, pause, least, 2*least)
		}
		if tr.Admit(Digest{1}, now.Add(time.Second)) {
			t.Errorf("trial run %d: a second one is admitted meanwhile", trial)
		}
		ms := int(now.Sub(start).Milliseconds())
		record(crashAt(1, string(rune('c'+trial)), ms, ms), now)
		last, least = now, trialGrowth*least
	}
}

// A crash whose time lies in the future must not block a request for longer than
// one of now.
func TestCrashFromFutureCountsAsNow(t *testing.T) {
	tr := NewTracker("d")
	for hours, id := range []string{"a", "b"} {
		at := start.Add(time.Duration(24+hours) * time.Hour)
		tr.RecordCrash(Crash{Digest: Digest{1}, ID: id, Began: at, At: at, Expires: start.Add(1000 * time.Hour)}, start)
	}
	if tr.Admit(Digest{1}, start.Add(time.Second)) {
		t.Error("the request is not blocked")
	}
	if got := tr.ActiveCrashes(Digest{1}, start.Add(maxCrashTTL)); len(got) != 0 {
		t.Errorf("%d crashes count after maxCrashTTL, want none", len(got))
	}
	if !tr.Admit(Digest{1}, start.Add(2*trialPause+time.Second)) {
		t.Error("no trial run is admitted after its pause")
	}
}
