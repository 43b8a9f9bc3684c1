package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"bilberrytiller.example/tiller/coordination/limit"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	// sharesPrefix and a group form the name of the platform object that holds
	// the owners of the group's units.
	sharesPrefix  = "limits."
	sharesTimeout = 2 * time.Second
	// maxLenders bounds the peers that are asked to lend in one round.
	maxLenders = 8
	// maxReleaseAttempts bounds the writes by which a stopping daemon releases
	// its shares.
	maxReleaseAttempts = 3
	// firstMemberTimeout is how long after its start a daemon that knows no other
	// member owns nothing, since it may not be alone. It is less than
	// firstSharesTimeout.
	firstMemberTimeout = 2 * time.Second
	// firstSharesPeriod is how long, from its first plan for a group, a daemon
	// leaves a share to each host that has not taken one.
	firstSharesPeriod = time.Minute
)

// factShares is the kind of facts that hold the shares of a group. Key is the
// group, Version the version of the platform object.
const factShares spread.Kind = "shares"

// groupShares holds the known shares of one group.
type groupShares struct {
	d     *Daemon
	group string
	// ownership is guarded by the lock of limits.
	ownership *limit.Ownership
	// firstPlan is when the shares were planned first. It is guarded by the lock
	// of limits.
	firstPlan time.Time
	// needsRead is true if the platform object must be read before it is
	// written, because it has not been read yet or the outcome of a write is
	// unknown.
	needsRead atomic.Bool
	// loaded is closed when the first shares are known.
	loaded chan struct{}
}

func newGroupShares(d *Daemon, group string) *groupShares {
	s := &groupShares{d: d, group: group, ownership: limit.NewOwnership(d.self.ID, d.self.Incarnation), loaded: make(chan struct{})}
	s.needsRead.Store(true)
	return s
}

// update applies a version of the platform object.
func (s *groupShares) update(version uint64, body []byte) error {
	var decoded limit.Shares
	if err := json.Unmarshal(body, &decoded); err != nil {
		return fmt.Errorf("decode shares of group %s: %w", s.group, err)
	}
	s.ownership.Update(version, decoded, time.Now())
	select {
	case <-s.loaded:
	default:
		close(s.loaded)
	}
	return nil
}

// awaitShares waits for the first shares of a group, for at most
// firstSharesTimeout.
func (l *limits) awaitShares(ctx context.Context, group string) {
	ctx, cancel := context.WithTimeout(ctx, firstSharesTimeout)
	defer cancel()
	select {
	case <-l.shares[group].loaded:
	case <-ctx.Done():
	}
}

// syncShares reads the shares of a group from the platform if needed, and writes
// the changes that this daemon plans.
func (l *limits) syncShares(ctx context.Context, s *groupShares) {
	ctx, cancel := context.WithTimeout(ctx, sharesTimeout)
	defer cancel()
	if s.needsRead.Load() && !l.readShares(ctx, s) {
		return
	}
	if planned, version, ready := l.planShares(s); ready {
		if err := l.writeShares(ctx, s, planned, version); err != nil {
			l.d.log.Debug().Str("event", "limits.not-written").Str("group", s.group).Err(err).Send()
		}
	}
}

// readShares reads and publishes the shares of a group. It returns false if the
// platform could not be read.
func (l *limits) readShares(ctx context.Context, s *groupShares) bool {
	obj, err := l.d.platform.Get(ctx, platform.KindLease, sharesPrefix+s.group)
	switch {
	case err == nil:
		l.publishShares(s, obj)
	case !errors.Is(err, platform.ErrNotFound):
		return false
	}
	s.needsRead.Store(false)
	return true
}

// planShares returns the planned shares, the version that they replace, and
// whether they are to be written now: something has changed, and no quota of
// the group uses or lends more than it owns.
func (l *limits) planShares(s *groupShares) (limit.Shares, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	changed := !l.closed && l.mayOwn(now) && s.ownership.Plan(l.expectedOwners(s, now), now)
	l.applyOwnership()
	planned, version := s.ownership.Planned()
	return planned, version, changed && l.usesCovered(s.group, now)
}

// mayOwn reports whether this daemon knows other members or has waited for them.
func (l *limits) mayOwn(now time.Time) bool {
	return len(l.d.view.Load().Members()) > 1 || now.Sub(l.started) >= firstMemberTimeout
}

