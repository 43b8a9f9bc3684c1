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

// spreadTimeout bounds sending facts to one peer, and repairing facts with it.
const spreadTimeout = 2 * time.Second

// registerFactHandler registers the function that is called with new and newer
// facts of a kind. It must be called before Run.
func (d *Daemon) registerFactHandler(kind spread.Kind, handler func([]spread.Fact)) {
	d.factHandlers[kind] = handler
}

// publish applies facts here and spreads them through the fleet. It does not
// wait for the neighbours.
func (d *Daemon) publish(facts ...spread.Fact) { d.mergeFacts("", facts) }

// publishAndWait publishes facts and returns when the calls to all neighbours
// have ended, after spreadTimeout at the latest.
func (d *Daemon) publishAndWait(facts ...spread.Fact) { d.mergeFacts("", facts).Wait() }

// mergeFacts stores and handles the facts that are newer than the known ones
// and forwards these to the neighbours, except to the peer with host ID from.
// The WaitGroup it returns is done when all calls to neighbours have ended.
func (d *Daemon) mergeFacts(from string, facts []spread.Fact) *sync.WaitGroup {
	sends := new(sync.WaitGroup)
	newer := d.facts.Merge(facts, time.Now())
	if len(newer) == 0 {
		return sends
	}
	byKind := map[spread.Kind][]spread.Fact{}
	for _, f := range newer {
		byKind[f.ID.Kind] = append(byKind[f.ID.Kind], f)
	}
	for kind, list := range byKind {
		if handler := d.factHandlers[kind]; handler != nil {
			handler(list)
		}
	}
	for _, m := range d.liveNeighbours() {
		if m.ID != from {
			sends.Go(func() { d.sendFacts(m, newer) })
		}
	}
	return sends
}

// liveNeighbours returns the neighbours that are not dead. Facts are forwarded
// to them.
func (d *Daemon) liveNeighbours() []membership.Member {
	var out []membership.Member
	for _, m := range d.roster.neighbours() {
		if m.State != membership.Dead {
			out = append(out, m)
		}
	}
	return out
}

// sendFacts sends facts to a peer in batches. After a failed call it leaves the
// rest to a later repair.
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

// repairFacts exchanges facts with a peer so that both have the newest version
// of each.
func (d *Daemon) repairFacts(ctx context.Context, m membership.Member) {
	d.metrics.factRepairs.Add(1)
	if err := d.exchangeFacts(ctx, m); err != nil {
		d.log.Debug().Str("event", "facts.not-repaired").Str("peer", m.ID).Err(err).Send()
	}
}

// exchangeFacts compares digests with a peer, fetches the facts that are newer
// there, and sends those that are newer here.
func (d *Daemon) exchangeFacts(ctx context.Context, m membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	compare := &wire.Compare{Digests: d.facts.BucketDigests()}
	out, err := peer.Call[wire.Summary](ctx, d.controlClient, m.Peer, wire.TypeCompare, compare)
	if err != nil {
		return err
	}
	missing, surplus := d.facts.Compare(out.Summary)
	for len(missing) > 0 {
		fetched, err := peer.Call[wire.Facts](ctx, d.controlClient, m.Peer, wire.TypeFetch, &wire.Fetch{IDs: missing})
		if err != nil {
			return err
		}
		if len(fetched.Facts) == 0 {
			break
		}
		d.mergeFacts(m.ID, fetched.Facts)
		missing = missing[min(len(fetched.Facts), len(missing)):]
	}
	d.sendFacts(m, surplus)
	return nil
}

// answerFacts merges facts that a peer has sent.
func (d *Daemon) answerFacts(_ context.Context, from string, in *wire.Facts) (*wire.Empty, error) {
	d.mergeFacts(from, in.Facts)
	return &wire.Empty{}, nil
}

// answerCompare returns the versions of the facts in those buckets whose digest
// differs from the peer's.
func (d *Daemon) answerCompare(_ context.Context, _ string, in *wire.Compare) (*wire.Summary, error) {
	return &wire.Summary{Summary: d.facts.DifferingBuckets(in.Digests)}, nil
}

// answerFetch returns the facts that a peer asks for, as many as fit into one
// message. The peer asks again for the rest.
func (d *Daemon) answerFetch(_ context.Context, _ string, in *wire.Fetch) (*wire.Facts, error) {
	facts := d.facts.Fetch(in.IDs)
	if len(facts) == 0 {
		return &wire.Facts{}, nil
	}
	return &wire.Facts{Facts: spread.Batches(facts, wire.MaxFactBytes)[0]}, nil
}
