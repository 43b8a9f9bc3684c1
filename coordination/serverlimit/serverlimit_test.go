package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is a number of daemons that share a server's limit.
type fleet struct {
	limiters []Limiter
	rate     float64
	random   *rand.Rand
	now      time.Time
	// admitted holds the times of the admitted requests.
	admitted []time.Time
}

func newFleet(daemons int, rate float64, seed uint64) *fleet {
	f := &fleet{limiters: make([]Limiter, daemons), rate: rate, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0)}
	for i := range f.limiters {
		f.limiters[i].Reset(f.now)
	}
	return f
}

// play sends perSecond requests, each to a random daemon, for a while.
func (f *fleet) play(perSecond float64, duration time.Duration) {
	end := f.now.Add(duration)
	for {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		if f.now.After(end) {
			f.now = end
			return
		}
		l := &f.limiters[f.random.IntN(len(f.limiters))]
		if l.Ready(f.rate, len(f.limiters), f.now) && l.Allow(f.rate, len(f.limiters), f.random.Float64(), f.now) {
			f.admitted = append(f.admitted, f.now)
		}
	}
}

// mostIn returns the largest number of admitted requests in any window.
func (f *fleet) mostIn(window time.Duration) int {
	most, first := 0, 0
	for last, at := range f.admitted {
		for at.Sub(f.admitted[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestRushAfterQuietTimeKeepsLimit guards against daemons that each save up a
// request while there is little demand and then send them at the same time.
func TestRushAfterQuietTimeKeepsLimit(t *testing.T) {
	const window = 4 * time.Second
	for _, daemons := range []int{1, 9, 77, 295} {
		for _, rate := range []float64{0, 0.3, 1, 5, 17.8, 120} {
			t.Run(fmt.Sprintf("%d daemons, limit %v", daemons, rate), func(t *testing.T) {
				for seed := range uint64(20) {
					f := newFleet(daemons, rate, seed)
					for range 3 {
						f.play(1, 30*time.Second)
						f.play(50*rate+20, 6*time.Second)
					}
					if n, allowed := f.mostIn(window), 1.5*rate*window.Seconds()+5; float64(n) > allowed {
						t.Errorf("seed %d: %d requests in %s, want at most %v", seed, n, window, allowed)
					}
				}
			})
		}
	}
}

// TestDemandUsesMostOfLimit checks that servers are not left with much less than
// they accept while there is demand at all daemons.
func TestDemandUsesMostOfLimit(t *testing.T) {
	const duration = 60 * time.Second
	for daemons, least := range map[int]float64{1: 0.95, 9: 0.9, 77: 0.65, 295: 0.65} {
		const rate = 17.8
		f := newFleet(daemons, rate, 1)
		f.play(20*float64(daemons), duration)
		if got := float64(len(f.admitted)) / duration.Seconds(); got < least*rate {
			t.Errorf("%d daemons: %.1f requests a second, want at least %.2f of the limit %v", daemons, got, least, rate)
		}
	}
}

// TestWaitEndsWithRequest checks that a caller that returns after Wait finds a
// request saved up.
func TestWaitEndsWithRequest(t *testing.T) {
	const rate, daemons = 18.0, 9
	f := newFleet(daemons, rate, 1)
	l := &f.limiters[0]
	wait := l.Wait(rate, daemons, f.now)
	if wait != 500*time.Millisecond {
		t.Errorf("wait is %s, want 500ms at a share of 2 a second", wait)
	}
	if !l.Allow(rate, daemons, 0, f.now.Add(wait)) {
		t.Error("request after the wait was not admitted")
	}
}
