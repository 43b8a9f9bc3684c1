package daemon

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/protocol/operatorapi"
)

const (
	// viewUpdateDelayFactor times the duration of the last view update is the
	// least time between the end of that update and the next one.
	viewUpdateDelayFactor = 20
	// deadRetention is how long the fleet keeps the record of a dead member.
	deadRetention = time.Hour
)

var membershipTiming = membership.Timing{
	SuspectAfter: 650 * time.Millisecond,
	DeadAfter:    500 * time.Millisecond,
	Lease:        time.Second,
	MaxTickGap:   2 * heartbeatPeriod,
}

// factMember is the kind of facts that hold member records. Key is the
// member's ID, Version the version of the record.
const factMember spread.Kind = "member"

// roster holds the membership state and the state of heartbeats. It is safe
// for concurrent use, except for lastPurge, which only heartbeatRound uses.
type roster struct {
	mu      sync.Mutex
	tracker *membership.Tracker
	// heartbeatsInFlight holds the addresses with an unanswered heartbeat.
	heartbeatsInFlight map[netip.AddrPort]bool
	// mismatches counts consecutive heartbeats with a different digest, by
	// member ID.
	mismatches map[string]int
	lastPurge  time.Time
	// published is the tracker state that the current view was made from.
	published viewState
	// nextViewUpdate is the earliest time for the next view update.
	// viewUpdateScheduled is true while a timer for it runs.
	nextViewUpdate      time.Time
	viewUpdateScheduled bool
	currentNeighbours   atomic.Pointer[[]membership.Member]
	currentLease        atomic.Pointer[heartbeatLease]
}

// viewState identifies a state of the tracker. The view changes only if it
// does.
type viewState struct {
	changes  uint64
	isolated bool
}

// heartbeatLease is the time until which this daemon is confirmed, see
// Daemon.confirmed. If always is true, the lease has no end.
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
	r.currentLease.Store(&heartbeatLease{})
	return r
}

// neighbours returns the members to send heartbeats to.
func (r *roster) neighbours() []membership.Member { return *r.currentNeighbours.Load() }

// confirmed reports whether this daemon may act for the fleet, for example as
// the holder of a duty. It turns false when the heartbeat lease expires, by
// the daemon's own clock, so that a daemon that was paused notices by itself.
// It turns true again when a neighbour counts the daemon as alive.
func (d *Daemon) confirmed() bool {
	lease := d.roster.currentLease.Load()
	return lease.always || time.Now().Before(lease.until)
}

// joined reports whether this daemon receives heartbeats of a neighbour.
func (d *Daemon) joined() bool {
	d.roster.mu.Lock()
	defer d.roster.mu.Unlock()
	return d.roster.tracker.Joined()
}

// isolated reports whether this daemon has neighbours but receives heartbeats
// of none.
func (d *Daemon) isolated() bool {
	d.roster.mu.Lock()
	defer d.roster.mu.Unlock()
	return d.roster.tracker.Isolated()
}

// superseded reports whether a later daemon runs under this host's ID.
func (d *Daemon) superseded() bool {
	d.roster.mu.Lock()
	defer d.roster.mu.Unlock()
	return d.roster.tracker.Superseded()
}

// fleetStatus returns this daemon's status within the fleet for operators.
func (d *Daemon) fleetStatus() operatorapi.FleetStatus {
	neighbours := []string{}
	for _, m := range d.roster.neighbours() {
		neighbours = append(neighbours, m.ID)
	}
	return operatorapi.FleetStatus{
		Confirmed:  d.confirmed(),
		Isolated:   d.isolated(),
		Superseded: d.superseded(),
		Relay:      d.readsPlatform(),
		Neighbours: neighbours,
	}
}

// applyMemberFacts merges newer member records into the tracker.
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

// updateTracker calls update with the tracker, refreshes the heartbeat lease
// and the view, and publishes the records that update returns.
func (d *Daemon) updateTracker(update func(*membership.Tracker) []membership.Record) {
	r := d.roster
	r.mu.Lock()
	records := update(r.tracker)
	until, always := r.tracker.ConfirmedUntil()
	r.currentLease.Store(&heartbeatLease{until: until, always: always})
	state := viewState{changes: r.tracker.ChangeCount(), isolated: r.tracker.Isolated()}
	if state != r.published {
		d.throttleViewUpdate(state)
	}
	r.mu.Unlock()
	for _, record := range records {
		d.publishMemberRecord(record)
	}
}

// throttleViewUpdate updates the view, at once or, if the last update was a
// short time ago, by a timer. The cost of an update grows with the number of
// members, so a burst of changes, such as the loss of a region, must not cause
// one update per change. The lock must be held.
func (d *Daemon) throttleViewUpdate(state viewState) {
	r := d.roster
	started := time.Now()
	if wait := r.nextViewUpdate.Sub(started); wait > 0 {
		if !r.viewUpdateScheduled {
			r.viewUpdateScheduled = true
			time.AfterFunc(wait, d.runScheduledViewUpdate)
		}
		return
	}
	r.published = state
	d.storeView(r.tracker)
	finished := time.Now()
	r.nextViewUpdate = finished.Add(viewUpdateDelayFactor * finished.Sub(started))
}

// runScheduledViewUpdate updates the view after a burst of changes.
func (d *Daemon) runScheduledViewUpdate() {
	d.roster.mu.Lock()
	d.roster.viewUpdateScheduled = false
	d.roster.mu.Unlock()
	d.updateTracker(func(*membership.Tracker) []membership.Record { return nil })
}

// storeView makes the tracker's view, marks draining hosts in it, and stores it
// and the neighbours. The roster's lock must be held.
func (d *Daemon) storeView(t *membership.Tracker) {
	before := d.view.Load()
	view := t.View()
	neighbours := make([]membership.Member, 0, len(t.Neighbours()))
	for _, id := range t.Neighbours() {
		if m, ok := view.Member(id); ok {
			neighbours = append(neighbours, m)
		}
	}
	d.roster.currentNeighbours.Store(&neighbours)
	view = d.markDrainingHosts(view)
	d.view.Store(view)
	d.metrics.members.Set(int64(len(view.Members())))
	d.metrics.neighbours.Set(int64(len(neighbours)))
	d.reportIsolation(t.Isolated())
	d.logMemberChanges(before, view)
}

// logMemberChanges logs members whose state or incarnation changed.
func (d *Daemon) logMemberChanges(before, after *membership.View) {
	for _, m := range after.Members() {
		previous, known := before.Member(m.ID)
		if m.Incarnation == "" {
			d.logListedHost(m, known)
			continue
		}
		if !known || previous.State != m.State || previous.Incarnation != m.Incarnation {
			d.log.Info().Str("event", "member.changed").Str("member", m.ID).Str("incarnation", m.Incarnation).
				Stringer("state", m.State).Send()
		}
	}
}

// logListedHost logs a host of the platform's list that has sent no member
// record yet, once when it is first seen.
func (d *Daemon) logListedHost(m membership.Member, known bool) {
	if !known {
		d.log.Info().Str("event", "member.listed").Str("member", m.ID).Stringer("peer", m.Peer).Send()
	}
}

// reportIsolation sets the isolated metric and logs a change of it.
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

// publishMemberRecord publishes a member record to the fleet. The fact of a
// dead member expires.
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
