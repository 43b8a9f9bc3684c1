package wire

import (
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

// A dispatch that a paused holder reads late must not give its request the time that
// has passed meanwhile.
func TestTimeBeforeReadingCountsAgainstDeadline(t *testing.T) {
	const sent, remaining = 5 * time.Second, 300 * time.Millisecond
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name              string
		sentBefore, clock time.Duration
		want              time.Duration
	}{
		{"read at once", sent, sent, remaining},
		{"read later", sent, sent + 100*time.Millisecond, 200 * time.Millisecond},
		{"read after the deadline", sent, sent + time.Second, -700 * time.Millisecond},
		{"estimate ahead of the clock", sent, sent - 100*time.Millisecond, remaining},
		{"no estimate", 0, sent, remaining},
	} {
		in := Dispatch{SentBefore: c.sentBefore, Request: NewRequest(&request.Request{Deadline: now.Add(remaining)}, now)}
		if got := in.ToRequest(c.clock, now).Deadline.Sub(now); got != c.want {
			t.Errorf("%s: got a deadline in %v, want in %v", c.name, got, c.want)
		}
	}
}
