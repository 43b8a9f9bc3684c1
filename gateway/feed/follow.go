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
	// watchPause is the time between two watches, so that changes that come
	// together cost one call. It is a twelfth of the shortest time in which a
	// change must be in force.
	watchPause = 200 * time.Millisecond
	// relayCheck is how often a daemon that another one serves looks whether
	// it still does.
	relayCheck = 100 * time.Millisecond
)

// follower follows one kind at the store.
type follower struct {
	feed *Replica
	kind Subscription
	// listed is false while the kind must be listed.
	listed   bool
	answered bool
}

// follow follows a kind at the store until ctx ends, except while another
// daemon brings it.
func (f *Replica) follow(ctx context.Context, k Subscription) {
	w := &follower{feed: f, kind: k, answered: true}
	f.awaitRelay(ctx)
	for ctx.Err() == nil {
		if f.isRelayed(time.Now()) {
			w.listed = true
			w.tell(nil)
			sleep.For(ctx, relayCheck)
			continue
		}
		sleep.For(ctx, w.step(ctx))
	}
}

// step calls the store once and returns the time until the next call.
func (w *follower) step(ctx context.Context) time.Duration {
	pause := w.feed.probePause()
	if !w.feed.probe.allow(time.Now(), pause) {
		return relayCheck
	}
	err := w.call(ctx)
	if errors.Is(err, objects.ErrHistoryGone) {
		w.listed = false
		w.feed.probe.record(true, time.Now(), pause)
		w.feed.log.Info().Str("event", "store.history_gone").Str("kind", w.kind.Kind).Send()
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	w.tell(err)
	w.feed.probe.record(err == nil, time.Now(), pause)
	return watchPause
}

// probePause is the time between calls to a store that does not answer.
func (f *Replica) probePause() time.Duration {
	if f.IsRelayRoot() {
		return probePause
	}
	return relayedProbePause
}

// call lists or watches once.
func (w *follower) call(ctx context.Context) error {
	from, known := w.feed.cache.Revision(w.kind.Kind)
	if !known || !w.listed {
		return w.list(ctx, from)
	}
	events, to, err := w.feed.store.Watch(ctx, w.kind.Kind, from, w.kind.WatchTimeout)
	if err != nil {
		return err
	}
	w.feed.take(w.kind, false, nil, events, from, to, time.Now())
	return nil
}

func (w *follower) list(ctx context.Context, known int64) error {
	sent := time.Now()
	all, revision, err := w.feed.store.List(ctx, w.kind.Kind)
	if err != nil {
		return err
	}
	if revision < known {
		return fmt.Errorf("%w: list at revision %d, known %d", objects.ErrUnavailable, revision, known)
	}
	w.feed.take(w.kind, true, all, nil, 0, revision, sent)
	w.listed = true
	return nil
}

// tell logs and passes on that the store stopped or began to answer.
func (w *follower) tell(err error) {
	up := err == nil
	if up == w.answered {
		return
	}
	w.answered = up
	hook := w.kind.OnStoreUnavailable
	if up {
		hook = w.kind.OnStoreAvailable
		w.feed.log.Info().Str("event", "store.regained").Str("kind", w.kind.Kind).Send()
	} else {
		w.feed.log.Warn().Str("event", "store.lost").Str("kind", w.kind.Kind).Err(err).Send()
	}
	if hook != nil {
		hook()
	}
}
