package feed

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/objects"
	"bilberrytiller.example/tiller/coordination/relay"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	// relayPollTimeout is how long a relay waits for a change before it replies. It
	// replies sooner to a caller whose copy is older than its own by this much.
	relayPollTimeout = 300 * time.Millisecond
	// relayReplyMargin is the time allowed for the reply beyond relayPollTimeout.
	relayReplyMargin = 300 * time.Millisecond
	// relayReplyTimeout is how long a daemon waits for a reply to begin, and maxReplyTime
	// for the whole of it.
	relayReplyTimeout = relayPollTimeout + relayReplyMargin
	maxReplyTime      = 10 * time.Second
	// relayRetryDelay is how long a failed relay is not called. It is short,
	// since the relay may notice the recovery of the store first.
	relayRetryDelay = 700 * time.Millisecond
	// maxStartupRelayWait bounds how long a starting daemon waits for a relay
	// that is starting too.
	maxStartupRelayWait = 1500 * time.Millisecond
	// startupRelayWaitPerMember is the startup wait for each daemon in the fleet,
	// up to maxStartupRelayWait: the larger the fleet, the more reads of the
	// store at the same time are avoided.
	startupRelayWaitPerMember = 3 * time.Millisecond
	// startingRelayPollInterval is how often a relay that is starting is called.
	startingRelayPollInterval = 30 * time.Millisecond
	// sourceRecheckInterval is how often a daemon that lost its own source checks
	// whether it has a new one, while another daemon waits for its reply.
	sourceRecheckInterval = 20 * time.Millisecond
	// maxPollTimeout bounds the wait that a caller may request.
	maxPollTimeout = 5 * time.Second
)

// ErrStale means that a relay's data is too old.
var ErrStale = errors.New("relay is behind the store")

// CallFunc sends a call to another daemon. It waits for the reply for relayReplyTimeout, and
// longer only while the reply arrives.
type CallFunc func(ctx context.Context, addr netip.AddrPort, call *wire.ObjectsCall) (*wire.ObjectsReply, error)

// PeerCallFunc returns a CallFunc that uses the given client.
func PeerCallFunc(peers *peer.Client) CallFunc {
	return func(ctx context.Context, addr netip.AddrPort, call *wire.ObjectsCall) (*wire.ObjectsReply, error) {
		return peer.CallWhileReceiving[wire.ObjectsReply](ctx, peers, addr, wire.TypeObjects, call, relayReplyTimeout)
	}
}

// Serve answers calls of other daemons from the replica.
func (r *Replica) Serve(s *peer.Server) { peer.Handle(s, wire.TypeObjects, r.handleCall) }

