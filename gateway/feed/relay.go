package feed

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"bilberrytiller.example/tiller/coordination/objects"
	"bilberrytiller.example/tiller/coordination/relay"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	// relayWait is how long a relay waits for something new. What is known four
	// steps from the store is older than its watch by as many of these.
	relayWait = 300 * time.Millisecond
	// relaySlack is how much longer its answer may take.
	relaySlack = 300 * time.Millisecond
	// relayPause is how long a relay that failed is not asked. It is short,
	// since the relay may see the store's return first.
	relayPause = 700 * time.Millisecond
	// ageSlack is how much older than a watch's wait what a relay knows of a
	// kind may be. It covers the store's answer and the way of the relay's.
	ageSlack = time.Second
	// maxStartWait bounds how long a starting daemon waits for a relay that is
	// starting too.
	maxStartWait = 1500 * time.Millisecond
	// memberStartWait is how long it waits for each daemon of the fleet, whose
	// reads of the store it would add to.
	memberStartWait = 3 * time.Millisecond
	// startCheck is how often such a relay is asked.
	startCheck = 30 * time.Millisecond
	// maxRelayWait bounds what an asking daemon may have this one wait.
	maxRelayWait = 5 * time.Second
)

// ErrStale says that a relay knows only what is old.
var ErrStale = errors.New("relay is behind the store")

// CallFunc sends a call to another daemon.
type CallFunc func(ctx context.Context, addr netip.AddrPort, call *wire.ObjectsCall) (*wire.ObjectsReply, error)

// PeerCallFunc returns what sends calls with peers.
func PeerCallFunc(peers *peer.Client) CallFunc {
	return func(ctx context.Context, addr netip.AddrPort, call *wire.ObjectsCall) (*wire.ObjectsReply, error) {
		return peer.Call[wire.ObjectsReply](ctx, peers, addr, wire.TypeObjects, call)
	}
}

// Serve answers other daemons' calls with the copy.
func (f *Replica) Serve(s *peer.Server) { peer.Handle(s, wire.TypeObjects, f.answer) }

// answer tells another daemon what is new to it.
func (f *Replica) answer(ctx context.Context, from string, call *wire.ObjectsCall) (*wire.ObjectsReply, error) {
	f.faults.reported(from, call.Failures, time.Now())
	timer := time.NewTimer(min(call.Wait, maxRelayWait))
	defer timer.Stop()
	for {
		changed := f.cache.Changed()
		answer, news := f.whatIsNew(call)
		if news {
			return answer, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (f *Replica) whatIsNew(call *wire.ObjectsCall) (*wire.ObjectsReply, bool) {
	answer, news := &wire.ObjectsReply{Failures: f.faults.forRegion(time.Now())}, false
	for _, k := range call.Kinds {
		a := f.kindAnswer(k)
		news = news || a.Full || a.Unknown || len(a.Events) > 0
		answer.Kinds = append(answer.Kinds, a)
	}
	return answer, news
}

func (f *Replica) kindAnswer(k wire.KindCall) wire.KindReply {
	a := wire.KindReply{Kind: k.Kind}
	age, known := f.cache.Age(k.Kind, time.Now())
	if !known {
		a.Unknown = true
		return a
	}
	a.Age = age
	var err error
	if k.HasRevision {
		a.Events, a.Revision, err = f.cache.ChangesSince(k.Kind, k.Revision)
	}
	if !k.HasRevision || err != nil {
		a.Full = true
		a.Objects, a.Revision, err = f.cache.List(k.Kind)
	}
	a.Unknown = err != nil
	return a
}

// isRelayed reports whether another daemon brings what is fresh.
func (f *Replica) isRelayed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.relayed)
}

func (f *Replica) setRelayed(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayed = until
}

// awaitRelay gives the relay of a starting daemon time to answer, so that a
// data centre that starts at once does not ask the store from every daemon.
func (f *Replica) awaitRelay(ctx context.Context) {
	for ctx.Err() == nil && f.isStarting() {
		if f.isRelayed(time.Now()) || f.IsRelayRoot() {
			return
		}
		sleep.For(ctx, relayCheck)
	}
}

// isStarting reports whether the daemon leaves the store to its relay. It waits
// longer for one that answers and is starting too, and in a large fleet: when all
// come back at once, not all are to read the store.
func (f *Replica) isStarting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	passed := now.Sub(f.started)
	patience := max(f.settings.StartupRelayWait, min(maxStartWait, time.Duration(len(f.members))*memberStartWait))
	return passed < patience || passed < maxStartWait && now.Before(f.relayStarts)
}

