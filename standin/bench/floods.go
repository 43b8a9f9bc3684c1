package bench

import (
	"fmt"
	"time"
)

const (
	floodUpstreams = 3
	floodSlots     = 8
	floodWork      = 50 * time.Millisecond
	floodTime      = 6 * time.Second
	floodTimes     = 4
	calmLookups    = 100
	calmPayments   = 50
	leastGoodput   = 0.99
	mostLatency    = 1.5
	leastOfMinimum = 0.95
)

// floodCapacity is what the slots carry, in requests a second.
const floodCapacity = floodUpstreams * floodSlots * float64(time.Second) / float64(floodWork)

// floodReports floods the fleet with four times the reports that it carries.
func floodReports(r *Run) []Row {
	s := newSetup(r, 3, floodUpstreams, floodSlots, floodWork)
	s.warm()
	calm := []Flow{{"lookups", calmLookups}, {"payments", calmPayments}}
	flood := append(calm, Flow{"reports", floodTimes * floodCapacity})
	b := s.baseline()
	baseCalm := open(r, calm, floodTime, b.roundRobin)
	baseFlood := open(r, flood, floodTime, b.roundRobin)
	thisCalm := open(r, calm, floodTime, s.send)
	thisFlood := open(r, flood, floodTime, s.send)
	var rows []Row
	for _, service := range []string{"lookups", "payments"} {
		base, this := compare(baseCalm[service], baseFlood[service]), compare(thisCalm[service], thisFlood[service])
		rows = append(rows, Row{
			Metric:   service + " under a flood of reports 4× the fleet",
			Target:   "goodput ≥ 99% of calm, p99 ≤ 1.5×",
			Baseline: "round robin without ranks: " + base.String(),
			Measured: this.String(),
			Met:      this.goodput >= leastGoodput && this.p99 <= mostLatency,
		})
	}
	return rows
}

// change is what a flood does to a flow. Goodput is the part of its requests
// that is answered, beside that of the calm run.
type change struct {
	goodput, p99 float64
	calm, flood  time.Duration
}

func compare(calm, flood *FlowStats) change {
	c := change{calm: calm.Quantile(99), flood: flood.Quantile(99)}
	c.goodput = flood.share() / calm.share()
	c.p99 = float64(c.flood) / float64(c.calm)
	return c
}

func (t *FlowStats) share() float64 { return float64(t.Done) / float64(max(1, t.Sent)) }

func (c change) String() string {
	return fmt.Sprintf("goodput %.1f%%, p99 %v to %v (%.2f×)", 100*c.goodput, c.calm, c.flood, c.p99)
}

// floodPayments floods the fleet with four times the payments that it
// carries, beside more of the others than their minimum.
func floodPayments(r *Run) []Row {
	s := newSetup(r, 3, floodUpstreams, floodSlots, floodWork)
	s.warm()
	minimum := guaranteed * floodCapacity
	flows := []Flow{{"payments", floodTimes * floodCapacity}, {"lookups", 2 * minimum}, {"reports", 2 * minimum}}
	b := s.baseline()
	base := open(r, flows, floodTime, b.roundRobin)
	this := open(r, flows, floodTime, s.send)
	least := map[string]float64{
		"payments": floodCapacity - 2*minimum, "lookups": minimum, "reports": minimum,
	}
	var rows []Row
	for _, service := range []string{"payments", "lookups", "reports"} {
		part := func(t *FlowStats) float64 { return float64(t.InTime) / floodTime.Seconds() / least[service] }
		rows = append(rows, Row{
			Metric:   fmt.Sprintf("%s under a flood of payments 4× the fleet, of %.0f answers a second", service, least[service]),
			Target:   "≥ 95%",
			Baseline: fmt.Sprintf("round robin without ranks: %.1f%%", 100*part(base[service])),
			Measured: fmt.Sprintf("%.1f%%", 100*part(this[service])),
			Met:      part(this[service]) >= leastOfMinimum,
		})
	}
	return rows
}
