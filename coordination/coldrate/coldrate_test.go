package coldrate

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sendAll has every daemon send as often as it may for a while. It returns the
// time of each request since begin.
func sendAll(limiters []Limiter, rate float64, begin time.Time, duration time.Duration) (sent []time.Duration) {
	for at := time.Duration(0); at < duration; at += 10 * time.Millisecond {
		for i := range limiters {
			if limiters[i].Allow(rate, len(limiters), begin.Add(at)) {
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// maxPerSecond returns the largest number of requests in any second.
func maxPerSecond(sent []time.Duration) int {
	most, first := 0, 0
	for i, end := range sent {
		for sent[first] <= end-time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestFleetKeepsColdRate has every daemon send as often as it may and checks
// each second against the limit that users set, 1.5 times the rate plus 5.
func TestFleetKeepsColdRate(t *testing.T) {
	const rate = 22.0
	for _, daemons := range []int{1, 9, 16} {
		sent := sendAll(make([]Limiter, daemons), rate, time.Unix(1000, 0), 5*time.Second)
		if len(sent) == 0 {
			t.Fatalf("%d daemons: cold server got no requests", daemons)
		}
		if n := maxPerSecond(sent); float64(n) > rate*1.5+5 {
			t.Fatalf("%d daemons: %d requests in a second", daemons, n)
		}
	}
}

// TestLargeFleetKeepsColdRate has 77 daemons send to a server that is
// repeatedly cold for a minute. It checks each second against the limit of 1.5
// times the rate plus 8, and that the server gets at least 0.7 times the rate.
func TestLargeFleetKeepsColdRate(t *testing.T) {
	const (
		rate    = 3.9
		minimum = 0.7 * rate * 60
	)
	random := rand.New(rand.NewPCG(1, 2))
	limiters := make([]Limiter, 77)
	for period := range 20 {
		begin := time.Unix(1000, 0).Add(time.Duration(period) * 2 * time.Minute)
		for i := range limiters {
			limiters[i].Reset(random.Float64(), begin)
		}
		sent := sendAll(limiters, rate, begin, time.Minute)
		if n := maxPerSecond(sent); float64(n) > rate*1.5+8 {
			t.Fatalf("period %d: %d requests in a second", period, n)
		}
		if n := len(sent); float64(n) < minimum {
			t.Errorf("period %d: %d requests in a minute, want %v or more", period, n, minimum)
		}
	}
}
