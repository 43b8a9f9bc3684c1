// Package entry selects the entry hosts that the clients of a data centre are told to
// connect to.
//
// Where some hosts of a data centre have most of its capacity, all its daemons name
// these, and the same ones, since clients drop connections to hosts that an answer no
// longer names. The requests of a data centre then share few pools of connections to
// backend servers, and few daemons see the load of each server. Where the hosts are
// alike, or none of the large ones is known to be alive and to have room, each daemon
// names only its own host.
//
// A large host is named while it has been heard of within statusTTL. Daemons pass on
// what they hear along the tree of relays (package relay), so that no daemon watches
// many others.
package entry

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxHosts is the maximum number of large hosts of a data centre.
	MaxHosts = 8
	// minHosts is the minimum number, so that the loss of one leaves clients another.
	minHosts = 2
	// minAdvantage is how many times the capacity of a host the large ones must have
	// for that host to name them in its own place.
	minAdvantage = 4
	// minShare is the part of the data centre's capacity that the large hosts must have
	// together.
	minShare = 0.5
	// largeFraction is the part of the largest host's capacity from which a host is
	// large.
	largeFraction = 0.5
	// statusTTL is how long a host is taken to be alive after it was heard of. What a
	// daemon reports takes up to 300 ms on each of three levels of the tree up and down.
	statusTTL = 1500 * time.Millisecond
	// maxLinkUse is the fraction of its link in use from which a host is no longer named,
	// and minLinkUse the one below which it may be named again.
	maxLinkUse = 0.85
	minLinkUse = 0.6
	// minAbsence is how long such a host is not named. Its load falls as soon as it is not,
	// and clients drop connections with each change of the answer, so the time doubles with
	// each absence, up to maxAbsence, until the host was named for maxAbsence.
	minAbsence = 10 * time.Second
	maxAbsence = 2 * time.Minute
	// maxClockStep is how long a host whose clock was set back is taken to repeat earlier
	// statuses.
	maxClockStep = 10 * time.Second
)

// Host is an entry host of the daemon's own data centre.
type Host struct {
	ID string
	// Capacity is in cores, as in gateway.Settings.
	Capacity float64
}

// Status is what a host reports of itself.
type Status struct {
	ID string
	// Ready is false while the host accepts no new clients.
	Ready bool
	// LinkUse is the fraction of the host's network link in use.
	LinkUse float64
	// At is when the host was in this state. Daemons that pass it on lose the time on the
	// way.
	At time.Time
	// Stamp is the host's own time of day when it was in this state, in nanoseconds since
	// 1970. It orders the statuses of one host.
	Stamp int64
}

// absence is the time for which an overloaded host is not named.
type absence struct {
	active bool
	// since is the start of the absence or, if it is over, of the presence after it.
	since  time.Time
	length time.Duration
}

// Selector selects the hosts to name. It is not safe for concurrent use.
type Selector struct {
	self     Host
	large    []string
	statuses map[string]Status
	// acceptedAt is when the status of each host was accepted.
	acceptedAt map[string]time.Time
	absences   map[string]absence
}

// NewSelector returns the selector of a daemon on the host self.
func NewSelector(self Host) *Selector {
	return &Selector{self: self, statuses: map[string]Status{}, acceptedAt: map[string]time.Time{}, absences: map[string]absence{}}
}

// SetHosts sets the hosts of the daemon's data centre, with or without its own.
func (s *Selector) SetHosts(all []Host) {
	all = slices.DeleteFunc(slices.Clone(all), func(h Host) bool { return h.ID == s.self.ID || h.Capacity <= 0 })
	all = append(all, s.self)
	s.large = largeHosts(all)
	for id := range s.statuses {
		if !slices.Contains(s.large, id) {
			delete(s.statuses, id)
			delete(s.acceptedAt, id)
			delete(s.absences, id)
		}
	}
}

// largeHosts returns the IDs of the hosts that have most of the data centre's
// capacity, or none if its hosts are alike.
func largeHosts(all []Host) []string {
	slices.SortFunc(all, func(a, b Host) int { return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID)) })
	total, large := 0.0, 0.0
	var ids []string
	for _, h := range all {
		total += h.Capacity
		if h.Capacity >= largeFraction*all[0].Capacity {
			ids = append(ids, h.ID)
			large += h.Capacity
		}
	}
	smallest := all[len(all)-1].Capacity
	if len(ids) < minHosts || len(ids) > MaxHosts || large < minShare*total || all[0].Capacity < minAdvantage*smallest {
		return nil
	}
	slices.Sort(ids)
	return ids
}

// Tiered reports whether the data centre has large hosts, so that daemons exchange
// their statuses.
func (s *Selector) Tiered() bool { return len(s.large) > 0 }

// Observe records the status of a host. One that the host sent before the status that is
// known is ignored, as is that of a host that is not large.
func (s *Selector) Observe(st Status, now time.Time) {
	old, known := s.statuses[st.ID]
	isOlder := known && st.Stamp <= old.Stamp && now.Sub(s.acceptedAt[st.ID]) <= maxClockStep
	if isOlder || !slices.Contains(s.large, st.ID) {
		return
	}
	s.statuses[st.ID] = st
	s.acceptedAt[st.ID] = now
	s.absences[st.ID] = s.absences[st.ID].next(st.LinkUse, now)
}

// next returns the absence after a status.
func (a absence) next(linkUse float64, now time.Time) absence {
	elapsed := now.Sub(a.since)
	switch {
	case a.active && elapsed >= a.length && linkUse < minLinkUse:
		return absence{since: now, length: a.length}
	case a.active || linkUse < maxLinkUse:
		return a
	case a.length == 0 || elapsed > maxAbsence:
		return absence{active: true, since: now, length: minAbsence}
	}
	return absence{active: true, since: now, length: min(2*a.length, maxAbsence)}
}

// Statuses returns the statuses of the large hosts that are known to be alive, sorted
// by ID.
func (s *Selector) Statuses(now time.Time) []Status {
	var fresh []Status
	for _, id := range s.large {
		if st, ok := s.statuses[id]; ok && now.Sub(st.At) <= statusTTL {
			fresh = append(fresh, st)
		}
	}
	return fresh
}

// Select returns the IDs of the hosts to name, or none if the daemon is to name its
// own.
func (s *Selector) Select(now time.Time) []string {
	var ids []string
	for _, st := range s.Statuses(now) {
		if st.Ready && !s.absences[st.ID].active {
			ids = append(ids, st.ID)
		}
	}
	return ids
}
