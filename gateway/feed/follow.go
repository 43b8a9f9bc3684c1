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
	listed         bool
	storeAvailable bool
	// deferred reports that the current call was put off by the circuit breaker.
	deferred bool
}

// followStore follows a kind at the store until ctx ends, except while a relay
// supplies it.
func (r *Replica) followStore(ctx context.Context, sub Subscription) {
	w := &watcher{replica: r, sub: sub, storeAvailable: true}
	r.awaitRelay(ctx)
	for ctx.Err() == nil {
		if r.isRelayed(time.Now()) {
			w.listed = true
			w.reportAvailability(nil)
			sleep.For(ctx, relayCheckInterval)
			continue
		}
		sleep.For(ctx, w.pollStore(ctx))
	}
}

// pollStore calls the store once and returns the time until the next call.
func (w *watcher) pollStore(ctx context.Context) time.Duration {
	interval := w.replica.probeInterval()
	if !w.replica.breaker.allow(time.Now(), interval) {
		w.logDeferral()
		return relayCheckInterval
	}
	w.deferred = false
	err := w.fetch(ctx)
	if errors.Is(err, objects.ErrHistoryGone) {
		w.listed = false
		w.replica.breaker.record(w.sub.Kind, true, time.Now(), interval)
		w.replica.log.Info().Str("event", "store.history_gone").Str("kind", w.sub.Kind).Send()
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		w.replica.setUnconfirmed(w.sub.Kind, true)
	}
	w.reportAvailability(err)
	w.replica.breaker.record(w.sub.Kind, err == nil, time.Now(), interval)
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

// fetch lists the kind or watches it once.
func (w *watcher) fetch(ctx context.Context) error {
	from, hasCopy := w.replica.cache.Revision(w.sub.Kind)
	if !hasCopy || !w.listed {
		return w.list(ctx, from)
	}
	events, to, err := w.replica.store.Watch(ctx, w.sub.Kind, from, w.sub.WatchTimeout)
	if err != nil {
		return err
	}
	w.replica.apply(w.sub, false, nil, events, from, to, time.Now())
	return nil
}

func (w *watcher) list(ctx context.Context, knownRevision int64) error {
	sent := time.Now()
	all, revision, err := w.replica.store.List(ctx, w.sub.Kind)
	if err != nil {
		return err
	}
	if revision < knownRevision {
		return fmt.Errorf("%w: listed revision %d is older than cached revision %d", objects.ErrUnavailable, revision, knownRevision)
	}
	w.replica.apply(w.sub, true, all, nil, 0, revision, sent)
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
