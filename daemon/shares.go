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
	// sharesPrefix is followed by a group in the name of the platform's object
	// that says who owns which units.
	sharesPrefix  = "limits."
	sharesTimeout = 2 * time.Second
	// maxLenders bounds the peers that are asked in one round.
	maxLenders = 8
	// maxReleaseAttempts bounds the writes by which a daemon that stops gives up what
	// it owns.
	maxReleaseAttempts = 3
)

// factShares is the kind of the facts that tell the shares of a group. The
// key is the group, the version that of the platform's object.
const factShares spread.Kind = "shares"

// groupShares is what this daemon knows of the shares of one group.
type groupShares struct {
	d     *Daemon
	group string
	// ownership is guarded by the lock of limits.
	ownership *limit.Ownership
	// needsRead says that the platform's object is to be read before it is
	// written, because it was not read yet or a write had no answer.
	needsRead atomic.Bool
	// loaded is closed when shares were first read.
	loaded chan struct{}
}

func newGroupShares(d *Daemon, group string) *groupShares {
	s := &groupShares{d: d, group: group, ownership: limit.NewOwnership(d.self.ID, d.self.Incarnation), loaded: make(chan struct{})}
	s.needsRead.Store(true)
	return s
}

func (s *groupShares) update(version uint64, body []byte) error {
	var read limit.Shares
	if err := json.Unmarshal(body, &read); err != nil {
		return fmt.Errorf("shares of %s: %w", s.group, err)
	}
	s.ownership.Update(version, read, time.Now())
	select {
	case <-s.loaded:
	default:
		close(s.loaded)
	}
	return nil
}

// awaitShares waits a short time for the first shares of a group.
func (l *limits) awaitShares(ctx context.Context, group string) {
	ctx, cancel := context.WithTimeout(ctx, firstSharesTimeout)
	defer cancel()
	select {
	case <-l.shares[group].loaded:
	case <-ctx.Done():
	}
}

// syncShares takes what the platform says over and tells it what this daemon
// is to own.
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

// planShares decides what to write, and whether it may be written now.
func (l *limits) planShares(s *groupShares) (limit.Shares, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	changed := !l.closed && s.ownership.Plan(now)
	l.applyOwnership()
	planned, version := s.ownership.Planned()
	return planned, version, changed && l.usesCovered(s.group, now)
}

// writeShares writes shares if the object still stands at the version. A
// conflict brings the object as it stands.
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

// publishShares makes shares of the platform known, here and to all peers.
func (l *limits) publishShares(s *groupShares, obj platform.Object) {
	l.d.publish(spread.Fact{ID: spread.ID{Kind: factShares, Key: s.group}, Version: obj.Version, Body: obj.Data})
}

// releaseShares gives up what this daemon owned. Other hosts may write at the
// same moment, so it tries more than once.
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
	held := s.ownership.Shares()
	_, version := s.ownership.Planned()
	superseded := s.ownership.Superseded()
	l.mu.Unlock()
	if superseded || version == 0 {
		return nil
	}
	return l.writeShares(ctx, s, held.Leave(l.d.self.ID, end), version)
}

// lender is a peer that may lend units.
type lender struct {
	member     membership.Member
	ownedUnits int
	lending    bool
	sameRegion bool
}

// lenders returns the peers to ask, best first: those that lend already, then
// those of the own region, then those that own most.
func (l *limits) lenders(a *sharedQuota) []lender {
	l.mu.Lock()
	defer l.mu.Unlock()
	lending := a.Lenders(time.Now())
	owners := l.shares[a.id.group].ownership.Shares().Owners
	var out []lender
	for _, m := range l.d.view.Load().Members() {
		owns := limit.Units(owners[m.ID].Spans, a.units)
		if m.ID == l.d.self.ID || m.State == membership.Dead || owns == 0 {
			continue
		}
		lends := slices.Contains(lending, m.Incarnation)
		out = append(out, lender{member: m, ownedUnits: owns, lending: lends, sameRegion: m.Region == l.d.self.Region})
	}
	slices.SortStableFunc(out, func(a, b lender) int {
		return cmp.Or(trueFirst(a.lending, b.lending), trueFirst(a.sameRegion, b.sameRegion), cmp.Compare(b.ownedUnits, a.ownedUnits))
	})
	return out[:min(len(out), maxLenders)]
}

// trueFirst orders what holds before what does not.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (l *limits) callBorrow(ctx context.Context, a *sharedQuota, to lender, want int) (*wire.BorrowReply, error) {
	in := &wire.Borrow{Group: a.id.group, Limit: a.id.name, Borrower: l.d.self.Incarnation, Seq: l.nextSeq(), Want: want}
	return peer.Call[wire.BorrowReply](ctx, l.d.peerClient, to.member.Peer, wire.TypeBorrow, in)
}
