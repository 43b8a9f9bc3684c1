package gateway

import (
	"slices"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/entry"
	"bilberrytiller.example/tiller/state/routing"
)

// TestDirectoryNamesLargeHosts guards against a small host that keeps clients while
// large hosts of its data centre are alive, and against one that names hosts of another
// data centre or none at all.
func TestDirectoryNamesLargeHosts(t *testing.T) {
	g := newTestGateway(t)
	g.ApplyConfiguration(routing.New(1, nil, nil, routing.ClientLimits{}))
	g.ReplaceBackends(nil)
	member := func(id, zone, address string, capacity float64) Member {
		return Member{ID: id, Zone: zone, ClientAddress: address, Capacity: capacity}
	}
	g.SetMembers([]Member{
		g.Self(), member("large-1", "n1", "10.0.0.1:1", 0.5), member("large-2", "n1", "10.0.0.2:1", 0.5), member("far", "n2", "10.0.0.3:1", 0.5),
	})
	named := func() []string { addresses, _ := g.Resolve(); return addresses }
	if got := named(); !slices.Equal(got, []string{g.self.ClientAddress}) {
		t.Errorf("named %v before a large host was heard of, want only the own", got)
	}
	now := time.Now()
	g.ObserveHosts([]entry.Status{{ID: "large-1", Ready: true, At: now, Stamp: 1}, {ID: "large-2", Ready: true, At: now, Stamp: 1}, {ID: "far", Ready: true, At: now, Stamp: 1}})
	if got := named(); !slices.Equal(got, []string{"10.0.0.1:1", "10.0.0.2:1"}) {
		t.Errorf("named %v, want the large hosts of the data centre", got)
	}
	g.ObserveHosts([]entry.Status{{ID: "large-1", At: now.Add(time.Millisecond), Stamp: 2}})
	if got := named(); !slices.Equal(got, []string{"10.0.0.2:1"}) {
		t.Errorf("named %v, want the large host that is not stopping", got)
	}
}

// TestLinkUtilisationIsMeasured guards against a host that is named although its link
// is full.
func TestLinkUtilisationIsMeasured(t *testing.T) {
	l := &hostLoad{linkMbps: 10}
	l.add(625_000 - headBytes)
	l.measure(500 * time.Millisecond)
	if got := l.utilisation(); got != 1 {
		t.Errorf("utilisation is %v after 5 Mbit in half a second on a link of 10 Mbit/s, want 1", got)
	}
	l.measure(500 * time.Millisecond)
	if got := l.utilisation(); got != 0 {
		t.Errorf("utilisation is %v after an interval without traffic, want 0", got)
	}
}
