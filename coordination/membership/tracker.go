package membership

import (
	"maps"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/topology"
)

// Timing holds the periods by which a Tracker judges.
type Timing struct {
	// SuspectAfter is how long a neighbour may be silent before it is suspected.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspected member has to refute.
	DeadAfter time.Duration
	// Lease is how long a neighbour's word that it counts this daemon among
	// the living holds. It is shorter than SuspectAfter and DeadAfter
	// together, so that it ends before others take this daemon for dead.
	Lease time.Duration
	// MaxTickGap is the longest time between two ticks of a daemon that was
	// not paused.
	MaxTickGap time.Duration
}

// unwatchedFactor is how many times DeadAfter a member is left suspected by
// daemons that are not its neighbours.
const unwatchedFactor = 6

// Tracker keeps what one daemon knows of all members. It does no I/O and has
// no clock; it is not safe for concurrent use.
type Tracker struct {
	timing  Timing
	self    Record
	records map[string]Record
	hosts   map[string]Host
	// heard is when each neighbour gave its last sign of life.
	heard map[string]time.Time
	// suspected is when this daemon learned that a member is suspected.
	suspected  map[string]time.Time
	confirmed  time.Time
	everHeard  bool
	listed     bool
	superseded bool
	lastTick   time.Time
	// neighbours are kept until the members change; changes counts when.
	neighbours []string
	changes    uint64
}

// NewTracker returns a tracker that knows only the daemon itself.
func NewTracker(timing Timing, self Record, now time.Time) *Tracker {
	return &Tracker{
		timing: timing, self: self, lastTick: now,
		records: map[string]Record{}, hosts: map[string]Host{},
		heard: map[string]time.Time{}, suspected: map[string]time.Time{},
	}
}

// Self returns the daemon's own record.
func (t *Tracker) Self() Record { return t.self }

// Superseded reports whether a later daemon runs under this host's name.
func (t *Tracker) Superseded() bool { return t.superseded }

// Leave makes the daemon's own state Leaving.
func (t *Tracker) Leave() Record {
	t.self.State = Leaving
	t.self.Sequence++
	t.changed()
	return t.self
}

// Merge takes records over and returns what the daemon has to say to them:
// its own record, if what others say of it has to be refuted.
func (t *Tracker) Merge(records []Record, now time.Time) []Record {
	var out []Record
	for _, r := range records {
		switch {
		case !r.Valid():
		case r.ID == t.self.ID:
			out = append(out, t.takeOwn(r)...)
		case r.Version() > t.records[r.ID].Version():
			t.set(r, now)
		}
	}
	return out
}

// takeOwn answers a record of the daemon's own host. A daemon that no
// neighbour has confirmed yet goes above a record that an earlier daemon left
// with a faster clock; one that was confirmed has been replaced.
func (t *Tracker) takeOwn(r Record) []Record {
	if r.Incarnation == t.self.Incarnation {
		return t.refute(r.Version())
	}
	if r.Version() < t.self.Version() {
		return nil
	}
	if !t.confirmed.IsZero() {
		t.superseded = true
		return nil
	}
	t.self.Started = r.Started + 1
	return []Record{t.self}
}

// refute raises the own sequence above a version that says something else.
func (t *Tracker) refute(version uint64) []Record {
	if version <= t.self.Version() || !sameLife(version, t.self.Version()) {
		return nil
	}
	t.self.Sequence = sequenceOf(version) + 1
	return []Record{t.self}
}

func (t *Tracker) set(r Record, now time.Time) {
	t.changed()
	held, known := t.records[r.ID]
	t.records[r.ID] = r
	if !known || held.Incarnation != r.Incarnation {
		delete(t.suspected, r.ID)
		if _, watched := t.heard[r.ID]; watched {
			t.heard[r.ID] = now
		}
	}
	if r.State != Suspect {
		delete(t.suspected, r.ID)
	} else if _, ok := t.suspected[r.ID]; !ok {
		t.suspected[r.ID] = now
	}
}

// UpdateHosts takes entries of the platform's list of hosts over and returns the
// records that are to be spread. The list lags, so that a host it no longer
// names stays a member while neighbours hear it. Only a daemon that hears no
// neighbour takes the platform's word and counts the member as dead.
func (t *Tracker) UpdateHosts(hosts []Host, now time.Time) []Record {
	var out []Record
	for _, h := range hosts {
		t.listed = true
		t.changed()
		t.hosts[h.ID] = h
		r, known := t.records[h.ID]
		if h.Removed && known && r.State != Dead && t.isolated() {
			r.State = Dead
			t.set(r, now)
			out = append(out, r)
		}
	}
	return out
}

// RecordHeartbeat notes a sign of life of an incarnation of a neighbour.
func (t *Tracker) RecordHeartbeat(id, incarnation string, now time.Time) {
	t.everHeard = true
	if _, watched := t.heard[id]; watched && t.records[id].Incarnation == incarnation {
		t.heard[id] = now
	}
}

// ReportsAlive reports whether a version that another daemon holds of this
// one counts this life of it among the living.
func (t *Tracker) ReportsAlive(version uint64) bool {
	state := stateOf(version)
	return sameLife(version, t.self.Version()) && (state == Alive || state == Leaving)
}

// Confirm takes over what a neighbour holds of this daemon, as the neighbour
// said in answer to a heartbeat sent at the given time.
func (t *Tracker) Confirm(version uint64, sent time.Time) []Record {
	own := t.self.Version()
	if !sameLife(version, own) {
		return nil
	}
	if t.ReportsAlive(version) && sent.After(t.confirmed) {
		t.confirmed = sent
	}
	return t.refute(version)
}

