package bench

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/fleet"
)

// setup is a fleet whose upstreams each run all services.
type setup struct {
	*fleet.Fleet
	upstreams []string
	clients   []*caller.Caller
	next      atomic.Uint64
}

// guaranteedShare is the fraction of the slots that is guaranteed to each service.
const guaranteedShare = 0.2

func newSetup(r *Run, hosts, upstreams, slots int, work time.Duration) *setup {
	opts := fleet.Options{DataCentres: map[string]string{"north-1": "north"}}
	for range hosts {
		opts.Hosts = append(opts.Hosts, "north-1")
	}
	for name, rank := range map[string]request.Rank{
		"payments": request.RankPayment, "lookups": request.RankLookup, "reports": request.RankReport,
	} {
		s := fleet.Service(name, rank, true)
		s.Class.Guaranteed = guaranteedShare
		s.Class.Deadline = catalogue.Duration(requestTimeout)
		opts.Services = append(opts.Services, s)
	}
	s := &setup{}
	for i := range upstreams {
		name := "shared-" + string(rune('a'+i))
		s.upstreams = append(s.upstreams, name)
		opts.Upstreams = append(opts.Upstreams, fleet.Upstream{
			Name: name, Service: "payments", Services: []string{"lookups", "reports"}, DataCentre: "north-1",
			Options: backend.Options{Slots: slots, Work: work},
		})
	}
	s.Fleet = fleet.Start(r, opts)
	for _, h := range s.Hosts {
		s.clients = append(s.clients, s.Client(h))
	}
	return s
}

// send sends one request, without retries, through the next entry host in
// turn.
func (s *setup) send(ctx context.Context, service string) request.Outcome {
	n := int(s.next.Add(1)) % len(s.Hosts)
	return s.clients[n].RunAt(ctx, s.Hosts[n].CallerAddr.String(), service, "", "", []byte("load"), nil).Outcome
}

func (s *setup) baseline() *baseline {
	var addrs []netip.AddrPort
	for _, name := range s.upstreams {
		addrs = append(addrs, s.UpstreamEntry(name).Address)
	}
	return newBaseline(addrs)
}

// warmUp sends some requests of each service.
func (s *setup) warmUp() {
	for _, service := range []string{"payments", "lookups", "reports"} {
		closedLoop(4, 100, service, s.send)
	}
}

// overSlots returns how many requests arrived at upstreams whose slots were
// all in use.
func (s *setup) overSlots() int {
	sum := 0
	for _, name := range s.upstreams {
		sum += s.Backends[name].Stats().ArrivalsOverSlots
	}
	return sum
}
