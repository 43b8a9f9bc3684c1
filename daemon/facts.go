package daemon

import (
	"context"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

const spreadTimeout = 2 * time.Second

// registerFactHandler names what is done with a newer fact of a kind. It must be called
// before Run.
func (d *Daemon) registerFactHandler(kind spread.Kind, take func([]spread.Fact)) {
	d.factHandlers[kind] = take
}

// publish makes facts known to the whole fleet.
func (d *Daemon) publish(facts ...spread.Fact) { d.mergeFacts("", facts) }

// publishAndWait makes facts known and returns when the neighbours know them, or
// after spreadTimeout.
func (d *Daemon) publishAndWait(facts ...spread.Fact) { d.mergeFacts("", facts).Wait() }

// mergeFacts takes facts over and passes those on that were new to this daemon.
// The peer they came from is named by its host. What it returns waits for the
// neighbours to be told.
func (d *Daemon) mergeFacts(from string, facts []spread.Fact) *sync.WaitGroup {
	told := new(sync.WaitGroup)
	newer := d.facts.Merge(facts, time.Now())
	if len(newer) == 0 {
		return told
	}
	byKind := map[spread.Kind][]spread.Fact{}
	for _, f := range newer {
		byKind[f.ID.Kind] = append(byKind[f.ID.Kind], f)
	}
	for kind, list := range byKind {
		if take := d.factHandlers[kind]; take != nil {
			take(list)
		}
	}
	for _, m := range d.liveNeighbours() {
		if m.ID != from {
			told.Go(func() { d.sendFacts(m, newer) })
		}
	}
	return told
}

// liveNeighbours are the members that this daemon spreads facts to.
func (d *Daemon) liveNeighbours() []membership.Member {
	var out []membership.Member
	for _, m := range d.roster.neighbours() {
		if m.State != membership.Dead {
			out = append(out, m)
		}
	}
	return out
}

func (d *Daemon) sendFacts(m membership.Member, facts []spread.Fact) {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	for _, batch := range spread.Batches(facts, wire.MaxFactBytes) {
		_, err := peer.Call[wire.Empty](ctx, d.controlClient, m.Peer, wire.TypeFacts, &wire.Facts{Facts: batch})
		if err != nil {
			d.log.Debug().Str("event", "facts.not-told").Str("peer", m.ID).Err(err).Send()
			return
		}
	}
}

// repairFacts exchanges with a peer what either of the two lacks.
func (d *Daemon) repairFacts(ctx context.Context, m membership.Member) {
	d.metrics.factRepairs.Add(1)
	if err := d.exchangeFacts(ctx, m); err != nil {
		d.log.Debug().Str("event", "facts.not-repaired").Str("peer", m.ID).Err(err).Send()
	}
}

func (d *Daemon) exchangeFacts(ctx context.Context, m membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	compare := &wire.Compare{Digests: d.facts.BucketDigests()}
	out, err := peer.Call[wire.Summary](ctx, d.controlClient, m.Peer, wire.TypeCompare, compare)
	if err != nil {
		return err
	}
	lacking, surplus := d.facts.Compare(out.Summary)
	for len(lacking) > 0 {
		fetched, err := peer.Call[wire.Facts](ctx, d.controlClient, m.Peer, wire.TypeFetch, &wire.Fetch{IDs: lacking})
		if err != nil {
			return err
		}
		if len(fetched.Facts) == 0 {
			break
		}
		d.mergeFacts(m.ID, fetched.Facts)
		lacking = lacking[min(len(fetched.Facts), len(lacking)):]
	}
	d.sendFacts(m, surplus)
	return nil
}

func (d *Daemon) answerFacts(_ context.Context, from string, in *wire.Facts) (*wire.Empty, error) {
	d.mergeFacts(from, in.Facts)
	return &wire.Empty{}, nil
}

func (d *Daemon) answerCompare(_ context.Context, _ string, in *wire.Compare) (*wire.Summary, error) {
	return &wire.Summary{Summary: d.facts.DifferingBuckets(in.Digests)}, nil
}

func (d *Daemon) answerFetch(_ context.Context, _ string, in *wire.Fetch) (*wire.Facts, error) {
	facts := d.facts.Fetch(in.IDs)
	if len(facts) == 0 {
		return &wire.Facts{}, nil
	}
	return &wire.Facts{Facts: spread.Batches(facts, wire.MaxFactBytes)[0]}, nil
}
