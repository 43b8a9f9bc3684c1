package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPlanOfUsualTimeout(t *testing.T) {
	began := time.Unix(1000, 0)
	p := New(began, 6*time.Second)
	if got := p.AcceptUntil.Sub(began); got != 2500*time.Millisecond {
		t.Errorf("accepts connections for %s, want 2.5s", got)
	}
	if got := p.ServeUntil.Sub(began); got != 5200*time.Millisecond {
		t.Errorf("serves for %s, want 5.2s", got)
	}
}

func TestAdmits(t *testing.T) {
	began := time.Unix(1000, 0)
	p := New(began, 6*time.Second)
	for name, c := range map[string]struct {
		arrived, left time.Duration
		want          bool
	}{
		"while directory answers are cached":          {time.Second, 30 * time.Second, true},
		"late, ends before the stop":                  {4 * time.Second, time.Second, true},
		"late, may be cut off":                        {4 * time.Second, 1500 * time.Millisecond, false},
		"after the last moment, deadline has passed":  {5500 * time.Millisecond, -time.Second, true},
		"after the last moment, deadline is to come":  {5500 * time.Millisecond, time.Millisecond, false},
		"at the moment that connections are accepted": {2500 * time.Millisecond, 30 * time.Second, true},
	} {
		arrived := began.Add(c.arrived)
		if got := p.Admits(arrived, arrived.Add(c.left)); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestLeaveFitsAnyTimeout guards against a daemon with a short timeout that is killed
// while it waits for the store: half of the exit margin must be left.
func TestLeaveFitsAnyTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, "timeout"))
		began := time.Unix(1000, 0)
		p := New(began, timeout)
		left := began.Add(timeout).Sub(p.LeaveUntil)
		if !p.LeaveUntil.After(p.ServeUntil) || left < min(timeout/8, 400*time.Millisecond) {
			t.Fatalf("timeout %s: leaves for %s, then has %s", timeout, p.LeaveUntil.Sub(p.ServeUntil), left)
		}
	})
}

// TestPlanFitsAnyTimeout guards against a timeout that is shorter than the margin for
// the exit: the stop cut off all requests at once.
func TestPlanFitsAnyTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, "timeout"))
		began := time.Unix(1000, 0)
		p := New(began, timeout)
		if !p.AcceptUntil.After(began) || !p.ServeUntil.After(p.AcceptUntil) || !p.ServeUntil.Before(began.Add(timeout)) {
			t.Fatalf("timeout %s: accepts for %s and serves for %s", timeout, p.AcceptUntil.Sub(began), p.ServeUntil.Sub(began))
		}
	})
}
