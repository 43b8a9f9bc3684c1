package availability

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestMain(m *testing.M) {
	// Flags on the command line are parsed later and override these.
	for name, value := range map[string]string{"rapid.seed": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("set %s: %v", name, err))
		}
	}
	os.Exit(m.Run())
}

// TestVerdicts covers what a server that announced something may get, at times after it.
func TestVerdicts(t *testing.T) {
	type step struct {
		after   time.Duration
		place   float64
		reason  Reason
		maySend bool
	}
	pause := func(d time.Duration) func(*State) {
		return func(s *State) { s.Record(Signal{Pause: d}, 0, start) }
	}
	back := func(s *State) {
		pause(time.Second)(s)
		s.Sent(start.Add(time.Second))
		s.Answered(start.Add(time.Second), start.Add(2*time.Second))
	}
	for name, c := range map[string]struct {
		play  func(*State)
		steps []step
	}{
		"nothing":          {func(*State) {}, []step{{0, 0.9, "", true}}},
		"entry":            {func(s *State) { s.SetDraining(true) }, []step{{0, 0, Draining, false}}},
		"entry taken back": {func(s *State) { s.SetDraining(true); s.SetDraining(false) }, []step{{0, 0, "", true}}},
		"leaving":          {func(s *State) { s.Record(Signal{Leaving: true}, 0, start) }, []step{{0, 0, Leaving, false}, {time.Hour, 0, Leaving, false}}},
		"leaving and then a ready entry": {func(s *State) {
			s.Record(Signal{Leaving: true}, 0, start)
			s.SetDraining(false)
		}, []step{{time.Minute, 0, Leaving, false}}},
		"leaving and then silent": {func(s *State) {
			s.Record(Signal{Leaving: true}, 0, start)
			s.Record(Signal{}, 0, start)
			s.Answered(start, start)
		}, []step{{time.Minute, 0, Leaving, false}}},
		"pause":               {pause(2 * time.Second), []step{{0, 0, Paused, false}, {1999 * time.Millisecond, 0, Paused, false}, {2 * time.Second, 0.9, "", true}}},
		"endless pause":       {pause(1 << 62), []step{{time.Minute - 1, 0, Paused, false}, {time.Minute, 0, "", true}}},
		"shorter pause later": {func(s *State) { pause(3 * time.Second)(s); pause(time.Second)(s) }, []step{{2 * time.Second, 0, Paused, false}}},
		"answer to a request before the pause": {func(s *State) {
			pause(time.Second)(s)
			s.Answered(start, start.Add(500*time.Millisecond))
		}, []step{{900 * time.Millisecond, 0, Paused, false}}},
		"one request after the pause": {func(s *State) {
			pause(time.Second)(s)
			s.Sent(start.Add(time.Second))
		}, []step{{1400 * time.Millisecond, 0, Paused, true}, {1500 * time.Millisecond, 0, "", true}}},
		"misdirected": {func(s *State) { s.SetMisdirected() }, []step{{time.Hour, 0, Misdirected, false}}},
		"unreachable": {func(s *State) { s.SetUnreachable(start); s.SetUnreachable(start) }, []step{
			{499 * time.Millisecond, 0, Unreachable, true}, {500 * time.Millisecond, 0, "", true},
		}},
		"one request to an unreachable server": {func(s *State) {
			s.SetUnreachable(start)
			s.Sent(start.Add(250 * time.Millisecond))
		}, []step{{499 * time.Millisecond, 0, Unreachable, true}, {500 * time.Millisecond, 0, "", true}}},
		"reachable again": {func(s *State) {
			s.SetUnreachable(start)
			s.SetReachable()
			s.Sent(start.Add(250 * time.Millisecond))
		}, []step{{250 * time.Millisecond, 0, "", true}}},
		"gradual return": {back, []step{
			{2100 * time.Millisecond, 0.05, "", true}, {2100 * time.Millisecond, 0.5, Returning, true},
			{2600 * time.Millisecond, 0.5, "", true}, {3 * time.Second, 0.99, "", true},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &State{}
			c.play(s)
			for _, step := range c.steps {
				now := start.Add(step.after)
				verdict := s.Check(step.place, now)
				if verdict.Reason != step.reason || verdict.Allowed != (step.reason == "") || s.MaySend(now) != step.maySend {
					t.Errorf("after %s at place %v: got %+v and MaySend %t, want %+v", step.after, step.place, verdict, s.MaySend(now), step)
				}
			}
		})
	}
}

// TestReturnsAreSpread guards against daemons that all return at the end of a pause.
func TestReturnsAreSpread(t *testing.T) {
	const daemons = 100
	early := 0
	for i := range daemons {
		s := &State{}
		s.Record(Signal{Pause: 2 * time.Second}, float64(i)/daemons, start)
		if s.Check(0, start.Add(2*time.Second+maxDelay/4)).Allowed {
			early++
		}
	}
	if early < daemons/5 || early > daemons/3 {
		t.Errorf("%d of %d daemons return in the first quarter of the spread, want about a quarter", early, daemons)
	}
}

// TestStateKeepsAnnouncements checks against random signals that a leaving is final and
// that no request is sent before a pause ends, and that a server without either is used.
func TestStateKeepsAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := &State{}, start
		var draining, leaving bool
		var pausedUntil, latest time.Time
		t.Repeat(map[string]func(*rapid.T){
			"entry": func(t *rapid.T) { draining = rapid.Bool().Draw(t, "draining"); s.SetDraining(draining) },
			"signal": func(t *rapid.T) {
				signal := Signal{Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, Pause: time.Duration(rapid.Int64Range(-1, 1<<37).Draw(t, "pause"))}
				s.Record(signal, rapid.Float64Range(0, 0.99).Draw(t, "random"), now)
				leaving = leaving || signal.Leaving
				if signal.Pause > 0 {
					pausedUntil = latestOf(pausedUntil, now.Add(min(signal.Pause, MaxPause)))
					latest = latestOf(latest, now.Add(min(signal.Pause, MaxPause)+maxDelay))
				}
			},
			"send": func(t *rapid.T) {
				if s.Check(rapid.Float64Range(0, 0.99).Draw(t, "place"), now).Allowed {
					s.Sent(now)
				}
			},
			"answer": func(t *rapid.T) { s.Answered(now.Add(-time.Duration(rapid.Int64Range(0, 1<<32).Draw(t, "took"))), now) },
			"wait":   func(t *rapid.T) { now = now.Add(time.Duration(rapid.Int64Range(0, 1<<33).Draw(t, "wait"))) },
			"": func(t *rapid.T) {
				verdict, maySend := s.Check(0, now), s.MaySend(now)
				if must := draining || leaving || now.Before(pausedUntil); must && (maySend || verdict.Allowed) {
					t.Fatalf("got %+v and MaySend %t although the server said otherwise", verdict, maySend)
				}
				if verdict.Allowed != (verdict.Reason == "") || verdict.Reason == Paused && !verdict.Until.After(now) {
					t.Fatalf("got inconsistent verdict %+v at %s", verdict, now)
				}
				if may := !draining && !leaving && !now.Before(latest.Add(trialTimeout)); may && !maySend {
					t.Fatal("MaySend is false although nothing that the server said holds any more")
				}
			},
		})
	})
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
