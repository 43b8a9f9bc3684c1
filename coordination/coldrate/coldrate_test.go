package coldrate

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestFleetKeepsAColdServersRate has every daemon send as much as it may and
// checks each second against the users' bound of 1.5 times the rate plus 5.
func TestLargeFleetKeepsAColdServersRate(t *testing.T) {
	const rate, daemons = 3.9, 77
	random := rand.New(rand.NewPCG(1, 2))
	const least = 0.7 * rate * 60
	start := time.Unix(1000, 0)
	gates := make([]Gate, daemons)
	for period := range 20 {
		begin := start.Add(time.Duration(period) * 2 * time.Minute)
		for i := range gates {
			gates[i].Begin(random.Float64(), begin)
		}
		var sent []time.Duration
		for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
			for i := range gates {
				if gates[i].Admit(rate, daemons, begin.Add(at)) {
					sent = append(sent, at)
				}
			}
		}
		for i, end := range sent {
			n := 0
			for _, at := range sent[:i+1] {
				if at > end-time.Second {
					n++
				}
			}
			if float64(n) > rate*1.5+8 {
				t.Fatalf("period %d: %d requests in the second that ends at %s", period, n, end)
			}
		}
		if n := len(sent); float64(n) < least {
			t.Errorf("period %d: %d requests in a minute, want %v or more", period, n, least)
		}
	}
}

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
