package membership

import (
	"maps"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/topology"
)

// Timing holds the timeouts of a Tracker.
type Timing struct {
	// SuspectAfter is how long a neighbour may be silent before it is
	// suspected.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspected member has to refute the suspicion.
	DeadAfter time.Duration
	// Lease is how long a neighbour's confirmation that this daemon is alive
	// remains valid. It is shorter than SuspectAfter and DeadAfter together, so
	// that it expires before other members declare this daemon dead.
	Lease time.Duration
	// MaxTickGap is the longest interval between two ticks of a running daemon.
	// A longer interval means that the daemon was paused.
	MaxTickGap time.Duration
}

// nonNeighbourTimeoutFactor is the multiple of DeadAfter after which a
// suspected member that is not a neighbour of this daemon is declared dead.
const nonNeighbourTimeoutFactor = 6

// Tracker holds the membership state of one daemon. It performs no I/O and
// reads no clock. It is not safe for concurrent use.
type Tracker struct {
	timing  Timing
	self    Record
	records map[string]Record
	hosts   map[string]Host
	// lastHeard is the time of the last heartbeat from each neighbour, or the
	// time at which its timer was started or reset.
	lastHeard map[string]time.Time
	// suspectedAt is when this daemon learned that a member is suspected.
	suspectedAt map[string]time.Time
	// confirmedAt is when the latest heartbeat was sent that a neighbour answered
	// with a record of this daemon as alive or leaving.
	confirmedAt time.Time
	// everHeard is set once a heartbeat was recorded, hostsListed once an entry
	// of the platform's host list was applied.
	everHeard   bool
	hostsListed bool
	superseded  bool
	lastTick    time.Time
	// cachedNeighbours is reset when the members change; changeCount counts
	// these changes.
	cachedNeighbours []string
	changeCount      uint64
}

// NewTracker returns a tracker that knows only its own daemon.
func NewTracker(timing Timing, self Record, now time.Time) *Tracker {
	return &Tracker{
		timing: timing, self: self, lastTick: now,
		records: map[string]Record{}, hosts: map[string]Host{},
		lastHeard: map[string]time.Time{}, suspectedAt: map[string]time.Time{},
	}
}

// Self returns the daemon's own record.
func (t *Tracker) Self() Record { return t.self }

// Superseded reports whether a newer daemon runs under this host's ID.
func (t *Tracker) Superseded() bool { return t.superseded }

// Leave sets the daemon's own state to Leaving and returns the updated record.
func (t *Tracker) Leave() Record {
	t.self.State = Leaving
	t.raiseSequence(t.self.Sequence)
	t.markChanged()
	return t.self
}

// Merge stores the records that are newer than the known ones. It returns the
// records to send in response: the daemon's own record, if it has to refute
// what others published about it.
func (t *Tracker) Merge(records []Record, now time.Time) []Record {
	var out []Record
	for _, r := range records {
		switch {
		case !r.Valid():
		case r.ID == t.self.ID:
			out = append(out, t.mergeOwn(r)...)
		case r.Version() > t.records[r.ID].Version():
			t.store(r, now)
		}
	}
	return out
}

// mergeOwn handles a record of the daemon's own host. If the record is from
// another incarnation, a daemon that no neighbour has confirmed yet raises its
// start time above that of the record, which a previous daemon with a faster
// clock may have left. A daemon that has already been confirmed was replaced by
// a newer one.
func (t *Tracker) mergeOwn(r Record) []Record {
	if r.Incarnation == t.self.Incarnation {
		return t.refute(r.Version())
	}
	if r.Version() < t.self.Version() {
		return nil
	}
	if !t.confirmedAt.IsZero() {
		t.superseded = true
		return nil
	}
	t.self.Started = r.Started + 1
	return []Record{t.self}
}

// refute raises the daemon's own sequence above that of a newer version of its
// record, which another member published, and returns the new record. It does
// nothing if the version is not newer or is of another incarnation.
func (t *Tracker) refute(version uint64) []Record {
	if version <= t.self.Version() || !sameIncarnation(version, t.self.Version()) {
		return nil
	}
	t.raiseSequence(sequenceOf(version))
	return []Record{t.self}
}

// raiseSequence raises the daemon's own sequence above another one. After the largest, it
// begins again with a later start time.
func (t *Tracker) raiseSequence(above uint32) {
	if above >= maxSequence {
		t.self.Started++
		t.self.Sequence = 0
		return
	}
	t.self.Sequence = above + 1
}