func (f *Replica) setRelayStarts(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayStarts = until
}

// IsRelayRoot reports whether the daemon is known to have no relay.
func (f *Replica) IsRelayRoot() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) > 0 && f.choice.IsRoot(f.members)
}

// followRelays asks relays for what is new until ctx ends.
func (f *Replica) followRelays(ctx context.Context) {
	for ctx.Err() == nil {
		from, ok := f.pick()
		if !ok {
			if !f.isStarting() && !f.knowsAll() {
				f.askSeeds(ctx)
			}
			sleep.For(ctx, relayCheck)
			continue
		}
		err := f.ask(ctx, from.Address, true)
		if err == nil {
			f.setRelayed(time.Now().Add(relayWait + relaySlack))
			continue
		}
		if errors.Is(err, objects.ErrUnknownKind) {
			f.setRelayStarts(time.Now().Add(relayWait + relaySlack))
			if f.isStarting() {
				sleep.For(ctx, startCheck)
				continue
			}
		}
		if ctx.Err() == nil {
			f.fail(from, err)
		}
	}
}

func (f *Replica) pick() (relay.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.choice.Pick(f.members, time.Now())
}

func (f *Replica) fail(from relay.Member, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.choice.MarkFailed(from.ID, time.Now())
	f.relayed = time.Time{}
	f.log.Info().Str("event", "relay.lost").Str("relay", from.ID).Err(err).Send()
}

// askSeeds asks daemons that the settings name while nothing is known: the
// store may be down at the start.
func (f *Replica) askSeeds(ctx context.Context) {
	for _, seed := range f.settings.Seeds {
		if ctx.Err() != nil || f.knowsAll() {
			return
		}
		if err := f.ask(ctx, seed.String(), false); err != nil {
			f.log.Info().Str("event", "seed.unanswered").Stringer("seed", seed).Err(err).Send()
		}
	}
}

func (f *Replica) knowsAll() bool {
	for _, k := range f.kinds {
		if _, known := f.cache.Revision(k.Kind); !known {
			return false
		}
	}
	return true
}

// ask asks a daemon once for what is new. What is old is refused if fresh is
// wanted.
func (f *Replica) ask(ctx context.Context, address string, fresh bool) error {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("relay address: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait+relaySlack)
	defer cancel()
	call := &wire.ObjectsCall{Wait: relayWait, Failures: f.faults.below(time.Now())}
	for _, k := range f.kinds {
		revision, known := f.cache.Revision(k.Kind)
		call.Kinds = append(call.Kinds, wire.KindCall{Kind: k.Kind, Revision: revision, HasRevision: known})
	}
	answer, err := f.asks(ctx, addr, call)
	if err != nil {
		return err
	}
	f.faults.learned(answer.Failures, time.Now())
	return f.takeAnswer(call, answer, fresh)
}

func (f *Replica) takeAnswer(call *wire.ObjectsCall, answer *wire.ObjectsReply, fresh bool) error {
	if len(answer.Kinds) != len(f.kinds) {
		return fmt.Errorf("%w: %d kinds", objects.ErrUnknownKind, len(answer.Kinds))
	}
	for i, a := range answer.Kinds {
		if a.Unknown {
			return fmt.Errorf("%w: %s", objects.ErrUnknownKind, a.Kind)
		}
		if fresh && a.Age > f.kinds[i].WatchTimeout+ageSlack {
			return fmt.Errorf("%w: %s by %s", ErrStale, a.Kind, a.Age)
		}
		from := call.Kinds[i].Revision
		f.take(f.kinds[i], a.Full, a.Objects, a.Events, from, a.Revision, time.Now().Add(-a.Age))
	}
	return nil
}
