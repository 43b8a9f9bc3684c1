package report

import (
	"testing"
	"time"
)

var now = time.Unix(1_000_000, 0)

func TestLeaseExcludesOtherWorkers(t *testing.T) {
	noneUsable := func(string) bool { return false }
	allUsable := func(string) bool { return true }
	leased := Record{}.WithLease("a", time.Second, now)
	leaseEnd := now.Add(time.Second + LeaseMargin)
	for name, c := range map[string]struct {
		record Record
		worker string
		usable func(string) bool
		now    time.Time
		want   bool
	}{
		"no lease":            {Record{}, "b", allUsable, now, true},
		"lease of another":    {leased, "b", allUsable, now, false},
		"own lease":           {leased, "a", allUsable, now, true},
		"expired lease":       {leased, "b", allUsable, leaseEnd, true},
		"worker not usable":   {leased, "b", noneUsable, now, true},
		"before backoff ends": {leased.AfterFailure(now), "b", allUsable, now, false},
		"after first backoff": {leased.AfterFailure(now), "b", allUsable, now.Add(initialBackoff), true},
		"after 100 failures":  {Record{Attempts: 100}.AfterFailure(now), "b", allUsable, now.Add(maxBackoff), true},
	} {
		if got := c.record.Due(c.worker, c.usable, c.now); got != c.want {
			t.Errorf("%s: Due returned %v", name, got)
		}
	}
}
