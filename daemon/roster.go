package daemon

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	heartbeatPeriod  = 250 * time.Millisecond
	heartbeatTimeout = 400 * time.Millisecond
	// purgePeriod is how often expired facts are forgotten.
	purgePeriod = 10 * time.Second
	// mismatchesBeforeRepair is how many heartbeats in a row find a
	// neighbour's digest different before a repair: facts on their way make
	// digests differ for a moment.
	mismatchesBeforeRepair = 2
	// viewUpdateDelayFactor is how many times as long as the making of a view took the next
	// one waits.
	viewUpdateDelayFactor = 20
	// deadRetention is how long the fleet remembers a dead member.
	deadRetention = time.Hour
)

var membershipTiming = membership.Timing{
	SuspectAfter: 650 * time.Millisecond,
	DeadAfter:    500 * time.Millisecond,
	Lease:        time.Second,
	MaxTickGap:   2 * heartbeatPeriod,
}

// factMember is the kind of the facts that are records of members. The key
// is the member's ID, the version the record's.
const factMember spread.Kind = "member"

// roster keeps the members. It is safe for concurrent use.
type roster struct {
	mu      sync.Mutex
	tracker *membership.Tracker
	// heartbeatsInFlight holds the addresses that were sent a heartbeat not yet answered.
	heartbeatsInFlight map[netip.AddrPort]bool
	mismatches         map[string]int
	lastPurge          time.Time
	// shown is the state of the tracker that the view shows.
	shown viewState
	// nextViewUpdate is when the view may be made anew, awaited whether that moment
	// is waited for.
	nextViewUpdate      time.Time
	viewUpdateScheduled bool
	currentNeighbours   atomic.Pointer[[]membership.Member]
	lease               atomic.Pointer[heartbeatLease]
}

type viewState struct {
	changes  uint64
	isolated bool
}

// heartbeatLease is until when the daemon is confirmed.
type heartbeatLease struct {
	until  time.Time
	always bool
}

func newRoster(self membership.Member, now time.Time) *roster {
	record := membership.Record{
		ID: self.ID, Incarnation: self.Incarnation, Started: now.UnixMilli(),
		DataCentre: self.DataCentre, Region: self.Region, Peer: self.Peer, Caller: self.Caller,
	}
	r := &roster{
		tracker:            membership.NewTracker(membershipTiming, record, now),
		heartbeatsInFlight: map[netip.AddrPort]bool{},
		mismatches:         map[string]int{},
	}
	r.currentNeighbours.Store(&[]membership.Member{})
	r.lease.Store(&heartbeatLease{})
	return r
}

// neighbours returns the members that heartbeats go to.
func (r *roster) neighbours() []membership.Member { return *r.currentNeighbours.Load() }

// confirmed reports whether this daemon may act for the fleet, as the holder
// of a duty does. It is false from the end of the heartbeat lease, which a
// daemon that was paused finds out by its own clock, until a neighbour counts
// the daemon among the living again.
func (d *Daemon) confirmed() bool {
	l := d.roster.lease.Load()
	return l.always || time.Now().Before(l.until)
}

// joined reports whether this daemon hears a neighbour.
func (d *Daemon) joined() bool {
	d.roster.mu.Lock()
	defer d.roster.mu.Unlock()
	return d.roster.tracker.Joined()
}

// isolated reports whether this daemon has neighbours and hears none.
func (d *Daemon) isolated() bool {
	d.roster.mu.Lock()
	defer d.roster.mu.Unlock()
	return d.roster.tracker.Isolated()
}

// superseded reports whether a later daemon runs under this host's name.
func (d *Daemon) superseded() bool {
	d.roster.mu.Lock()
	defer d.roster.mu.Unlock()
	return d.roster.tracker.Superseded()
}

// runHeartbeats exchanges heartbeats with the neighbours.
func (d *Daemon) runHeartbeats(ctx context.Context) error {
	d.updateTracker(func(t *membership.Tracker) []membership.Record { return []membership.Record{t.Self()} })
	for ctx.Err() == nil {
		d.heartbeatRound(ctx)
		sleep.For(ctx, heartbeatPeriod)
	}
	return nil
}

// heartbeatRound judges the members by the time that has passed and sends heartbeats.
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

// contactSeeds sends heartbeats to the peers that the settings name.
func (d *Daemon) contactSeeds(ctx context.Context) {
	for _, seed := range d.settings.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err == nil && addr != d.self.Peer {
			d.startHeartbeat(ctx, membership.Member{Peer: addr})
		}
	}
}

// startHeartbeat sends a heartbeat unless one is on its way.
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

