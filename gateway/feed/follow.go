package feed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrytiller.example/tiller/coordination/objects"
	"bilberrytiller.example/tiller/internal/sleep"
)

const (
	// watchInterval is the pause between two watches, so that changes in quick
	// succession cost one call. It is one twelfth of the shortest time within
	// which a change must take effect.
	watchInterval = 200 * time.Millisecond
	// relayCheckInterval is how often a daemon supplied by a relay checks whether
	// the relay still supplies it.
	relayCheckInterval = 100 * time.Millisecond
)

// watcher follows one kind at the store.
type watcher struct {
	replica *Replica
	sub     Subscription
	// listed is false until the kind was listed or supplied by a relay, and again
	// after the store lost its history.
	listed bool
	// watching reports that the last call to the store succeeded, and that the next
	// one may wait for a change.
	watching       bool
	storeAvailable bool
	// deferred reports that the current call was put off by the circuit breaker.
	deferred bool
}

// followStore follows a kind at the store until ctx ends, except while a relay
// supplies it.
func (r *Replica) followStore(ctx context.Context, sub Subscription) {
	w := &watcher{replica: r, sub: sub, storeAvailable: true}
	r.awaitRelay(ctx, sub)
	for ctx.Err() == nil {
		if r.isSupplied(sub, time.Now()) {
			w.listed, w.watching = true, false
			w.reportAvailability(nil)
			sleep.For(ctx, relayCheckInterval)
			continue
		}
		sleep.For(ctx, w.pollStore(ctx))
	}
}

// pollStore calls the store once and returns the time until the next call. The
// circuit breaker only sees calls that do not wait for a change: a probe must
// end soon, and a watch that is cut off does not mean that the store is down.
func (w *watcher) pollStore(ctx context.Context) time.Duration {
	interval := w.replica.probeInterval()
	if !w.watching && !w.replica.breaker.allow(time.Now(), interval) {
		w.logDeferral()
		return relayCheckInterval
	}
	w.deferred = false
	err := w.fetch(ctx)
	if ctx.Err() != nil {
		return 0
	}
	probed := !w.watching
	historyGone := errors.Is(err, objects.ErrHistoryGone)
	if probed {
		w.replica.breaker.record(w.sub.Kind, err == nil || historyGone, time.Now(), interval)
	}
	w.watching = err == nil
	if err != nil {
		w.replica.stats.storeFailures.Add(1)
	}
	if historyGone {
		w.listed = false
		w.replica.log.Info().Str("event", "store.history_gone").Str("kind", w.sub.Kind).Send()
		return 0
	}
	w.replica.setUnconfirmed(w.sub.Kind, err != nil)
	w.reportAvailability(err)
	return watchInterval
}

// logDeferral logs once for each call that the circuit breaker puts off.
func (w *watcher) logDeferral() {
	if w.deferred {
		return
	}
	w.deferred = true
	now := time.Now()
	age, _ := w.replica.cache.Age(w.sub.Kind, now)
	openedBy, untilProbe := w.replica.breaker.state(now)
	w.replica.log.Info().Str("event", "store.call_deferred").Str("kind", w.sub.Kind).Dur("age_ms", age).
		Str("opened_by", openedBy).Dur("next_probe_ms", untilProbe).Send()
}

// probeInterval returns the time between calls to a store that does not answer.
func (r *Replica) probeInterval() time.Duration {
	if r.IsRelayRoot() {
		return rootProbeInterval
	}
	return relayedProbeInterval
}

// fetch lists the kind, or watches it once: for a while if the last call
// succeeded, else only for the changes that the store has already.
func (w *watcher) fetch(ctx context.Context) error {
	from, hasCopy := w.replica.cache.Position(w.sub.Kind)
	if !hasCopy || !w.listed {
		return w.list(ctx, from)
	}
	wait := time.Duration(0)
	if w.watching {
		wait = w.sub.watchTimeout()
	}
	called := time.Now()
	c, err := w.replica.store.Watch(ctx, w.sub.Kind, from, wait)
	if err != nil {
		return err
	}
	w.replica.apply(w.sub, update{events: c.Events, from: from, to: c.To, confirmed: c.AsOf, source: storeSource, called: called})
	return nil
}

func (w *watcher) list(ctx context.Context, known objects.Position) error {
	sent := time.Now()
	all, at, err := w.replica.store.List(ctx, w.sub.Kind)
	if err != nil {
		return err
	}
	if at.Before(known) {
		return fmt.Errorf("%w: listed era %d, revision %d is older than cached era %d, revision %d",
			objects.ErrUnavailable, at.Era, at.Revision, known.Era, known.Revision)
	}
	w.replica.apply(w.sub, update{full: true, objects: all, to: at, confirmed: sent, source: storeSource, called: sent})
	w.listed = true
	return nil
}

// reportAvailability logs and reports to the subscription when the store
// becomes unavailable or available.
func (w *watcher) reportAvailability(err error) {
	available := err == nil
	if available == w.storeAvailable {
		return
	}
	w.storeAvailable = available
	hook := w.sub.OnStoreUnavailable
	if available {
		hook = w.sub.OnStoreAvailable
		w.replica.log.Info().Str("event", "store.regained").Str("kind", w.sub.Kind).Send()
	} else {
		w.replica.log.Warn().Str("event", "store.lost").Str("kind", w.sub.Kind).Err(err).Send()
	}
	if hook != nil {
		hook()
	}
}