// VersionOf returns the version this daemon holds of a member, 0 for none.
func (t *Tracker) VersionOf(id string) uint64 {
	r, ok := t.records[id]
	if !ok {
		return 0
	}
	return r.Version()
}

// Confirmed reports whether the daemon may act for the fleet: a neighbour
// has counted it among the living within the lease, or it is known to be the
// only member.
func (t *Tracker) Confirmed(now time.Time) bool {
	until, always := t.ConfirmedUntil()
	return always || now.Before(until)
}

// ConfirmedUntil returns until when the daemon is confirmed, and whether it
// is without end, until something changes.
func (t *Tracker) ConfirmedUntil() (until time.Time, always bool) {
	switch {
	case t.superseded || t.confirmed.IsZero() && !t.alone():
		return time.Time{}, false
	case t.alone():
		return time.Time{}, t.listed || t.everHeard
	}
	return t.confirmed.Add(t.timing.Lease), false
}

// Isolated reports whether the daemon has neighbours and hears none.
func (t *Tracker) Isolated() bool { return t.isolated() }

// Joined reports whether the daemon hears a neighbour.
func (t *Tracker) Joined() bool { return t.everHeard && !t.alone() && !t.isolated() }

func (t *Tracker) alone() bool {
	for _, r := range t.records {
		if r.State != Dead {
			return false
		}
	}
	return true
}

func (t *Tracker) isolated() bool {
	for _, heard := range t.heard {
		if t.lastTick.Sub(heard) < t.timing.SuspectAfter {
			return false
		}
	}
	return !t.alone()
}

// Tick judges the neighbours by the time that has passed and returns the
// records that are to be spread. After a pause of its own the daemon first
// gives every neighbour time to be heard again.
func (t *Tracker) Tick(now time.Time) []Record {
	paused := now.Sub(t.lastTick) > t.timing.MaxTickGap
	t.lastTick = now
	t.watch(now)
	if paused {
		t.grace(now)
	}
	if paused || t.isolated() {
		return nil
	}
	var out []Record
	for _, id := range t.judged() {
		r, ok := t.records[id]
		if !ok {
			continue
		}
		if state := t.judge(r, now); state != r.State {
			r.State = state
			t.set(r, now)
			out = append(out, r)
		}
	}
	return out
}

// judged returns the members whose state time may change, by ID: the
// neighbours and the suspected ones.
func (t *Tracker) judged() []string {
	ids := slices.AppendSeq(slices.Collect(maps.Keys(t.heard)), maps.Keys(t.suspected))
	slices.Sort(ids)
	return slices.Compact(ids)
}

// grace starts all periods anew.
func (t *Tracker) grace(now time.Time) {
	for id := range t.heard {
		t.heard[id] = now
	}
	for id := range t.suspected {
		t.suspected[id] = now
	}
}

// judge returns the state that a member is to be in.
func (t *Tracker) judge(r Record, now time.Time) State {
	heard, watched := t.heard[r.ID]
	silent := now.Sub(heard)
	suspected := now.Sub(t.suspected[r.ID])
	switch {
	case watched && r.State == Alive && silent >= t.timing.SuspectAfter:
		return Suspect
	case watched && r.State == Suspect && silent >= t.timing.SuspectAfter && suspected >= t.timing.DeadAfter:
		return Dead
	case watched && r.State == Leaving && silent >= t.timing.SuspectAfter+t.timing.DeadAfter:
		return Dead
	case !watched && r.State == Suspect && suspected >= unwatchedFactor*t.timing.DeadAfter:
		return Dead
	}
	return r.State
}

// watch brings the neighbours up to date with the records.
func (t *Tracker) watch(now time.Time) {
	wanted := map[string]bool{}
	for _, id := range t.Neighbours() {
		wanted[id] = true
		if _, ok := t.heard[id]; !ok {
			t.heard[id] = now
		}
	}
	for id := range t.heard {
		if !wanted[id] {
			delete(t.heard, id)
		}
	}
}

// Neighbours returns the members to exchange heartbeats and facts with, by
// ID: the neighbours among the living, and those among all members, dead ones
// too, through which the two sides of a healed partition find each other.
func (t *Tracker) Neighbours() []string {
	if t.neighbours == nil {
		t.neighbours = t.findNeighbours()
	}
	return t.neighbours
}

func (t *Tracker) findNeighbours() []string {
	var all, living []topology.Node
	for _, m := range t.members() {
		node := topology.Node{ID: m.ID, DataCentre: m.DataCentre, Region: m.Region}
		all = append(all, node)
		if m.State != Dead {
			living = append(living, node)
		}
	}
	out := append(topology.Neighbours(all, t.self.ID), topology.Neighbours(living, t.self.ID)...)
	slices.Sort(out)
	return append([]string{}, slices.Compact(out)...)
}

// ChangeCount counts the changes of what View and Neighbours return, but for
// those that Isolated tells.
func (t *Tracker) ChangeCount() uint64 { return t.changes }

func (t *Tracker) changed() {
	t.changes++
	t.neighbours = nil
}

// View returns what the daemon knows as a view. A daemon that hears none of
// its neighbours shows them as suspected.
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

// members joins the records with the hosts that were never heard from.
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
		if _, heard := t.records[h.ID]; !heard && !h.Removed && h.ID != t.self.ID {
			out = append(out, h.member())
		}
	}
	return out
}
