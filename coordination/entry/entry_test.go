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
		{"only one host", []float64{0.5}, nil},
	} {
		s := NewSelector(Host{"h0", c.capacities[0]})
		s.SetHosts(dataCentre(c.capacities...))
		if !slices.Equal(s.large, c.want) || s.Tiered() != (c.want != nil) {
			t.Errorf("%s: large hosts are %v, want %v", c.name, s.large, c.want)
		}
	}
}

// TestDeadHostIsNotNamed guards against answers that name a host whose process has
// ended.
func TestDeadHostIsNotNamed(t *testing.T) {
	s := mixedSelector()
	if got := s.Select(now); got != nil {
		t.Errorf("named %v before any was heard of", got)
	}
	s.Observe(Status{ID: "h0", Ready: true, At: now})
	s.Observe(Status{ID: "h1", Ready: true, At: now.Add(time.Second)})
	if got := s.Select(now.Add(statusTTL)); !slices.Equal(got, []string{"h0", "h1"}) {
		t.Errorf("named %v, want both large hosts", got)
	}
	if got := s.Select(now.Add(statusTTL + 1)); !slices.Equal(got, []string{"h1"}) {
		t.Errorf("named %v, want the one that was heard of in time", got)
	}
}

// TestStoppingHostIsNotNamed guards against a late report from before a stop.
func TestStoppingHostIsNotNamed(t *testing.T) {
	s := mixedSelector()
	s.Observe(Status{ID: "h0", Ready: false, At: now.Add(time.Millisecond)})
	s.Observe(Status{ID: "h0", Ready: true, At: now})
	if got := s.Select(now.Add(time.Millisecond)); got != nil {
		t.Errorf("named %v, which is stopping", got)
	}
}

// TestOverloadedHostIsNotNamed guards against large hosts that get all requests of
// a data centre when they cannot carry them, and against answers that alternate.
func TestOverloadedHostIsNotNamed(t *testing.T) {
	s := mixedSelector()
	for i, c := range []struct {
		utilisation float64
		named       bool
	}{{0.8, true}, {0.9, false}, {0.7, false}, {0.5, true}, {0.7, true}} {
		at := now.Add(time.Duration(i) * time.Millisecond)
		s.Observe(Status{ID: "h0", Ready: true, Utilisation: c.utilisation, At: at})
		if named := s.Select(at) != nil; named != c.named {
			t.Errorf("step %d, utilisation %v: named is %t, want %t", i, c.utilisation, named, c.named)
		}
	}
}

func TestStatusOfHostThatLeftIsForgotten(t *testing.T) {
	s := mixedSelector()
	s.Observe(Status{ID: "h0", Ready: true, At: now})
	s.Observe(Status{ID: "h4", Ready: true, At: now})
	s.SetHosts(dataCentre(0, 0.5, 0.025)[1:])
	if got := s.Statuses(now); got != nil {
		t.Errorf("statuses are %v after the host has left", got)
	}
}
