package coldrate

import (
	"math/rand/v2"
	"testing"
	"time"
)

// play has every daemon send as much as it may for a time.
func play(gates []Limiter, rate float64, begin time.Time, length time.Duration) (sent []time.Duration) {
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		for i := range gates {
			if gates[i].Allow(rate, len(gates), begin.Add(at)) {
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// mostInASecond returns the largest number of requests in any second.
func mostInASecond(sent []time.Duration) int {
	most, first := 0, 0
	for i, end := range sent {
		for sent[first] <= end-time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestFleetKeepsAColdServersRate has every daemon send as much as it may and
// checks each second against the users' bound of 1.5 times the rate plus 5.
func TestFleetKeepsAColdServersRate(t *testing.T) {
	const rate = 22.0
	for _, daemons := range []int{1, 9, 16} {
		sent := play(make([]Limiter, daemons), rate, time.Unix(1000, 0), 5*time.Second)
		if len(sent) == 0 {
			t.Fatalf("%d daemons: a cold server gets nothing", daemons)
		}
		if n := mostInASecond(sent); float64(n) > rate*1.5+5 {
			t.Fatalf("%d daemons: %d requests in a second", daemons, n)
		}
	}
}

// TestLargeFleetKeepsAColdServersRate has 77 daemons send to a server that is
// cold again and again for a minute, within the bound of 1.5 times the rate plus
// 8.
func TestLargeFleetKeepsAColdServersRate(t *testing.T) {
	const (
		rate  = 3.9
		least = 0.7 * rate * 60
	)
	random := rand.New(rand.NewPCG(1, 2))
	gates := make([]Limiter, 77)
	for period := range 20 {
		begin := time.Unix(1000, 0).Add(time.Duration(period) * 2 * time.Minute)
		for i := range gates {
			gates[i].Reset(random.Float64(), begin)
		}
		sent := play(gates, rate, begin, time.Minute)
		if n := mostInASecond(sent); float64(n) > rate*1.5+8 {
			t.Fatalf("period %d: %d requests in a second", period, n)
		}
		if n := len(sent); float64(n) < least {
			t.Errorf("period %d: %d requests in a minute, want %v or more", period, n, least)
		}
	}
}
