package daemon

import (
	"context"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

const spreadTimeout = 2 * time.Second

// onFact names what is done with a newer fact of a kind. It must be called
// before Run.
func (d *Daemon) onFact(kind spread.Kind, take func([]spread.Fact)) { d.takers[kind] = take }

// publish makes facts known to the whole fleet.
func (d *Daemon) publish(facts ...spread.Fact) { d.learn("", facts) }

// learn takes facts over and passes those on that were new to this daemon.
// The peer they came from is named by its host.
func (d *Daemon) learn(from string, facts []spread.Fact) {
	newer := d.facts.Merge(facts, time.Now())
	if len(newer) == 0 {
		return
	}
	byKind := map[spread.Kind][]spread.Fact{}
	for _, f := range newer {
		byKind[f.ID.Kind] = append(byKind[f.ID.Kind], f)
	}
	for kind, list := range byKind {
		if take := d.takers[kind]; take != nil {
			take(list)
		}
	}
	for _, m := range d.neighbours() {
		if m.ID != from {
			go d.tell(m, newer)
		}
	}
}

// neighbours are the members that this daemon spreads facts to.
func (d *Daemon) neighbours() []membership.Member {
	var out []membership.Member
	for _, m := range d.view.Load().Members() {
		if m.ID != d.self.ID && m.State != membership.Dead {
			out = append(out, m)
		}
	}
	return out
}

func (d *Daemon) tell(m membership.Member, facts []spread.Fact) {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	_, err := peer.Call[wire.Empty](ctx, d.peers, m.Peer, wire.TypeFacts, &wire.Facts{Facts: facts})
	if err != nil {
		d.log.Debug().Str("event", "facts.not-told").Str("peer", m.ID).Err(err).Send()
	}
}

// repair takes over what a peer knows, if its digest differs.
func (d *Daemon) repair(ctx context.Context, m membership.Member, digest uint64) {
	if digest == d.facts.Digest() {
		return
	}
	out, err := peer.Call[wire.Facts](ctx, d.peers, m.Peer, wire.TypePull, &wire.Empty{})
	if err != nil {
		d.log.Debug().Str("event", "facts.not-pulled").Str("peer", m.ID).Err(err).Send()
		return
	}
	d.learn(m.ID, out.Facts)
}

func (d *Daemon) answerFacts(_ context.Context, from string, in *wire.Facts) (*wire.Empty, error) {
	d.learn(from, in.Facts)
	return &wire.Empty{}, nil
}

func (d *Daemon) answerPull(context.Context, string, *wire.Empty) (*wire.Facts, error) {
	return &wire.Facts{Facts: d.facts.All()}, nil
}
