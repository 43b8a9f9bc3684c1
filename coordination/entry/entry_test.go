package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

// dataCentre returns hosts of the given capacities, named h0, h1 and so on.
func dataCentre(capacities ...float64) []Host {
	var all []Host
	for i, c := range capacities {
		all = append(all, Host{fmt.Sprint("h", i), c})
	}
	return all
}

func mixedSelector() *Selector {
	s := NewSelector(Host{"h2", 0.025})
	s.SetHosts(dataCentre(0.5, 0.5, 0.025, 0.025, 0.025, 0.025))
	return s
}

func TestLargeHostsHaveMostOfTheCapacity(t *testing.T) {
	for _, c := range []struct {
		name       string
		capacities []float64
		want       []string
	}{
		{"alike", []float64{0.32, 0.32, 0.32}, nil},
		{"a little larger", []float64{0.5, 0.2, 0.2}, nil},
		{"one large among many", []float64{0.4, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, nil},
		{"two large", []float64{0.1, 0.5, 0.1, 0.4, 0.1}, []string{"h1", "h3"}},
		{"one has most of the capacity", []float64{0.5, 0.025, 0.025}, nil},
		{"more large ones than are named", []float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.1}, nil},
		{"a host without a capacity", []float64{0.32, 0.32, 0.32, 0}, nil},
		{"only one host", []float64{0.5}, nil},
	} {
		s := NewSelector(Host{"h0", c.capacities[0]})
		s.SetHosts(dataCentre(c.capacities...))
		if !slices.Equal(s.large, c.want) || s.Tiered() != (c.want != nil) {
			t.Errorf("%s: large hosts are %v, want %v", c.name, s.large, c.want)
		}
	}
}

// ready returns the status of a ready host as of a time, with its link partly in use.
func ready(id string, linkUse float64, at time.Time) Status {
	return Status{ID: id, Ready: true, LinkUse: linkUse, At: at, Stamp: at.UnixNano()}
}

// TestDeadHostIsNotNamed guards against answers that name a host whose process has
// ended.
func TestDeadHostIsNotNamed(t *testing.T) {
	s := mixedSelector()
	if got := s.Select(now); got != nil {
		t.Errorf("named %v before any was heard of", got)
	}
	s.Observe(ready("h0", 0, now), now)
	s.Observe(ready("h1", 0, now.Add(time.Second)), now.Add(time.Second))
	if got := s.Select(now.Add(statusTTL)); !slices.Equal(got, []string{"h0", "h1"}) {
		t.Errorf("named %v, want both large hosts", got)
	}
	if got := s.Select(now.Add(statusTTL + 1)); !slices.Equal(got, []string{"h1"}) {
		t.Errorf("named %v, want the one that was heard of in time", got)
	}
}

// TestStatusPassedInCircleGrowsOld guards against two daemons that pass the last status
// of a dead host to each other, each time without the time on the way.
func TestStatusPassedInCircleGrowsOld(t *testing.T) {
	a, b := mixedSelector(), mixedSelector()
	a.Observe(ready("h0", 0, now), now)
	const onTheWay = 150 * time.Millisecond
	for at := now; at.Before(now.Add(2 * statusTTL)); at = at.Add(300 * time.Millisecond) {
		for _, st := range a.Statuses(at) {
			st.At = st.At.Add(onTheWay)
			b.Observe(st, at.Add(onTheWay))
		}
		a, b = b, a
	}
	if got := a.Select(now.Add(statusTTL + 2*onTheWay)); got != nil {
		t.Errorf("named %v, which was last heard of long ago", got)
	}
}

// TestStoppingHostIsNotNamed guards against a late report from before a stop.
func TestStoppingHostIsNotNamed(t *testing.T) {
	s := mixedSelector()
	stopping := ready("h0", 0, now.Add(time.Millisecond))
	stopping.Ready = false
	s.Observe(stopping, now)
	s.Observe(ready("h0", 0, now), now)
	if got := s.Select(now.Add(time.Millisecond)); got != nil {
		t.Errorf("named %v, which is stopping", got)
	}
}

// TestHostWhoseClockWasSetBackIsNamed guards against a host that is never named again.
func TestHostWhoseClockWasSetBackIsNamed(t *testing.T) {
	s := mixedSelector()
	s.Observe(ready("h0", 0, now), now)
	later := now.Add(maxClockStep + time.Second)
	st := ready("h0", 0, later)
	st.Stamp = now.Add(-time.Hour).UnixNano()
	s.Observe(st, later)
	if got := s.Select(later); !slices.Equal(got, []string{"h0"}) {
		t.Errorf("named %v, want the host", got)
	}
}

// TestOverloadedHostIsNotNamed guards against large hosts that get all requests of
// a data centre when their links are full, and against answers that alternate since
// their load falls as soon as they are not named.
func TestOverloadedHostIsNotNamed(t *testing.T) {
	s := mixedSelector()
	changes, wasNamed := 0, true
	for at := now; at.Before(now.Add(2 * time.Minute)); at = at.Add(100 * time.Millisecond) {
		linkUse := 0.1
		if wasNamed {
			linkUse = 0.9
		}
		s.Observe(ready("h0", linkUse, at), at)
		if named := s.Select(at) != nil; named != wasNamed {
			changes, wasNamed = changes+1, named
		}
	}
	// Away for 10, 20, 40 and 80 s, and back in between.
	if changes < 2 || changes > 8 {
		t.Errorf("the answer changed %d times in two minutes, want a few times", changes)
	}
	if a := (absence{active: true, since: now, length: minAbsence}).next(0.7, now.Add(time.Hour)); !a.active {
		t.Error("host is named again while its link is still in use")
	}
}

func TestStatusOfHostThatLeftIsForgotten(t *testing.T) {
	s := mixedSelector()
	s.Observe(ready("h0", 0, now), now)
	s.Observe(ready("h4", 0, now), now)
	s.SetHosts(dataCentre(0, 0.5, 0.025)[1:])
	if got := s.Statuses(now); got != nil {
		t.Errorf("statuses are %v after the host has left", got)
	}
}
