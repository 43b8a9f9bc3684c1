package bench

import (
	"fmt"
	"time"
)

const (
	floodUpstreams    = 3
	floodSlots        = 8
	floodWork         = 50 * time.Millisecond
	floodDuration     = 6 * time.Second
	floodFactor       = 4
	normalLookupRate  = 100 // requests per second
	normalPaymentRate = 50  // requests per second
	minGoodputRatio   = 0.99
	maxFloodP99Ratio  = 1.5
	minExpectedShare  = 0.95
)

// floodCapacity is the number of requests per second that the slots can
// handle.
const floodCapacity = floodUpstreams * floodSlots * float64(time.Second) / float64(floodWork)

// floodReports sends four times the capacity of the fleet in reports, and
// compares lookups and payments with a run without the reports.
func floodReports(r *Run) []Row {
	s := newSetup(r, 3, floodUpstreams, floodSlots, floodWork)
	s.warmUp()
	normal := []Flow{{"lookups", normalLookupRate}, {"payments", normalPaymentRate}}
	flood := append(normal, Flow{"reports", floodFactor * floodCapacity})
	b := s.baseline()
	baseNormal := openLoop(r, normal, floodDuration, b.roundRobin)
	baseFlood := openLoop(r, flood, floodDuration, b.roundRobin)
	thisNormal := openLoop(r, normal, floodDuration, s.send)
	thisFlood := openLoop(r, flood, floodDuration, s.send)
	var rows []Row
	for _, service := range []string{"lookups", "payments"} {
		base, this := compare(baseNormal[service], baseFlood[service]), compare(thisNormal[service], thisFlood[service])
		rows = append(rows, Row{
			Metric:   service + " under a flood of reports 4× the fleet",
			Target:   "goodput ≥ 99% of that without the flood, p99 ≤ 1.5×",
			Baseline: "round robin without ranks: " + base.String(),
			Measured: this.String(),
			Met:      this.goodputRatio >= minGoodputRatio && this.p99Ratio <= maxFloodP99Ratio,
		})
	}
	return rows
}

// floodEffect is the effect of a flood on a flow. The goodput ratio is the
// fraction of requests answered during the flood, divided by that of the run
// without it.
type floodEffect struct {
	goodputRatio, p99Ratio float64
	normalP99, floodP99    time.Duration
}

func compare(normal, flood *FlowStats) floodEffect {
	e := floodEffect{normalP99: normal.Quantile(99), floodP99: flood.Quantile(99)}
	e.goodputRatio = flood.successRatio() / normal.successRatio()
	e.p99Ratio = float64(e.floodP99) / float64(e.normalP99)
	return e
}

func (s *FlowStats) successRatio() float64 { return float64(s.Done) / float64(max(1, s.Sent)) }

func (e floodEffect) String() string {
	return fmt.Sprintf("goodput %.1f%%, p99 %v to %v (%.2f×)", 100*e.goodputRatio, e.normalP99, e.floodP99, e.p99Ratio)
}

// floodPayments sends four times the capacity of the fleet in payments, with
// lookups and reports at twice their guaranteed share of the capacity.
func floodPayments(r *Run) []Row {
	s := newSetup(r, 3, floodUpstreams, floodSlots, floodWork)
	s.warmUp()
	minimum := guaranteedShare * floodCapacity
	flows := []Flow{{"payments", floodFactor * floodCapacity}, {"lookups", 2 * minimum}, {"reports", 2 * minimum}}
	b := s.baseline()
	base := openLoop(r, flows, floodDuration, b.roundRobin)
	this := openLoop(r, flows, floodDuration, s.send)
	expectedRate := map[string]float64{
		"payments": floodCapacity - 2*minimum, "lookups": minimum, "reports": minimum,
	}
	var rows []Row
	for _, service := range []string{"payments", "lookups", "reports"} {
		fraction := func(stats *FlowStats) float64 {
			return float64(stats.InTime) / floodDuration.Seconds() / expectedRate[service]
		}
		rows = append(rows, Row{
			Metric:   fmt.Sprintf("%s under a flood of payments 4× the fleet, share of %.0f answers/s", service, expectedRate[service]),
			Target:   "≥ 95%",
			Baseline: fmt.Sprintf("round robin without ranks: %.1f%%", 100*fraction(base[service])),
			Measured: fmt.Sprintf("%.1f%%", 100*fraction(this[service])),
			Met:      fraction(this[service]) >= minExpectedShare,
		})
	}
	return rows
}