// store replaces the record of a member and updates its timers: a new
// incarnation restarts the heartbeat timer, and a change to or from Suspect
// starts or clears the suspicion timer.
func (t *Tracker) store(r Record, now time.Time) {
	t.markChanged()
	old, known := t.records[r.ID]
	t.records[r.ID] = r
	if !known || old.Incarnation != r.Incarnation {
		delete(t.suspectedAt, r.ID)
		if _, isNeighbour := t.lastHeard[r.ID]; isNeighbour {
			t.lastHeard[r.ID] = now
		}
	}
	if r.State != Suspect {
		delete(t.suspectedAt, r.ID)
	} else if _, ok := t.suspectedAt[r.ID]; !ok {
		t.suspectedAt[r.ID] = now
	}
}

// UpdateHosts applies entries of the platform's host list and returns the
// records to broadcast. The list lags behind, so a host that was removed from
// it remains a member while neighbours still hear it. Only an isolated daemon,
// which hears no neighbour, trusts the list and marks a removed host as dead.
func (t *Tracker) UpdateHosts(hosts []Host, now time.Time) []Record {
	var out []Record
	for _, h := range hosts {
		t.hostsListed = true
		t.markChanged()
		t.hosts[h.ID] = h
		r, known := t.records[h.ID]
		if h.Removed && known && r.State != Dead && t.isolated() {
			r.State = Dead
			t.store(r, now)
			out = append(out, r)
		}
	}
	return out
}

// RecordHeartbeat records that an incarnation of a neighbour was heard from.
func (t *Tracker) RecordHeartbeat(id, incarnation string, now time.Time) {
	t.everHeard = true
	if _, isNeighbour := t.lastHeard[id]; isNeighbour && t.records[id].Incarnation == incarnation {
		t.lastHeard[id] = now
	}
}

// ReportsAlive reports whether a version of this daemon's record, as held by
// another daemon, refers to the current incarnation and counts it as alive or
// leaving.
func (t *Tracker) ReportsAlive(version uint64) bool {
	state := stateOf(version)
	return sameIncarnation(version, t.self.Version()) && (state == Alive || state == Leaving)
}

// Confirm processes the version of this daemon's record that a neighbour
// returned in response to a heartbeat. The sent argument is when that heartbeat
// was sent. Confirm returns a refuting record if one is needed.
func (t *Tracker) Confirm(version uint64, sent time.Time) []Record {
	own := t.self.Version()
	if !sameIncarnation(version, own) {
		return nil
	}
	if t.ReportsAlive(version) && sent.After(t.confirmedAt) {
		t.confirmedAt = sent
	}
	return t.refute(version)
}

// VersionOf returns the record version that this daemon holds for a member, or
// 0 if it has none.
func (t *Tracker) VersionOf(id string) uint64 {
	r, ok := t.records[id]
	if !ok {
		return 0
	}
	return r.Version()
}

// Confirmed reports whether the daemon may act on behalf of the fleet: either a
// neighbour reported it as alive within the lease, or it is known to be the
// only member.
func (t *Tracker) Confirmed(now time.Time) bool {
	until, always := t.ConfirmedUntil()
	return always || now.Before(until)
}

// ConfirmedUntil returns when the current confirmation expires. If always is
// true, the confirmation is valid without limit until the membership changes.
func (t *Tracker) ConfirmedUntil() (until time.Time, always bool) {
	switch {
	case t.superseded || t.confirmedAt.IsZero() && !t.onlyMember():
		return time.Time{}, false
	case t.onlyMember():
		return time.Time{}, t.hostsListed || t.everHeard
	}
	return t.confirmedAt.Add(t.timing.Lease), false
}

// Isolated reports whether the daemon has neighbours but hears none of them.
func (t *Tracker) Isolated() bool { return t.isolated() }

// Joined reports whether the daemon hears at least one neighbour.
func (t *Tracker) Joined() bool { return t.everHeard && !t.onlyMember() && !t.isolated() }

// onlyMember reports whether all other known members are dead.
func (t *Tracker) onlyMember() bool {
	for _, r := range t.records {
		if r.State != Dead {
			return false
		}
	}
	return true
}

func (t *Tracker) isolated() bool {
	for _, last := range t.lastHeard {
		if t.lastTick.Sub(last) < t.timing.SuspectAfter {
			return false
		}
	}
	return !t.onlyMember()
}

// Tick updates the states of the neighbours and of suspected members according
// to the elapsed time and returns the records to broadcast. After the daemon
// itself was paused, Tick first restarts all timers, so that no member is
// declared dead because of that pause.
func (t *Tracker) Tick(now time.Time) []Record {
	paused := now.Sub(t.lastTick) > t.timing.MaxTickGap
	t.lastTick = now
	t.updateNeighbours(now)
	if paused {
		t.restartTimers(now)
	}
	if paused || t.isolated() {
		return nil
	}
	var out []Record
	for _, id := range t.timedMembers() {
		r, ok := t.records[id]
		if !ok {
			continue
		}
		if state := t.nextState(r, now); state != r.State {
			r.State = state
			t.store(r, now)
			out = append(out, r)
		}
	}
	return out
}

