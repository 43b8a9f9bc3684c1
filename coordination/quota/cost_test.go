package quota

import (
	"fmt"
	"testing"
	"time"
)

// TestCallsOfDaemons guards against a head that answers calls of all daemons of a large
// group, and against calls that are saved at the cost of requests within the quota.
func TestCallsOfDaemons(t *testing.T) {
	for _, c := range []struct {
		daemons, regions int
		mostIdle, most   float64
		leastAdmitted    float64
	}{{74, 3, 100, 500, 0.975}, {300, 3, 70, 450, 0.975}, {600, 12, 100, 500, 0.97}} {
		limits, demand := map[string]Limit{}, map[string]float64{}
		sum := 0.0
		for i := range 79 {
			sum += 1 / float64(i+1)
		}
		for i := range 79 {
			name := fmt.Sprint("o", i)
			demand[name] = 2000 / sum / float64(i+1)
			limits[name] = Limit{demand[name] / 0.62, 5}
		}
		f := newFleet(c.daemons, c.regions, limits, 1)
		f.play(5*time.Second, nil, nil)
		measure := func(demand map[string]float64) (busiest, mean float64) {
			const duration = 8 * time.Second
			for _, n := range f.nodes {
				n.handled = 0
			}
			f.play(duration, demand, f.nodes)
			for _, n := range f.nodes {
				busiest = max(busiest, float64(n.handled)/duration.Seconds())
				mean += float64(n.handled) / duration.Seconds() / float64(c.daemons)
			}
			return busiest, mean
		}
		idle, _ := measure(nil)
		busiest, mean := measure(demand)
		admitted, asked := 0.0, 0.0
		for name := range limits {
			admitted += float64(len(f.admitted[name]))
			asked += float64(f.asked[name])
		}
		t.Logf("%+v: busiest daemon %.0f calls a second idle, %.0f under load, mean %.1f, %.4f admitted", c, idle, busiest, mean, admitted/asked)
		if idle > c.mostIdle || busiest > c.most {
			t.Errorf("%+v: the busiest daemon answers %.0f calls a second idle and %.0f under load", c, idle, busiest)
		}
		if admitted < c.leastAdmitted*asked {
			t.Errorf("%+v: %v of %v requests within the quota admitted", c, admitted, asked)
		}
	}
}
