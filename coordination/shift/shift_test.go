package shift

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// These are defaults: m.Run parses the command line later, so flags given
	// there take precedence.
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var regions = []string{"a", "b", "c"}

// sendRequest sends a request to the first allowed region of order, which
// answers it. It returns that region, or "" if none is allowed.
func sendRequest(t *Tracker, now time.Time, order []string) string {
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

// runStep sends the requests of one step and returns the fraction that each
// region received.
func runStep(t *Tracker, now time.Time, requests int, order []string) map[string]float64 {
	got := map[string]float64{}
	for range requests {
		if region := sendRequest(t, now, order); region != "" {
			got[region] += 1 / float64(requests)
		}
	}
	return got
}

// TestTrafficMovesNoFasterThanItsCap varies the preferred regions, the working
// regions and the load at random. It checks that no region receives more in a
// step than its share and the step's cap, and that no share moves by more than
// the cap within a minute.
func TestTrafficMovesNoFasterThanItsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.05, 1).Draw(t, "cap")
		now := time.Unix(1000, 0)
		tracker := NewTracker("a", limit, now)
		var history []map[string]float64
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
				// A region may exceed this by one request of accumulated
				// credit and one in progress.
				if maxFraction := shares[region] + tracker.maxShift + 2/float64(max(1, requests)); got[region] > maxFraction+1e-9 {
					t.Fatalf("%s received a fraction of %g in a step, want at most %g", region, got[region], maxFraction)
				}
			}
			if math.Abs(sum-1) > 1e-6 {
				t.Fatalf("shares add up to %g, want 1", sum)
			}
			history = append(history, shares)
			if i := len(history) - 1 - StepsPerMinute; i >= 0 {
				for _, region := range regions {
					if moved := shares[region] - history[i][region]; math.Abs(moved) > limit+1e-6 {
						t.Fatalf("share of %s moved by %g in a minute, cap is %g", region, moved, limit)
					}
				}
			}
		}
	})
}

// TestWorkingRegionsTakeAllTraffic checks that the cap refuses no request
// while every region works, whichever regions are preferred.
func TestWorkingRegionsTakeAllTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tracker := NewTracker("a", rapid.Float64Range(0.05, 1).Draw(t, "cap"), now)
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if sendRequest(tracker, now, rapid.Permutation(regions).Draw(t, "order")) == "" {
				t.Fatal("a request was refused")
			}
		}
	})
}

// TestTrafficMovesAndReturnsAtCap fails a region and restores it, and checks
// that traffic moves away and back about as fast as the cap allows.
func TestTrafficMovesAndReturnsAtCap(t *testing.T) {
	const limit, requests = 0.25, 1000
	now := time.Unix(1000, 0)
	tracker := NewTracker("a", limit, now)
	stepsUntilMoved := func(order ...string) (steps int) {
		for tracker.Share(order[0]) < 0.999 && steps < 1000 {
			now = now.Add(StepDuration)
			runStep(tracker, now, requests, order)
			steps++
		}
		return steps
	}
	out, back := stepsUntilMoved("b"), stepsUntilMoved("a", "b")
	if minSteps := int(float64(StepsPerMinute) / limit); out < minSteps || back < minSteps || out > minSteps+3 || back > minSteps+3 {
		t.Errorf("moved in %d and back in %d steps, want about %d", out, back, minSteps)
	}
}

// TestOneRegionIsAllowedWithoutCredit guards against requests that are refused while every
// region works, since credit was lost at its largest (found by -rapid.seed=3241 in
// TestWorkingRegionsTakeAllTraffic), and against a region that goes beyond its cap instead.
func TestOneRegionIsAllowedWithoutCredit(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker("a", 0.24, now)
	tracker.shares = map[string]float64{"a": 0.4, "b": 0.3, "c": 0.3}
	tracker.credits = map[string]float64{"a": -0.9, "b": -0.9, "c": -0.9}
	for range 2 {
		tracker.Accrue(now, regions)
		allowed := ""
		for _, region := range regions {
			if tracker.Allowed(region) {
				allowed += region
			}
		}
		if allowed != "a" && allowed != "b" && allowed != "c" && allowed != "bc" {
			t.Fatalf("regions %q are allowed, want those furthest below their shares", allowed)
		}
		before := tracker.excess(allowed[:1])
		tracker.Spend(allowed[:1])
		if before > 0 {
			t.Errorf("%s is allowed although it received %.2f more than it may", allowed, before)
		}
	}
	tracker.credits["a"] = 0.5
	if tracker.Allowed("b") || tracker.Allowed("c") {
		t.Error("a region without credit is allowed although another has some")
	}
}
