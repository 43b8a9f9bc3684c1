package bench

import (
	"context"
	"fmt"
	"time"
)

const (
	slotsUpstreams   = 3
	slotsPerUpstream = 3
	slotsWork        = 20 * time.Millisecond
	slotsRate        = 320
	slotsDuration    = 4 * time.Second
)

// slots counts the requests that arrive at upstreams whose slots are all in
// use, at 320 requests per second of the 450 that the slots can handle (71%).
func slots(r *Run) []Row {
	counts := map[string]int{}
	latency := map[string]time.Duration{}
	for _, policy := range []string{"round robin", "two choices", "holders"} {
		s := newSetup(r, 3, slotsUpstreams, slotsPerUpstream, slotsWork)
		s.warmUp()
		b := s.baseline()
		ctx, cancel := context.WithCancel(context.Background())
		go b.pollLoads(ctx)
		send := map[string]Sender{"round robin": b.roundRobin, "two choices": b.twoChoices, "holders": s.send}[policy]
		before := s.overSlots()
		stats := openLoop(r, []Flow{{"lookups", slotsRate}}, slotsDuration, send)["lookups"]
		cancel()
		counts[policy] = s.overSlots() - before
		latency[policy] = stats.Quantile(99)
	}
	return []Row{{
		Metric:   fmt.Sprintf("dispatches beyond %d × %d slots at %d requests/s", slotsUpstreams, slotsPerUpstream, slotsRate),
		Target:   "0",
		Baseline: fmt.Sprintf("round robin %d (p99 %v); two choices on load reports %d (p99 %v)", counts["round robin"], latency["round robin"], counts["two choices"], latency["two choices"]),
		Measured: fmt.Sprintf("%d (p99 %v)", counts["holders"], latency["holders"]),
		Met:      counts["holders"] == 0,
	}}
}
