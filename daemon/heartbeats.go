package daemon

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	heartbeatPeriod  = 250 * time.Millisecond
	heartbeatTimeout = 400 * time.Millisecond
	// purgePeriod is how often expired facts, keys and handovers are purged.
	purgePeriod = 10 * time.Second
	// mismatchesBeforeRepair is the number of consecutive heartbeats with a
	// different digest after which facts are repaired. One mismatch is not
	// enough, since digests differ briefly while facts are in transit.
	mismatchesBeforeRepair = 2
)

// runHeartbeats exchanges heartbeats with the neighbours until ctx ends.
func (d *Daemon) runHeartbeats(ctx context.Context) error {
	d.updateTracker(func(t *membership.Tracker) []membership.Record { return []membership.Record{t.Self()} })
	for ctx.Err() == nil {
		d.heartbeatRound(ctx)
		sleep.For(ctx, heartbeatPeriod)
	}
	return nil
}

// heartbeatRound updates the states of members that have been silent for too
// long and starts a heartbeat to each neighbour.
func (d *Daemon) heartbeatRound(ctx context.Context) {
	now := time.Now()
	d.updateTracker(func(t *membership.Tracker) []membership.Record {
		out := t.Tick(now)
		if d.leaving.Load() && t.Self().State != membership.Leaving {
			out = append(out, t.Leave())
		}
		return out
	})
	if now.Sub(d.roster.lastPurge) > purgePeriod {
		d.roster.lastPurge = now
		d.facts.Purge(now)
		d.keys.Purge(now)
		d.handoverReceiver.Purge(now)
	}
	for _, m := range d.roster.neighbours() {
		d.startHeartbeat(ctx, m)
	}
	if !d.joined() {
		d.contactSeeds(ctx)
	}
}

// contactSeeds starts a heartbeat to each seed peer of the settings.
func (d *Daemon) contactSeeds(ctx context.Context) {
	for _, seed := range d.settings.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err == nil && addr != d.self.Peer {
			d.startHeartbeat(ctx, membership.Member{Peer: addr})
		}
	}
}

// startHeartbeat sends a heartbeat in the background unless one to the same
// address is still unanswered.
func (d *Daemon) startHeartbeat(ctx context.Context, m membership.Member) {
	r := d.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heartbeatsInFlight[m.Peer] {
		return
	}
	r.heartbeatsInFlight[m.Peer] = true
	go func() {
		d.sendHeartbeat(ctx, m)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.heartbeatsInFlight, m.Peer)
	}()
}

// sendHeartbeat sends a heartbeat, records the answer and repairs facts if
// needed. m.ID is empty for a seed, whose ID is learned from the answer.
func (d *Daemon) sendHeartbeat(ctx context.Context, m membership.Member) {
	sent := time.Now()
	hello, err := d.callHello(ctx, m)
	if errors.Is(err, context.DeadlineExceeded) {
		// The connection may be dead while the member is alive. callHello has
		// dropped it, so the second call opens a new one.
		sent = time.Now()
		hello, err = d.callHello(ctx, m)
	}
	if err != nil {
		d.log.Debug().Str("event", "member.not-heard").Str("peer", m.ID).Stringer("address", m.Peer).Err(err).Send()
		return
	}
	d.metrics.heartbeatsAnswered.Add(1)
	if hello.ID == d.self.ID || (m.ID != "" && hello.ID != m.ID) {
		return
	}
	m.ID = hello.ID
	newContact := !d.joined() || d.knownIncarnation(m.ID) != hello.Incarnation
	d.updateTracker(func(t *membership.Tracker) []membership.Record {
		t.RecordHeartbeat(hello.ID, hello.Incarnation, time.Now())
		return t.Confirm(hello.KnownVersion, sent)
	})
	if d.needsRepair(m.ID, hello.Digest, newContact) {
		d.repairFacts(ctx, m)
	}
}

// callHello sends one heartbeat. If it fails, the connection is dropped.
func (d *Daemon) callHello(ctx context.Context, m membership.Member) (*wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	hello, err := peer.Call[wire.Hello](ctx, d.controlClient, m.Peer, wire.TypeHello, d.newHello(m.ID))
	if err != nil {
		d.metrics.heartbeatsFailed.Add(1)
		d.controlClient.Disconnect(m.Peer)
	}
	return hello, err
}

// knownIncarnation returns a member's incarnation in the current view, or ""
// if the member is unknown.
func (d *Daemon) knownIncarnation(id string) string {
	m, _ := d.view.Load().Member(id)
	return m.Incarnation
}

// needsRepair reports whether to repair facts with a neighbour, given the
// digest of its facts. On a new contact the first mismatch is enough.
func (d *Daemon) needsRepair(id string, digest uint64, newContact bool) bool {
	r := d.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if digest == d.facts.Digest() {
		delete(r.mismatches, id)
		return false
	}
	r.mismatches[id]++
	if !newContact && r.mismatches[id] < mismatchesBeforeRepair {
		return false
	}
	delete(r.mismatches, id)
	return true
}

// newHello returns this daemon's heartbeat message to a member.
func (d *Daemon) newHello(to string) *wire.Hello {
	d.roster.mu.Lock()
	defer d.roster.mu.Unlock()
	return &wire.Hello{
		ID:           d.self.ID,
		Incarnation:  d.self.Incarnation,
		Leaving:      d.withdrawn(),
		Digest:       d.facts.Digest(),
		KnownVersion: d.roster.tracker.VersionOf(to),
	}
}

// answerHello records the heartbeat of a member and answers it.
func (d *Daemon) answerHello(_ context.Context, from string, in *wire.Hello) (*wire.Hello, error) {
	if in.ID == from {
		d.updateTracker(func(t *membership.Tracker) []membership.Record {
			t.RecordHeartbeat(in.ID, in.Incarnation, time.Now())
			return nil
		})
	}
	return d.newHello(from), nil
}
