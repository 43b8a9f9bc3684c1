package shift

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that a run can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "4")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var regions = []string{"a", "b", "c"}

// place sends a request to the first allowed one of the regions that work.
func place(t *Tracker, now time.Time, order []string) string {
	t.Accrue(now, order)
	for _, region := range order {
		if t.Allowed(region) {
			t.Spend(region)
			t.RecordServed(region)
			return region
		}
	}
	return ""
}

// runStep returns the fractions of one step's requests that the regions got.
func runStep(t *Tracker, now time.Time, requests int, order []string) map[string]float64 {
	got := map[string]float64{}
	for range requests {
		if region := place(t, now, order); region != "" {
			got[region] += 1 / float64(requests)
		}
	}
	return got
}

// TestTrafficMovesNoFasterThanItsCap changes what is preferred, what works
// and how much is asked at random, and checks over each minute that no region
// got more than its share of a minute before and the cap.
func TestTrafficMovesNoFasterThanItsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.05, 1).Draw(t, "cap")
		now := time.Unix(1000, 0)
		tracker := NewTracker("a", limit, now)
		var before []map[string]float64
		for range 60 {
			now = now.Add(StepDuration)
			requests := rapid.SampledFrom([]int{0, 1, 10, 1000}).Draw(t, "requests")
			order := rapid.Permutation(regions).Draw(t, "order")
			working := order[:rapid.IntRange(1, len(order)).Draw(t, "working")]
			got := runStep(tracker, now, requests, working)
			shares := map[string]float64{}
			sum := 0.0
			for _, region := range regions {
				shares[region] = tracker.Share(region)
				sum += shares[region]
				// A region may be ahead by one request saved and one begun.
				if most := shares[region] + tracker.step + 2/float64(max(1, requests)); got[region] > most+1e-9 {
					t.Fatalf("%s got %g of a step, want at most %g", region, got[region], most)
				}
			}
			if math.Abs(sum-1) > 1e-6 {
				t.Fatalf("shares add up to %g", sum)
			}
			before = append(before, shares)
			if i := len(before) - 1 - StepsPerMinute; i >= 0 {
				for _, region := range regions {
					if moved := shares[region] - before[i][region]; math.Abs(moved) > limit+1e-6 {
						t.Fatalf("%s moved by %g in a minute, cap %g", region, moved, limit)
					}
				}
			}
		}
	})
}

// TestWorkingRegionsTakeAllTraffic has every region work: the cap then
// refuses nothing, whatever is preferred.
func TestWorkingRegionsTakeAllTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tracker := NewTracker("a", rapid.Float64Range(0.05, 1).Draw(t, "cap"), now)
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if place(tracker, now, rapid.Permutation(regions).Draw(t, "order")) == "" {
				t.Fatal("a request was refused")
			}
		}
	})
}

// TestTrafficGoesAndComesBackTheSameWay fails a region and brings it back.
func TestTrafficGoesAndComesBackTheSameWay(t *testing.T) {
	const limit, requests = 0.25, 1000
	now := time.Unix(1000, 0)
	tracker := NewTracker("a", limit, now)
	travel := func(order ...string) (steps int) {
		for tracker.Share(order[0]) < 0.999 && steps < 1000 {
			now = now.Add(StepDuration)
			runStep(tracker, now, requests, order)
			steps++
		}
		return steps
	}
	there, back := travel("b"), travel("a", "b")
	if least := int(float64(StepsPerMinute) / limit); there < least || back < least || there > least+3 || back > least+3 {
		t.Errorf("moved in %d and back in %d steps, want about %d", there, back, least)
	}
}
