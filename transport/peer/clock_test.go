package peer

import (
	"net/http"
	"testing"
	"time"
)

// The bounds must enclose the peer's clock, wherever within the handshake it was
// read.
func TestClockBoundsEnclosePeersClock(t *testing.T) {
	began := time.Unix(1000, 0)
	const handshake, later = 40 * time.Millisecond, time.Second
	resp := &http.Response{Header: http.Header{HeaderClock: {"7000"}}}
	reading, err := parseClock(resp, began, began.Add(handshake))
	if err != nil {
		t.Fatal(err)
	}
	got := reading.bounds(began.Add(handshake + later))
	for _, readAt := range []time.Duration{0, handshake} {
		// The header cuts off up to a millisecond.
		clock := 7*time.Second + 999*time.Microsecond + handshake - readAt + later
		if clock < got.Earliest || clock > got.Latest {
			t.Errorf("clock read %v into the handshake: got bounds %v, want them to enclose %v", readAt, got, clock)
		}
	}
	if got.Latest-got.Earliest > handshake+clockResolution {
		t.Errorf("got bounds %v, want them no wider than the handshake", got)
	}
}