// expectedOwners returns the hosts to leave a share to although they may own
// nothing yet: for firstSharesPeriod, the group's live members and the listed hosts
// that have not been heard from, which may be starting. The lock must be held.
func (l *limits) expectedOwners(s *groupShares, now time.Time) []string {
	if s.firstPlan.IsZero() {
		s.firstPlan = now
	}
	if now.Sub(s.firstPlan) >= firstSharesPeriod {
		return nil
	}
	var out []string
	for _, m := range l.d.view.Load().Members() {
		inGroup := s.group == fleetGroup || m.Region == l.d.self.Region
		if inGroup && (m.Usable() || m.Incarnation == "") {
			out = append(out, m.ID)
		}
	}
	return out
}

// writeShares writes shares if the platform object still has the given version,
// and publishes them. On a conflict it publishes the current object instead and
// returns the error.
func (l *limits) writeShares(ctx context.Context, s *groupShares, planned limit.Shares, version uint64) error {
	data, err := json.Marshal(planned)
	if err != nil {
		return err
	}
	name := sharesPrefix + s.group
	written, err := l.d.platform.Put(ctx, platform.KindLease, name, version, data)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Current.Version > 0 {
		l.publishShares(s, conflict.Current)
		return err
	}
	if err != nil {
		s.needsRead.Store(true)
		return err
	}
	l.publishShares(s, platform.Object{Kind: platform.KindLease, Name: name, Version: written, Data: data})
	return nil
}

// publishShares publishes a version of the platform object to the fleet.
func (l *limits) publishShares(s *groupShares, obj platform.Object) {
	l.d.publish(spread.Fact{ID: spread.ID{Kind: factShares, Key: s.group}, Version: obj.Version, Body: obj.Data})
}

// releaseShares releases this daemon's shares. It tries several times, since
// other hosts may write the same object concurrently.
func (l *limits) releaseShares(ctx context.Context, s *groupShares, end time.Time) error {
	var err error
	for range maxReleaseAttempts {
		if err = l.tryReleaseShares(ctx, s, end); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (l *limits) tryReleaseShares(ctx context.Context, s *groupShares, end time.Time) error {
	l.mu.Lock()
	current := s.ownership.Shares()
	_, version := s.ownership.Planned()
	superseded := s.ownership.Superseded()
	l.mu.Unlock()
	if superseded || version == 0 {
		return nil
	}
	return l.writeShares(ctx, s, current.Leave(l.d.self.ID, end), version)
}

// lender is a peer that may lend units.
type lender struct {
	member     membership.Member
	ownedUnits int
	lending    bool
	sameRegion bool
}

// lenders returns the peers to borrow from, best first: those that lend already,
// then those of the same region, then those that own the most units.
func (l *limits) lenders(q *sharedQuota) []lender {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := q.Lenders(time.Now())
	owners := l.shares[q.id.group].ownership.Shares().Owners
	var out []lender
	for _, m := range l.d.view.Load().Members() {
		owned := limit.Units(owners[m.ID].Spans, q.units)
		if m.ID == l.d.self.ID || m.State == membership.Dead || owned == 0 {
			continue
		}
		lending := slices.Contains(current, m.Incarnation)
		out = append(out, lender{member: m, ownedUnits: owned, lending: lending, sameRegion: m.Region == l.d.self.Region})
	}
	slices.SortStableFunc(out, func(a, b lender) int {
		return cmp.Or(trueFirst(a.lending, b.lending), trueFirst(a.sameRegion, b.sameRegion), cmp.Compare(b.ownedUnits, a.ownedUnits))
	})
	return out[:min(len(out), maxLenders)]
}

// trueFirst is a comparison function that orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// callBorrow asks a peer to lend a total of want units. A total below what it
// lends now returns the difference.
func (l *limits) callBorrow(ctx context.Context, q *sharedQuota, to lender, want int) (*wire.BorrowReply, error) {
	in := &wire.Borrow{Group: q.id.group, Limit: q.id.name, Borrower: l.d.self.Incarnation, Seq: l.nextSeq(), Want: want}
	return peer.Call[wire.BorrowReply](ctx, l.d.peerClient, to.member.Peer, wire.TypeBorrow, in)
}
