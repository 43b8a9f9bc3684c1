package daemon

import (
	"context"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	heartbeatPeriod  = 250 * time.Millisecond
	heartbeatTimeout = time.Second
)

// followHosts keeps the view of the fleet up to date.
func (d *Daemon) followHosts(ctx context.Context) error {
	var hosts []platform.Host
	for ctx.Err() == nil {
		latest, err := d.platform.Hosts(ctx)
		if err == nil {
			hosts = latest
		}
		d.noteListed(hosts)
		d.probe(ctx, hosts)
		sleep(ctx, heartbeatPeriod)
	}
	return nil
}

// probe asks every host who it is and stores the resulting view.
func (d *Daemon) probe(ctx context.Context, hosts []platform.Host) {
	self := d.self
	answers := make(chan membership.Member, len(hosts))
	for _, h := range hosts {
		go func() { answers <- d.probeHost(ctx, h) }()
	}
	members := []membership.Member{self}
	for range hosts {
		if m := <-answers; m.ID != self.ID {
			members = append(members, m)
		}
	}
	d.storeView(members)
	d.metrics.members.Set(int64(len(members)))
}

func (d *Daemon) probeHost(ctx context.Context, h platform.Host) membership.Member {
	m := membership.Member{ID: h.ID, DataCentre: h.DataCentre, Region: h.Region, Peer: h.Peer, Caller: h.Caller, State: membership.Dead}
	if h.ID == d.self.ID {
		return m
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	hello, err := peer.Call[wire.Hello](ctx, d.peers, h.Peer, wire.TypeHello, &wire.Hello{ID: d.self.ID})
	if err != nil {
		return m
	}
	m.Incarnation = hello.Incarnation
	d.repair(ctx, m, hello.Digest)
	m.State = membership.Alive
	if hello.Leaving || h.State == platform.HostLeaving {
		m.State = membership.Leaving
	}
	return m
}

func (d *Daemon) answerHello(context.Context, string, *wire.Hello) (*wire.Hello, error) {
	return &wire.Hello{
		ID:          d.self.ID,
		Incarnation: d.self.Incarnation,
		Leaving:     d.withdrawn(),
		Digest:      d.facts.Digest(),
	}, nil
}