// timedMembers returns the IDs of the members whose state can change with time,
// sorted: the neighbours and the suspected members.
func (t *Tracker) timedMembers() []string {
	ids := slices.AppendSeq(slices.Collect(maps.Keys(t.lastHeard)), maps.Keys(t.suspectedAt))
	slices.Sort(ids)
	return slices.Compact(ids)
}

// restartTimers restarts the timers of all neighbours and suspected members.
func (t *Tracker) restartTimers(now time.Time) {
	for id := range t.lastHeard {
		t.lastHeard[id] = now
	}
	for id := range t.suspectedAt {
		t.suspectedAt[id] = now
	}
}

// nextState returns the state of a member according to its timers.
func (t *Tracker) nextState(r Record, now time.Time) State {
	last, isNeighbour := t.lastHeard[r.ID]
	silentFor := now.Sub(last)
	suspectedFor := now.Sub(t.suspectedAt[r.ID])
	switch {
	case isNeighbour && r.State == Alive && silentFor >= t.timing.SuspectAfter:
		return Suspect
	case isNeighbour && r.State == Suspect && silentFor >= t.timing.SuspectAfter && suspectedFor >= t.timing.DeadAfter:
		return Dead
	case isNeighbour && r.State == Leaving && silentFor >= t.timing.SuspectAfter+t.timing.DeadAfter:
		return Dead
	case !isNeighbour && r.State == Suspect && suspectedFor >= nonNeighbourTimeoutFactor*t.timing.DeadAfter:
		return Dead
	}
	return r.State
}

// updateNeighbours starts timers for new neighbours and drops those of former
// ones.
func (t *Tracker) updateNeighbours(now time.Time) {
	current := map[string]bool{}
	for _, id := range t.Neighbours() {
		current[id] = true
		if _, ok := t.lastHeard[id]; !ok {
			t.lastHeard[id] = now
		}
	}
	for id := range t.lastHeard {
		if !current[id] {
			delete(t.lastHeard, id)
		}
	}
}

// Neighbours returns the sorted IDs of the members to exchange heartbeats and
// facts with. These are the daemon's neighbours in the topology of live
// members, and those in the topology of all members including dead ones. The
// latter let the two sides of a healed partition find each other.
func (t *Tracker) Neighbours() []string {
	if t.cachedNeighbours == nil {
		t.cachedNeighbours = t.computeNeighbours()
	}
	return t.cachedNeighbours
}

func (t *Tracker) computeNeighbours() []string {
	var all, live []topology.Node
	for _, m := range t.members() {
		node := topology.Node{ID: m.ID, DataCentre: m.DataCentre, Region: m.Region}
		all = append(all, node)
		if m.State != Dead {
			live = append(live, node)
		}
	}
	out := append(topology.Neighbours(all, t.self.ID), topology.Neighbours(live, t.self.ID)...)
	slices.Sort(out)
	return append([]string{}, slices.Compact(out)...)
}

// ChangeCount returns a counter that increases when the results of View and
// Neighbours change, except for changes that result from Isolated alone.
func (t *Tracker) ChangeCount() uint64 { return t.changeCount }

// markChanged increments the change counter and invalidates the cached
// neighbours.
func (t *Tracker) markChanged() {
	t.changeCount++
	t.cachedNeighbours = nil
}

// View returns a snapshot of the membership. An isolated daemon presents all
// other members that are alive as suspected.
func (t *Tracker) View() *View {
	members := t.members()
	if t.isolated() {
		for i := range members {
			if members[i].ID != t.self.ID && members[i].State == Alive {
				members[i].State = Suspect
			}
		}
	}
	return NewView(t.self.member(), members)
}

// members combines the records with the listed hosts that were never heard
// from.
func (t *Tracker) members() []Member {
	out := []Member{t.self.member()}
	for _, r := range t.records {
		m := r.member()
		if m.State == Dead && t.hosts[r.ID].Removed {
			continue
		}
		if m.Usable() && t.hosts[r.ID].Leaving {
			m.State = Leaving
		}
		out = append(out, m)
	}
	for _, h := range t.hosts {
		if _, known := t.records[h.ID]; !known && !h.Removed && h.ID != t.self.ID {
			out = append(out, h.member())
		}
	}
	return out
}
