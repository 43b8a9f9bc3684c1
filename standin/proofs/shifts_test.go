package proofs

import (
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/fleet"
)

// TestDrainedRegionShiftsNoFasterThanTheCap drains the upstream of one region
// of a service with a shift cap, and sends many requests far within a minute.
func TestDrainedRegionShiftsNoFasterThanTheCap(t *testing.T) {
	const limit, requests = 0.2, 500
	opts := drainFleet()
	service := fleet.Service("lookups", request.RankLookup, true)
	service.Limits = catalogue.Limits{ShiftPerMinute: limit}
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
	fleet.Eventually(t, "the north answers", func() bool { send(1); return north.Stats().Runs > 0 })
	f.SetUpstreamDrain("lookups-north-1", true)
	f.WaitConverged()
	before := south.Stats().Runs
	reasons := send(requests)
	moved := south.Stats().Runs - before
	if most := int(limit*requests) + 2; moved > most || moved == 0 {
		t.Errorf("%d of %d requests moved to the south, want at most %d and some", moved, requests, most)
	}
	if reasons[request.ReasonShift] == 0 {
		t.Errorf("no request was refused for the shift cap: %v", reasons)
	}
}