// handleCall replies with the changes that the calling daemon does not have
// yet. If there are none, or the daemon has just lost its own source, it waits
// up to the timeout in the call.
func (r *Replica) handleCall(ctx context.Context, from string, call *wire.ObjectsCall) (*wire.ObjectsReply, error) {
	received := time.Now()
	r.failures.recordReport(from, call.Failures, received)
	r.observeHosts(call.Hosts, received)
	r.observeLoads(call.Loads, false, received)
	timer := time.NewTimer(min(call.Wait, maxPollTimeout))
	defer timer.Stop()
	for {
		updated := r.cache.Updated()
		reply := r.changesFor(call)
		unconfirmed := slices.ContainsFunc(reply.Kinds, func(k wire.KindReply) bool { return k.Unconfirmed })
		if !unconfirmed && hasNews(call, reply, time.Since(received)) {
			return r.finishReply(call, reply, received), nil
		}
		var recheck <-chan time.Time
		if unconfirmed {
			recheck = time.After(sourceRecheckInterval)
		}
		select {
		case <-updated:
		case <-recheck:
		case <-timer.C:
			return r.finishReply(call, r.changesFor(call), received), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// finishReply completes the reply to a call before it is sent.
func (r *Replica) finishReply(call *wire.ObjectsCall, reply *wire.ObjectsReply, received time.Time) *wire.ObjectsReply {
	reply.Waited = time.Since(received)
	if call.AcceptsPacked {
		for i := range reply.Kinds {
			r.packer.pack(&reply.Kinds[i])
		}
	}
	return reply
}

func (r *Replica) changesFor(call *wire.ObjectsCall) *wire.ObjectsReply {
	reply := &wire.ObjectsReply{Failures: r.failures.regionTotal(time.Now()), Hosts: r.hostsFor(call)}
	reply.Loads = r.knownLoads(true, time.Now())
	for _, k := range call.Kinds {
		reply.Kinds = append(reply.Kinds, r.replyForKind(k))
	}
	return reply
}

// hasNews reports whether a reply is worth sending at once, to a caller that has
// waited for it.
func hasNews(call *wire.ObjectsCall, reply *wire.ObjectsReply, waited time.Duration) bool {
	for i, k := range reply.Kinds {
		isBehind := k.Era < call.Kinds[i].Era
		if k.Full || k.Unknown || isBehind || len(k.Events) > 0 || call.Kinds[i].Age+waited >= k.Age+relayPollTimeout {
			return true
		}
	}
	return false
}

func (r *Replica) replyForKind(k wire.KindCall) wire.KindReply {
	reply := wire.KindReply{Kind: k.Kind}
	age, hasCopy := r.cache.Age(k.Kind, time.Now())
	if !hasCopy {
		reply.Unknown = true
		return reply
	}
	reply.Age, reply.Unconfirmed = age, r.isUnconfirmed(k.Kind)
	at, _ := r.cache.Position(k.Kind)
	after := objects.Position{Era: k.Era, Revision: k.Revision}
	if !k.HasEra {
		// With era 0, such a caller would get the whole list with each reply.
		after.Era = at.Era
	}
	err := objects.ErrHistoryGone
	if k.HasRevision {
		reply.Events, at, err = r.cache.ChangesSince(k.Kind, after)
	}
	switch {
	case errors.Is(err, objects.ErrOlderEra):
		err = nil
	case err != nil:
		reply.Full = true
		reply.Objects, at, err = r.cache.List(k.Kind)
	}
	reply.Era, reply.Revision, reply.Unknown = at.Era, at.Revision, err != nil
	return reply
}

// awaitRelay gives the relay of a starting daemon time to reply, so that the
// daemons of a data centre that start at the same time do not all read the
// store.
func (r *Replica) awaitRelay(ctx context.Context, sub Subscription) {
	for ctx.Err() == nil && r.waitsForRelay() {
		if r.isSupplied(sub, time.Now()) || r.IsRelayRoot() {
			return
		}
		sleep.For(ctx, relayCheckInterval)
	}
}

// waitsForRelay reports whether the daemon is still in its startup wait, during
// which it leaves reading the store to its relay. The wait is longer for a
// relay that replies but is starting too, and in a large fleet, so that not all
// daemons read the store when they start at the same time.
func (r *Replica) waitsForRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(r.startedAt)
	limit := max(r.settings.StartupRelayWait, min(maxStartupRelayWait, time.Duration(len(r.members))*startupRelayWaitPerMember))
	return elapsed < limit || elapsed < maxStartupRelayWait && now.Before(r.relayStartingUntil)
}

func (r *Replica) setRelayStartingUntil(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayStartingUntil = until
}

// IsRelayRoot reports whether the daemon is known to have no relay.
func (r *Replica) IsRelayRoot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members) > 0 && r.selector.IsRoot(r.members)
}

// pollRelays polls relays for changes until ctx ends.
func (r *Replica) pollRelays(ctx context.Context) {
	for ctx.Err() == nil {
		source, ok := r.pickRelay()
		if !ok {
			wait := relayCheckInterval
			switch {
			case !r.waitsForRelay() && !r.hasAllKinds():
				r.pollSeeds(ctx)
			case r.isStranded():
				wait = r.askNeighbour(ctx)
			}
			sleep.For(ctx, wait)
			continue
		}
		err := r.pollDaemon(ctx, source.Address, true)
		if err == nil {
			r.markRelayWorking(source)
			continue
		}
		if errors.Is(err, objects.ErrUnknownKind) {
			r.setRelayStartingUntil(time.Now().Add(relayReplyTimeout))
			if r.waitsForRelay() {
				sleep.For(ctx, startingRelayPollInterval)
				continue
			}
		}
		if ctx.Err() == nil {
			r.markRelayFailed(source, err)
		}
	}
}

func (r *Replica) pickRelay() (relay.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.Pick(r.members, time.Now())
}

// markRelayFailed makes the next poll use another relay, if there is one. It logs
// only the first of several failures.
func (r *Replica) markRelayFailed(source relay.Member, err error) {
	r.stats.relayFailures.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.selector.MarkFailed(source.ID, time.Now()) {
		r.log.Info().Str("event", "relay.lost").Str("relay", source.ID).Err(err).Send()
	}
}

func (r *Replica) markRelayWorking(source relay.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.selector.MarkWorking(source.ID) {
		r.log.Info().Str("event", "relay.regained").Str("relay", source.ID).Send()
	}
}

