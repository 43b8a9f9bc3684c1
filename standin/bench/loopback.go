package bench

import "fmt"

const (
	loopbackClients  = 4
	loopbackRequests = 8000
	loopbackSlots    = 64
	maxP50Ratio      = 2.5
	maxP99Ratio      = 3.0
)

// loopback compares a call through one daemon with a direct one.
func loopback(r *Run) []Row {
	s := newSetup(r, 1, 1, loopbackSlots, 0)
	direct := s.baseline()
	s.warm()
	closed(loopbackClients, loopbackRequests/4, "lookups", direct.roundRobin)
	before := closed(loopbackClients, loopbackRequests, "lookups", direct.roundRobin)
	through := closed(loopbackClients, loopbackRequests, "lookups", s.send)
	var rows []Row
	for _, q := range []struct{ percent, most float64 }{{50, maxP50Ratio}, {99, maxP99Ratio}} {
		base, this := before.Quantile(q.percent), through.Quantile(q.percent)
		ratio := float64(this) / float64(base)
		rows = append(rows, Row{
			Metric:   fmt.Sprintf("p%g of an answer through one daemon on loopback", q.percent),
			Target:   fmt.Sprintf("≤ %g× a direct call", q.most),
			Baseline: fmt.Sprintf("%v direct", base),
			Measured: fmt.Sprintf("%v, %.2f×", this, ratio),
			Met:      ratio <= q.most,
		})
	}
	return rows
}
