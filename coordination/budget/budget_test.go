package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 58}

// TestFleetStaysWithinBudget runs random requests and retries at daemons that
// do not communicate. It checks the limit over every window that ends with a
// retry, as users count it, rather than over whole buckets.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 12).Draw(t, "daemons")
		fleet := make([]*Budget, daemons)
		for i := range fleet {
			fleet[i] = New(limits)
		}
		start := time.Unix(1000, 0)
		var requests, retries []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			b := fleet[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.RecordRequest("s", start.Add(at))
				requests = append(requests, at)
			} else if b.AllowRetry("s", daemons, start.Add(at)) {
				retries = append(retries, at)
			}
		}
		for _, end := range retries {
			allowed := limits.Ratio*float64(countInWindow(requests, end)) + limits.Slack
			if got := countInWindow(retries, end); float64(got) > allowed {
				t.Fatalf("%d retries in the window that ends at %s, want at most %.1f", got, end, allowed)
			}
		}
	})
}

func countInWindow(times []time.Duration, end time.Duration) int {
	n := 0
	for _, at := range times {
		if at <= end && at > end-limits.Window {
			n++
		}
	}
	return n
}

func TestBudgetsOfServicesAreIndependent(t *testing.T) {
	b := New(limits)
	now := time.Unix(1000, 0)
	for b.AllowRetry("a", 1, now) {
		continue
	}
	if !b.AllowRetry("b", 1, now) {
		t.Error("service without retries has no budget left")
	}
	if !b.AllowRetry("a", 1, now.Add(2*limits.Window)) {
		t.Error("retries in an old window still count")
	}
}