// pollSeeds polls the daemons named in the settings while not all kinds are
// known, since the store may be unavailable at startup.
func (r *Replica) pollSeeds(ctx context.Context) {
	for _, seed := range r.settings.Seeds {
		if ctx.Err() != nil || r.hasAllKinds() {
			return
		}
		if err := r.pollDaemon(ctx, seed.String(), false); err != nil {
			r.log.Info().Str("event", "seed.unanswered").Stringer("seed", seed).Err(err).Send()
		}
	}
}

func (r *Replica) hasAllKinds() bool {
	for _, sub := range r.subscriptions {
		if _, known := r.cache.Position(sub.Kind); !known {
			return false
		}
	}
	return true
}

// pollDaemon asks a daemon once for changes and applies the reply. If isRelay is
// set, the daemon supplies the kinds that it has in time; the error wraps ErrStale
// if these are not all.
func (r *Replica) pollDaemon(ctx context.Context, address string, isRelay bool) error {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("parse daemon address: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, maxReplyTime)
	defer cancel()
	called := time.Now()
	if isRelay {
		r.setPolledSince(called)
		defer r.setPolledSince(time.Time{})
	}
	call := &wire.ObjectsCall{Wait: relayPollTimeout, AcceptsPacked: true, Failures: r.failures.subtreeTotal(time.Now()), Hosts: r.hostExchange(address)}
	call.Loads = r.knownLoads(false, time.Now())
	r.addKinds(call)
	reply, err := r.call(ctx, addr, call)
	if err != nil {
		return err
	}
	r.failures.recordRegionTotal(reply.Failures, time.Now())
	r.observeHosts(reply.Hosts, time.Now())
	r.observeLoads(reply.Loads, true, time.Now())
	return r.applyReply(call, reply, update{source: address, called: called}, isRelay)
}

// addKinds adds what the daemon has of each kind to a call.
func (r *Replica) addKinds(call *wire.ObjectsCall) {
	for _, sub := range r.subscriptions {
		at, known := r.cache.Position(sub.Kind)
		age, _ := r.cache.Age(sub.Kind, time.Now())
		call.Kinds = append(call.Kinds, wire.KindCall{Kind: sub.Kind, Era: at.Era, HasEra: true, Revision: at.Revision, HasRevision: known, Age: age})
	}
}

// applyReply applies the reply to a call. Each kind of it is an update like u.
func (r *Replica) applyReply(call *wire.ObjectsCall, reply *wire.ObjectsReply, u update, isRelay bool) error {
	if len(reply.Kinds) != len(r.subscriptions) {
		return fmt.Errorf("%w: reply has %d kinds, want one for each kind of the call", objects.ErrUnknownKind, len(reply.Kinds))
	}
	var errs []error
	for i, sub := range r.subscriptions {
		k := reply.Kinds[i]
		if k.Kind != sub.Kind {
			errs = append(errs, fmt.Errorf("%w: reply has kind %q, want %q", objects.ErrUnknownKind, k.Kind, sub.Kind))
			continue
		}
		if k.Unknown {
			errs = append(errs, fmt.Errorf("%w: kind %s", objects.ErrUnknownKind, k.Kind))
			continue
		}
		if err := r.packer.unpack(&k); err != nil {
			errs = append(errs, err)
			continue
		}
		u.full, u.objects, u.events = k.Full, k.Objects, k.Events
		u.from = objects.Position{Era: call.Kinds[i].Era, Revision: call.Kinds[i].Revision}
		u.to = objects.Position{Era: k.Era, Revision: k.Revision}
		// The reply was made no earlier than this after the call; its way may take long.
		u.confirmed = u.called.Add(reply.Waited - k.Age)
		r.apply(sub, u)
		if !isRelay {
			continue
		}
		err := r.checkFresh(sub, k)
		r.setSupplied(sub.Kind, err == nil)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// checkFresh returns an error that wraps ErrStale if a relay's copy of a kind is
// too old, has lost its source or is of an earlier era than the daemon's own.
func (r *Replica) checkFresh(sub Subscription, k wire.KindReply) error {
	if own, _ := r.cache.Position(sub.Kind); k.Era < own.Era {
		return fmt.Errorf("%w: %w: kind %s of era %d, want %d", ErrStale, objects.ErrOlderEra, k.Kind, k.Era, own.Era)
	}
	if k.Unconfirmed {
		return fmt.Errorf("%w: it lost its own source of kind %s", ErrStale, k.Kind)
	}
	if limit := sub.maxRelayedAge(); k.Age > limit {
		return fmt.Errorf("%w: objects of kind %s are %s old, want at most %s", ErrStale, k.Kind, k.Age, limit)
	}
	return nil
}
