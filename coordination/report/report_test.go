package report

import (
	"testing"
	"time"
)

var now = time.Unix(1_000_000, 0)

func TestLeaseKeepsOtherWorkersAway(t *testing.T) {
	gone := func(string) bool { return false }
	here := func(string) bool { return true }
	leased := Record{}.WithLease("a", time.Second, now)
	end := now.Add(time.Second + LeaseMargin)
	for name, c := range map[string]struct {
		record Record
		worker string
		usable func(string) bool
		now    time.Time
		want   bool
	}{
		"no lease":             {Record{}, "b", here, now, true},
		"another's lease":      {leased, "b", here, now, false},
		"its own lease":        {leased, "a", here, now, true},
		"lease has run out":    {leased, "b", here, end, true},
		"worker is gone":       {leased, "b", gone, now, true},
		"failed just now":      {leased.AfterFailure(now), "b", here, now, false},
		"failed a while ago":   {leased.AfterFailure(now), "b", here, now.Add(firstPause), true},
		"failed 100 times ago": {Record{Attempts: 100}.AfterFailure(now), "b", here, now.Add(maxPause), true},
	} {
		if got := c.record.Due(c.worker, c.usable, c.now); got != c.want {
			t.Errorf("%s: due is %v", name, got)
		}
	}
}
