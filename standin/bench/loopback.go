package bench

import "fmt"

const (
	loopbackClients  = 4
	loopbackRequests = 8000
	loopbackSlots    = 64
	maxP50Ratio      = 2.5
	maxP99Ratio      = 3.0
)

// loopback compares the latency of a call through one daemon with that of a
// direct call.
func loopback(r *Run) []Row {
	s := newSetup(r, 1, 1, loopbackSlots, 0)
	direct := s.baseline()
	s.warmUp()
	closedLoop(loopbackClients, loopbackRequests/4, "lookups", direct.roundRobin)
	before := closedLoop(loopbackClients, loopbackRequests, "lookups", direct.roundRobin)
	through := closedLoop(loopbackClients, loopbackRequests, "lookups", s.send)
	var rows []Row
	for _, q := range []struct{ percent, maxRatio float64 }{{50, maxP50Ratio}, {99, maxP99Ratio}} {
		base, this := before.Quantile(q.percent), through.Quantile(q.percent)
		ratio := float64(this) / float64(base)
		rows = append(rows, Row{
			Metric:   fmt.Sprintf("p%g latency through one daemon on loopback", q.percent),
			Target:   fmt.Sprintf("≤ %g× a direct call", q.maxRatio),
			Baseline: fmt.Sprintf("%v direct", base),
			Measured: fmt.Sprintf("%v, %.2f×", this, ratio),
			Met:      ratio <= q.maxRatio,
		})
	}
	return rows
}
