// Package platformwrite writes objects to the platform so that each write
// takes effect at most once, also when its answer is lost.
//
// A write names the version it replaces. When its answer is lost the same
// write is sent again: either the first took no effect and the second does,
// or the second meets a conflict with the very data that was to be written
// and is recognised as done. Data that two writers could write alike has to
// hold something that tells them apart, such as a Nonce.
package platformwrite

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"bilberrytiller.example/tiller/coordination/platform"
)

// RateLimit bounds the calls that one daemon makes to write.
type RateLimit struct {
	// CallsPerSecond is how many calls a daemon makes in the long run, Burst
	// how many at once.
	CallsPerSecond float64
	Burst          int
}

// Backoff says how long to wait between two tries of a write.
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
}

const (
	// backoffFactor is by how much each wait exceeds the one before.
	backoffFactor = 2
	// backoffJitter is the part of a wait that is left to chance, so that the
	// daemons do not all come back in one moment after an outage.
	backoffJitter = 0.5
)

// Nonce returns a text that no other write holds.
func Nonce() string { return rand.Text() }

// UnknownOutcomeError says that a write was given up with its outcome unknown: it
// may have taken effect, or may still do so.
type UnknownOutcomeError struct {
	Kind, Name string
	Err        error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("write of %s/%s may have taken effect: %v", e.Kind, e.Name, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Writer writes to the platform within a budget. It is safe for concurrent
// use.
type Writer struct {
	client  platform.Client
	limiter *rate.Limiter
	backoff Backoff
}

// New returns a writer. All writes of a daemon share one.
func New(client platform.Client, budget RateLimit, wait Backoff) *Writer {
	return &Writer{
		client:  client,
		limiter: rate.NewLimiter(rate.Limit(budget.CallsPerSecond), budget.Burst),
		backoff: wait,
	}
}

// Put writes an object if it stands at ifVersion, 0 for one that must not
// exist, and returns its new version. It tries until ctx ends. It fails with
// a *platform.ConflictError if another write came first, and with an
// *UnknownError if an answer was lost and what followed does not tell whether
// the write took effect.
func (w *Writer) Put(ctx context.Context, kind, name string, ifVersion uint64, data []byte) (uint64, error) {
	unclear := false
	version, err := retry(ctx, w, func() (uint64, error) {
		version, err := w.client.Put(ctx, kind, name, ifVersion, data)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) && unclear && conflict.Current.Version > ifVersion && equal(conflict.Current.Data, data) {
			return conflict.Current.Version, nil
		}
		unclear = unclear || mayHaveTakenEffect(err)
		return version, err
	})
	return version, outcome(err, unclear, kind, name)
}

// Delete deletes an object if it stands at ifVersion, and returns the version
// of the deletion. It fails as Put does. An object that is gone after a lost
// answer counts as deleted, at version 0 for a version that is not known.
func (w *Writer) Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error) {
	unclear := false
	version, err := retry(ctx, w, func() (uint64, error) {
		version, err := w.client.Delete(ctx, kind, name, ifVersion)
		if errors.Is(err, platform.ErrNotFound) && unclear {
			return 0, nil
		}
		unclear = unclear || mayHaveTakenEffect(err)
		return version, err
	})
	return version, outcome(err, unclear, kind, name)
}

// Update reads an object and writes what change makes of it, anew after each
// conflict, until a write takes effect. The object has Version 0 if there is
// none. An error of change ends it.
func (w *Writer) Update(ctx context.Context, kind, name string, change func(platform.Object) ([]byte, error)) (uint64, error) {
	for {
		current, err := w.get(ctx, kind, name)
		if err != nil {
			return 0, err
		}
		data, err := change(current)
		if err != nil {
			return 0, err
		}
		version, err := w.Put(ctx, kind, name, current.Version, data)
		var unknown *UnknownOutcomeError
		var conflict *platform.ConflictError
		if errors.As(err, &unknown) || !errors.As(err, &conflict) {
			return version, err
		}
	}
}

func (w *Writer) get(ctx context.Context, kind, name string) (platform.Object, error) {
	return retry(ctx, w, func() (platform.Object, error) {
		obj, err := w.client.Get(ctx, kind, name)
		if errors.Is(err, platform.ErrNotFound) {
			return platform.Object{Kind: kind, Name: name}, nil
		}
		return obj, err
	})
}

// retry calls until the platform has decided, within the budget.
func retry[T any](ctx context.Context, w *Writer, call func() (T, error)) (T, error) {
	return backoff.Retry(ctx, func() (T, error) {
		if err := w.limiter.Wait(ctx); err != nil {
			var none T
			return none, backoff.Permanent(fmt.Errorf("budget of calls: %w", err))
		}
		out, err := call()
		if err != nil && decided(err) {
			return out, backoff.Permanent(err)
		}
		return out, err
	}, backoff.WithBackOff(w.waits()), backoff.WithMaxElapsedTime(0))
}

func (w *Writer) waits() backoff.BackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     w.backoff.Initial,
		RandomizationFactor: backoffJitter,
		Multiplier:          backoffFactor,
		MaxInterval:         w.backoff.Max,
	}
}

// decided reports whether a call's outcome is known: it took effect, or the
// platform refused it.
func decided(err error) bool {
	var conflict *platform.ConflictError
	var refusal interface{ Refused() bool }
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, platform.ErrNotFound):
		return true
	}
	return errors.As(err, &refusal) && refusal.Refused()
}

// mayHaveTakenEffect reports whether a write may have reached the platform
// without its outcome being known.
func mayHaveTakenEffect(err error) bool {
	return !decided(err) && !errors.Is(err, platform.ErrNotSent)
}

// outcome names the outcome of a write. What the platform says after a lost
// answer does not tell what became of the write that lost it.
func outcome(err error, unclear bool, kind, name string) error {
	if err == nil || !unclear {
		return err
	}
	return &UnknownOutcomeError{Kind: kind, Name: name, Err: err}
}

// equal reports whether two JSON documents are the same but for white space.
func equal(a, b []byte) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return bytes.Equal(a, b)
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
