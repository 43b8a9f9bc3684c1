package bodyload

import (
	"testing"
	"time"
)

const mb = 1 << 20

var start = time.Unix(1000, 0)

// crash sends bodies to a server that has others requests of other daemons, and lets it
// crash on them.
func crash(s *Service, body int64, bodies, others int, after time.Duration) (learned bool) {
	var srv Server
	for range bodies {
		s.Begin(&srv, body)
	}
	for range bodies {
		s.End(&srv, body, true, others, start)
	}
	return s.Crashed(&srv, start.Add(after))
}

// TestLimitIsLearnedFromCrashes guards against servers that crash again and again on the
// bodies that they hold, and against a limit because of crashes with another cause.
func TestLimitIsLearnedFromCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		body           int64
		bodies, others int
		after          time.Duration
		want           int64
	}{
		"own bodies":   {4 * mb, 5, 0, 0, 10 * mb},
		"small bodies": {4 << 10, 16, 100, 0, 0},
		"few bytes":    {300 << 10, 2, 0, 0, 0},
		"at the floor": {300 << 10, 4, 0, 0, mb},
		"long after":   {4 * mb, 5, 0, crashWindow + 1, 0},
	} {
		var s Service
		learned := crash(&s, c.body, c.bodies, c.others, c.after)
		if got := s.Limit(start.Add(c.after)); got != c.want || learned != (c.want > 0) {
			t.Errorf("%s: got limit %d, learned %t, want %d", name, got, learned, c.want)
		}
	}
}

// TestBodiesOfOtherDaemonsCount guards against a fleet whose daemons each keep to the limit,
// but not together.
func TestBodiesOfOtherDaemonsCount(t *testing.T) {
	var s Service
	for range 200 {
		var srv Server
		s.Begin(&srv, mb)
		s.End(&srv, mb, false, 0, start)
	}
	if !crash(&s, mb, 2, 18, 0) {
		t.Fatal("a crash with 2 own bodies and 18 of others sets no limit")
	}
	var srv Server
	for name, c := range map[string]struct {
		bytes  int64
		others int
		want   bool
	}{
		"room": {mb, 6, true}, "none": {mb, 12, false}, "small": {SmallBytes, 12, true},
		"free server": {64 * mb, 0, true},
	} {
		if got := s.Admits(&srv, c.bytes, c.others, start); got != c.want {
			t.Errorf("%s: got %t, want %t at a limit of %d", name, got, c.want, s.Limit(start))
		}
	}
}

// TestLimitRelaxes guards against a limit that outlives its cause, and against a crash that
// raises it.
func TestLimitRelaxes(t *testing.T) {
	var s Service
	crash(&s, 4*mb, 5, 0, 0)
	if crash(&s, 10*mb, 5, 0, 0) || s.Limit(start) != 10*mb {
		t.Errorf("got limit %d after a crash with more bytes, want it unchanged", s.Limit(start))
	}
	if got := s.Limit(start.Add(relaxTime)); got != 20*mb {
		t.Errorf("got limit %d after %s, want it doubled", got, relaxTime)
	}
	if got := s.Limit(start.Add(forgetTime + 1)); got != 0 {
		t.Errorf("got limit %d after %s, want none", got, forgetTime)
	}
}
