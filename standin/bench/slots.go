package bench

import (
	"context"
	"fmt"
	"time"
)

const (
	slotsUpstreams = 3
	slotsEach      = 3
	slotsWork      = 20 * time.Millisecond
	slotsRate      = 320
	slotsTime      = 4 * time.Second
)

// slots counts dispatches beyond the slots at seven tenths of what they carry.
func slots(r *Run) []Row {
	counts := map[string]int{}
	latency := map[string]time.Duration{}
	for _, policy := range []string{"round robin", "two choices", "holders"} {
		s := newSetup(r, 3, slotsUpstreams, slotsEach, slotsWork)
		s.warm()
		b := s.baseline()
		ctx, cancel := context.WithCancel(context.Background())
		go b.followReports(ctx)
		send := map[string]Sender{"round robin": b.roundRobin, "two choices": b.twoChoices, "holders": s.send}[policy]
		before := s.overSlots()
		tally := open(r, []Flow{{"lookups", slotsRate}}, slotsTime, send)["lookups"]
		cancel()
		counts[policy] = s.overSlots() - before
		latency[policy] = tally.Quantile(99)
	}
	return []Row{{
		Metric:   fmt.Sprintf("dispatches beyond %d × %d slots at %d requests a second", slotsUpstreams, slotsEach, slotsRate),
		Target:   "0",
		Baseline: fmt.Sprintf("round robin %d (p99 %v); two choices on reports %d (p99 %v)", counts["round robin"], latency["round robin"], counts["two choices"], latency["two choices"]),
		Measured: fmt.Sprintf("%d (p99 %v)", counts["holders"], latency["holders"]),
		Met:      counts["holders"] == 0,
	}}
}
