package quota

import (
	"fmt"
	"testing"
	"time"
)

// TestUnevenDemandUsesQuota guards against quotas that are left unused where demand
// differs between daemons, and against refusals of demand within the quota.
func TestUnevenDemandUsesQuota(t *testing.T) {
	for _, c := range []struct {
		daemons, regions, busy int
		rate, burst, demand    float64
		least                  float64
	}{
		{9, 1, 2, 100, 10, 0.62, 0.99}, {9, 1, 2, 100, 10, 5, 0.9},
		{77, 3, 2, 850, 100, 0.62, 0.99}, {77, 3, 77, 850, 100, 0.62, 0.99}, {77, 3, 77, 850, 100, 5, 0.9},
		{77, 3, 77, 3, 1, 0.62, 0.99}, {77, 3, 2, 3, 1, 0.62, 0.99}, {77, 3, 77, 3, 0, 7, 0.9},
		{77, 3, 77, 30, 5, 0.62, 0.99}, {77, 3, 77, 30, 5, 4, 0.9},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			l := Limit{c.rate, c.burst}
			f := newFleet(c.daemons, c.regions, map[string]Limit{"shop": l}, 1)
			f.play(15*time.Second, nil, nil)
			const duration = 20 * time.Second
			f.play(duration, map[string]float64{"shop": c.rate * c.demand}, f.nodes[:c.busy])
			admitted, owed := float64(len(f.admitted["shop"])), min(float64(f.asked["shop"]), c.rate*duration.Seconds())
			t.Logf("%v of %v owed admitted, %d asked, excess %v", admitted, owed, f.asked["shop"], f.excess("shop", l, time.Time{}))
			if admitted < c.least*owed {
				t.Errorf("%v requests admitted, want at least %v of the %v within the quota", admitted, c.least, owed)
			}
			if e := f.excess("shop", l, time.Time{}); e > 0 {
				t.Errorf("quota exceeded by %v requests", e)
			}
		})
	}
}
