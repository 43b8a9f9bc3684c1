package gateway

import (
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/routing"
)

// TestOwnStatusIsReported guards against a large host that is named while it is not ready
// or has a full link.
func TestOwnStatusIsReported(t *testing.T) {
	g := newTestGateway(t)
	small := Member{ID: "small", Zone: g.self.Zone, Capacity: 0.01}
	other := Member{ID: "other", Zone: g.self.Zone, Capacity: 0.5}
	g.directory.self.Capacity = 0.5
	g.directory = newDirectory(g.directory.self, &hostLoad{linkMbps: 1})
	g.SetMembers([]Member{g.Self(), small, other})
	if all, tiered := g.HostStatuses(time.Now()); !tiered || len(all) != 1 || all[0].Ready {
		t.Errorf("before a configuration: got statuses %+v, want the own, not ready", all)
	}
	g.ApplyConfiguration(routing.New(1, nil, nil, routing.ClientLimits{}))
	g.ReplaceBackends(nil)
	g.directory.load.add(1e6)
	g.directory.load.measure(time.Second)
	if all, _ := g.HostStatuses(time.Now()); len(all) != 1 || !all[0].Ready || all[0].LinkUse < 1 {
		t.Errorf("with a full link: got statuses %+v, want the own, ready and in full use", all)
	}
}