// sendHeartbeat asks a member who it is. The ID of a seed is not known before.
func (d *Daemon) sendHeartbeat(ctx context.Context, m membership.Member) {
	sent := time.Now()
	hello, err := d.callHello(ctx, m)
	if errors.Is(err, context.DeadlineExceeded) {
		// The connection may be silent and a new one not.
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
	first := !d.joined() || d.knownIncarnation(m.ID) != hello.Incarnation
	d.updateTracker(func(t *membership.Tracker) []membership.Record {
		t.RecordHeartbeat(hello.ID, hello.Incarnation, time.Now())
		return t.Confirm(hello.KnownVersion, sent)
	})
	if d.needsRepair(m.ID, hello.Digest, first) {
		d.repairFacts(ctx, m)
	}
}

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

// knownIncarnation returns the incarnation known of a member, or "".
func (d *Daemon) knownIncarnation(id string) string {
	m, _ := d.view.Load().Member(id)
	return m.Incarnation
}

// needsRepair reports whether facts are to be exchanged with a neighbour.
func (d *Daemon) needsRepair(id string, digest uint64, first bool) bool {
	r := d.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if digest == d.facts.Digest() {
		delete(r.mismatches, id)
		return false
	}
	r.mismatches[id]++
	if !first && r.mismatches[id] < mismatchesBeforeRepair {
		return false
	}
	delete(r.mismatches, id)
	return true
}

// newHello returns what this daemon says to a member.
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

// answerHello takes a member's heartbeat as a sign of life.
func (d *Daemon) answerHello(_ context.Context, from string, in *wire.Hello) (*wire.Hello, error) {
	if in.ID == from {
		d.updateTracker(func(t *membership.Tracker) []membership.Record {
			t.RecordHeartbeat(in.ID, in.Incarnation, time.Now())
			return nil
		})
	}
	return d.newHello(from), nil
}

// applyMemberFacts takes newer records of members over.
func (d *Daemon) applyMemberFacts(facts []spread.Fact) {
	records := make([]membership.Record, 0, len(facts))
	for _, f := range facts {
		var r membership.Record
		if err := cbor.Unmarshal(f.Body, &r); err != nil || r.ID != f.ID.Key || r.Version() != f.Version {
			d.log.Error().Str("event", "member.invalid").Str("member", f.ID.Key).Err(err).Send()
			continue
		}
		records = append(records, r)
	}
	d.updateTracker(func(t *membership.Tracker) []membership.Record { return t.Merge(records, time.Now()) })
}

// updateTracker does something to the tracker, shows the outcome in the view,
// and spreads the records that are returned.
func (d *Daemon) updateTracker(do func(*membership.Tracker) []membership.Record) {
	r := d.roster
	r.mu.Lock()
	records := do(r.tracker)
	until, always := r.tracker.ConfirmedUntil()
	r.lease.Store(&heartbeatLease{until: until, always: always})
	now := viewState{changes: r.tracker.ChangeCount(), isolated: r.tracker.Isolated()}
	if now != r.shown {
		d.throttleViewUpdate(now)
	}
	r.mu.Unlock()
	for _, record := range records {
		d.publishMemberRecord(record)
	}
}

// throttleViewUpdate makes the view anew, at once unless that was done a short time
// ago. Making it takes longer the more members there are, so that a burst of
// changes, as when a region is lost, must not make it for each of them.
func (d *Daemon) throttleViewUpdate(now viewState) {
	r := d.roster
	began := time.Now()
	if wait := r.nextViewUpdate.Sub(began); wait > 0 {
		if !r.viewUpdateScheduled {
			r.viewUpdateScheduled = true
			time.AfterFunc(wait, d.runScheduledViewUpdate)
		}
		return
	}
	r.shown = now
	d.storeView(r.tracker)
	ended := time.Now()
	r.nextViewUpdate = ended.Add(viewUpdateDelayFactor * ended.Sub(began))
}

// runScheduledViewUpdate makes the view anew after a burst of changes.
func (d *Daemon) runScheduledViewUpdate() {
	d.roster.mu.Lock()
	d.roster.viewUpdateScheduled = false
	d.roster.mu.Unlock()
	d.updateTracker(func(*membership.Tracker) []membership.Record { return nil })
}

// storeView stores the tracker's view and neighbours.
func (d *Daemon) storeView(t *membership.Tracker) {
	before := d.view.Load()
	view := t.View()
	near := make([]membership.Member, 0, len(t.Neighbours()))
	for _, id := range t.Neighbours() {
		if m, ok := view.Member(id); ok {
			near = append(near, m)
		}
	}
	d.roster.currentNeighbours.Store(&near)
	view = d.markDrained(view)
	d.view.Store(view)
	d.metrics.members.Set(int64(len(view.Members())))
	d.metrics.neighbours.Set(int64(len(near)))
	d.reportIsolation(t.Isolated())
	d.logMemberChanges(before, view)
}

func (d *Daemon) logMemberChanges(before, view *membership.View) {
	for _, m := range view.Members() {
		held, known := before.Member(m.ID)
		if m.Incarnation == "" {
			d.logListedHost(m, known)
			continue
		}
		if !known || held.State != m.State || held.Incarnation != m.Incarnation {
			d.log.Info().Str("event", "member.changed").Str("member", m.ID).Str("incarnation", m.Incarnation).
				Stringer("state", m.State).Send()
		}
	}
}

// logListedHost logs a host that is listed and was never heard from.
func (d *Daemon) logListedHost(m membership.Member, known bool) {
	if !known {
		d.log.Info().Str("event", "member.listed").Str("member", m.ID).Stringer("peer", m.Peer).Send()
	}
}

// fleetStatus says what this daemon may do for the fleet.
func (d *Daemon) fleetStatus() operatorapi.FleetStatus {
	near := []string{}
	for _, m := range d.roster.neighbours() {
		near = append(near, m.ID)
	}
	return operatorapi.FleetStatus{
		Confirmed:  d.confirmed(),
		Isolated:   d.isolated(),
		Superseded: d.superseded(),
		Relay:      d.readsPlatform(),
		Neighbours: near,
	}
}

func (d *Daemon) reportIsolation(isolated bool) {
	if boolToInt(isolated) != d.metrics.isolated.Value() {
		d.log.Warn().Str("event", "daemon.isolated").Bool("isolated", isolated).Send()
	}
	d.metrics.isolated.Set(boolToInt(isolated))
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (d *Daemon) publishMemberRecord(r membership.Record) {
	body, err := cbor.Marshal(r)
	if err != nil {
		d.log.Error().Str("event", "member.encode").Str("member", r.ID).Err(err).Send()
		return
	}
	f := spread.Fact{ID: spread.ID{Kind: factMember, Key: r.ID}, Version: r.Version(), Body: body}
	if r.State == membership.Dead {
		f.ExpiresMs = time.Now().Add(deadRetention).UnixMilli()
	}
	d.publish(f)
}
