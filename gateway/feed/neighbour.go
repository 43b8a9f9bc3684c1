package feed

import (
	"context"
	"net/netip"
	"time"

	"bilberrytiller.example/tiller/protocol/wire"
)

// isStranded reports whether a kind has no source: the store does not answer this daemon.
// It may answer others.
func (r *Replica) isStranded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, lost := range r.unconfirmed {
		if lost {
			return true
		}
	}
	return false
}

// askNeighbour asks a daemon that is no relay of this one for what it has, and returns the
// time until the next call. A neighbour does not count as a source: it may have its copy
// from this daemon. Counts of failures and loads go up the tree only, where each daemon
// counts once, so they are left out.
func (r *Replica) askNeighbour(ctx context.Context) time.Duration {
	r.mu.Lock()
	neighbour, ok := r.selector.Neighbour(r.members, r.neighbourAttempts)
	r.mu.Unlock()
	if !ok {
		return relayCheckInterval
	}
	if r.copyFrom(ctx, neighbour.Address) == nil && r.hasCurrentKinds() {
		return relayCheckInterval
	}
	r.mu.Lock()
	r.neighbourAttempts++
	r.mu.Unlock()
	return relayRetryDelay
}

// copyFrom asks the daemon at an address for the objects that this one lacks.
func (r *Replica) copyFrom(ctx context.Context, address string) error {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, maxReplyTime)
	defer cancel()
	called := time.Now()
	call := &wire.ObjectsCall{Wait: relayPollTimeout, AcceptsPacked: true}
	r.addKinds(call)
	reply, err := r.call(ctx, addr, call)
	if err != nil {
		return err
	}
	return r.applyReply(call, reply, update{source: address, called: called}, false)
}

// hasCurrentKinds reports whether the copies of all kinds are young enough to be used.
func (r *Replica) hasCurrentKinds() bool {
	now := time.Now()
	for _, sub := range r.subscriptions {
		if age, hasCopy := r.cache.Age(sub.Kind, now); !hasCopy || age > sub.maxRelayedAge() {
			return false
		}
	}
	return true
}
