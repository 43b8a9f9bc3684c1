package coldrate

import (
	"testing"
	"time"
)

// TestFleetKeepsAColdServersRate has every daemon send as much as it may and
// checks each second against the users' bound of 1.5 times the rate plus 5.
func TestFleetKeepsAColdServersRate(t *testing.T) {
	const rate = 22.0
	for _, daemons := range []int{1, 9, 16} {
		gates := make([]Gate, daemons)
		var sent []time.Duration
		start := time.Unix(1000, 0)
		for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
			for i := range gates {
				if gates[i].Admit(rate, daemons, start.Add(at)) {
					sent = append(sent, at)
				}
			}
		}
		if len(sent) == 0 {
			t.Fatalf("%d daemons: a cold server gets nothing", daemons)
		}
		for i, end := range sent {
			n := 0
			for _, at := range sent[:i+1] {
				if at > end-time.Second {
					n++
				}
			}
			if float64(n) > rate*1.5+5 {
				t.Fatalf("%d daemons: %d requests in the second that ends at %s", daemons, n, end)
			}
		}
	}
}
