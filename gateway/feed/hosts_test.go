package feed

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/entry"
	"bilberrytiller.example/tiller/coordination/relay"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/protocol/wire"
)

// hostChain is a number of daemons, each the relay of the next. The first two are on
// large hosts.
type hostChain struct {
	members   []relay.Member
	replicas  []*Replica
	selectors []*entry.Selector
	calls     []*wire.ObjectsCall
}

func newHostChain(zones ...string) *hostChain {
	c := &hostChain{}
	var hosts []entry.Host
	for i, zone := range zones {
		capacity := 0.025
		if i < 2 {
			capacity = 0.5
		}
		hosts = append(hosts, entry.Host{ID: fmt.Sprint("d", i), Capacity: capacity})
		c.members = append(c.members, relay.Member{ID: hosts[i].ID, Zone: zone, Region: "r", Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	for i, m := range c.members {
		selector := entry.NewSelector(hosts[i])
		selector.SetHosts(hosts)
		r := New(Settings{Self: m}, &storeClient{fakeStore: newFakeStore()}, nil, (&testFleet{}).failureHooks(m.ID), c.call(i), zerolog.Nop())
		r.failures.hooks.ApplyRegional = func([]upstream.FailureCount) {}
		r.SetMembers(c.members)
		r.SetHostHooks(HostHooks{
			Known: func(now time.Time) ([]entry.Status, bool) {
				selector.Observe(entry.Status{ID: m.ID, Ready: true, LinkUse: 0.3, At: now, Stamp: now.UnixNano()}, now)
				return selector.Statuses(now), selector.Tiered()
			},
			Observe: func(all []entry.Status) {
				for _, st := range all {
					selector.Observe(st, time.Now())
				}
			},
		})
		c.replicas, c.selectors = append(c.replicas, r), append(c.selectors, selector)
	}
	return c
}

func (c *hostChain) call(from int) CallFunc {
	return func(ctx context.Context, addr netip.AddrPort, call *wire.ObjectsCall) (*wire.ObjectsReply, error) {
		call.Wait = 0
		c.calls = append(c.calls, call)
		return c.replicas[from-1].handleCall(ctx, c.members[from].ID, call)
	}
}

// poll makes each daemon call its relay once.
func (c *hostChain) poll() {
	for i := range c.replicas[1:] {
		_ = c.replicas[i+1].pollDaemon(context.Background(), c.members[i].Address, true)
	}
}

// TestStatusesOfLargeHostsReachSmallOnes guards against small hosts that do not learn
// of large ones which are not their relay, and against large ones unknown to the root.
func TestStatusesOfLargeHostsReachSmallOnes(t *testing.T) {
	c := newHostChain("z", "z", "z", "z")
	c.poll()
	c.poll()
	for i, s := range c.selectors {
		if got := s.Select(time.Now()); !slices.Equal(got, []string{"d0", "d1"}) {
			t.Errorf("daemon %d names %v, want both large hosts", i, got)
		}
	}
}

// TestStatusesStayInDataCentre guards against clients that are sent to another data
// centre, and against messages that grow where nothing needs to be exchanged.
func TestStatusesStayInDataCentre(t *testing.T) {
	c := newHostChain("z", "z", "y")
	c.poll()
	if got := c.selectors[2].Select(time.Now()); got != nil {
		t.Errorf("daemon of another data centre names %v", got)
	}
	if last := c.calls[len(c.calls)-1]; last.Hosts != nil {
		t.Errorf("call to another data centre contains %v", last.Hosts)
	}
}
