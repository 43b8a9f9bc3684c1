package proofs

import (
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/fleet"
)

// TestShiftCapLimitsTrafficFromDrainedRegion guards against a drained region
// whose whole traffic moves to another region at once. It drains the upstream of
// one region of a service that may shift 20% of its traffic per minute, and sends
// 500 requests in much less than a minute.
func TestShiftCapLimitsTrafficFromDrainedRegion(t *testing.T) {
	const shiftPerMinute, requests = 0.2, 500
	opts := shortTTLFleet()
	service := fleet.Service("lookups", request.RankLookup, true)
	service.Limits = catalogue.Limits{ShiftPerMinute: shiftPerMinute}
	opts.Services[0] = service
	f := fleet.Start(t, opts)
	north, south := f.Backends["lookups-north-1"], f.Backends["lookups-south-1"]
	h := f.Hosts[0]
	send := func(n int) map[request.Reason]int {
		reasons := map[request.Reason]int{}
		for range n {
			_, reason := h.Send("lookups", "shift", 5*time.Second)
			reasons[reason]++
		}
		return reasons
	}
	send(20)
	fleet.Eventually(t, "the upstream in the north serves a request", func() bool { send(1); return north.Stats().Runs > 0 })
	f.SetUpstreamDrain("lookups-north-1", true)
	f.WaitConverged()
	before := south.Stats().Runs
	reasons := send(requests)
	moved := south.Stats().Runs - before
	if most := int(shiftPerMinute*requests) + 2; moved > most || moved == 0 {
		t.Errorf("%d of %d requests moved to the south, want 1 to %d", moved, requests, most)
	}
	if reasons[request.ReasonShift] == 0 {
		t.Errorf("no request was refused for the shift cap: %v", reasons)
	}
}
