// Package platformwrite writes objects to the platform such that each write
// takes effect at most once, even if the response is lost.
//
// Every write is conditional on the version that it replaces. When the response
// is lost, the same write is sent again. Either the first attempt had no effect
// and the second succeeds, or the second fails with a conflict whose current
// data equals the data to be written, which shows that the first succeeded. If
// two writers could produce identical data, the data must include something
// that distinguishes them, such as a Nonce.
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

// RateLimit limits the rate of a daemon's calls to the platform.
type RateLimit struct {
	// CallsPerSecond is the sustained rate of calls, Burst the number of calls
	// allowed at once.
	CallsPerSecond float64
	Burst          int
}

// Backoff holds the initial and the maximum delay between two attempts of a
// write.
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
}

const (
	// backoffFactor is the factor by which the delay grows with each attempt.
	backoffFactor = 2
	// backoffJitter is the randomised fraction of each delay. It prevents all
	// daemons from retrying at the same moment after an outage.
	backoffJitter = 0.5
)

// Nonce returns a random string to make a write unique.
func Nonce() string { return rand.Text() }

// UnknownOutcomeError reports that a write was abandoned with its outcome
// unknown: it may have taken effect or may still do so.
type UnknownOutcomeError struct {
	Kind, Name string
	Err        error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("write of %s/%s may have taken effect: %v", e.Kind, e.Name, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Writer performs rate-limited writes to the platform. It is safe for
// concurrent use.
type Writer struct {
	client  platform.Client
	limiter *rate.Limiter
	backoff Backoff
}

// New returns a writer. All writes of a daemon must share one writer so that
// the rate limit applies to their total.
func New(client platform.Client, limit RateLimit, delays Backoff) *Writer {
	return &Writer{
		client:  client,
		limiter: rate.NewLimiter(rate.Limit(limit.CallsPerSecond), limit.Burst),
		backoff: delays,
	}
}

// Put writes an object if its current version is ifVersion, where 0 means that
// the object must not exist, and returns the new version. It retries until ctx
// ends. It fails with a *platform.ConflictError if another write came first,
// and with an *UnknownOutcomeError if a response was lost and later responses
// do not show whether the write took effect.
func (w *Writer) Put(ctx context.Context, kind, name string, ifVersion uint64, data []byte) (uint64, error) {
	outcomeUnknown := false
	version, err := retry(ctx, w, func() (uint64, error) {
		version, err := w.client.Put(ctx, kind, name, ifVersion, data)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) && outcomeUnknown && conflict.Current.Version > ifVersion && equalJSON(conflict.Current.Data, data) {
			return conflict.Current.Version, nil
		}
		outcomeUnknown = outcomeUnknown || mayHaveTakenEffect(err)
		return version, err
	})
	return version, writeError(err, outcomeUnknown, kind, name)
}

// Delete deletes an object if its current version is ifVersion, and returns the
// version of the deletion. It fails in the same ways as Put. If the object does
// not exist after a response was lost, Delete reports success with version 0,
// because the version of the deletion is not known.
func (w *Writer) Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error) {
	outcomeUnknown := false
	version, err := retry(ctx, w, func() (uint64, error) {
		version, err := w.client.Delete(ctx, kind, name, ifVersion)
		if errors.Is(err, platform.ErrNotFound) && outcomeUnknown {
			return 0, nil
		}
		outcomeUnknown = outcomeUnknown || mayHaveTakenEffect(err)
		return version, err
	})
	return version, writeError(err, outcomeUnknown, kind, name)
}

// Update reads an object, applies change to it and writes the result. It
// repeats this after each conflict until a write takes effect. The object has
// Version 0 if it does not exist. An error of change ends the update.
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

// retry repeats a rate-limited call with backoff until its outcome is known or
// ctx ends.
func retry[T any](ctx context.Context, w *Writer, call func() (T, error)) (T, error) {
	return backoff.Retry(ctx, func() (T, error) {
		if err := w.limiter.Wait(ctx); err != nil {
			var none T
			return none, backoff.Permanent(fmt.Errorf("platform rate limit: %w", err))
		}
		out, err := call()
		if err != nil && outcomeKnown(err) {
			return out, backoff.Permanent(err)
		}
		return out, err
	}, backoff.WithBackOff(w.newBackOff()), backoff.WithMaxElapsedTime(0))
}

func (w *Writer) newBackOff() backoff.BackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     w.backoff.Initial,
		RandomizationFactor: backoffJitter,
		Multiplier:          backoffFactor,
		MaxInterval:         w.backoff.Max,
	}
}

// outcomeKnown reports whether the outcome of a call is known: it succeeded, or
// the platform rejected it.
func outcomeKnown(err error) bool {
	var conflict *platform.ConflictError
	var refusal interface{ Refused() bool }
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, platform.ErrNotFound):
		return true
	}
	return errors.As(err, &refusal) && refusal.Refused()
}

// mayHaveTakenEffect reports whether a failed write may have reached the
// platform.
func mayHaveTakenEffect(err error) bool {
	return !outcomeKnown(err) && !errors.Is(err, platform.ErrNotSent)
}

// writeError wraps the error of a write in an UnknownOutcomeError if an earlier
// response was lost, because later responses then do not show whether the first
// attempt took effect.
func writeError(err error, outcomeUnknown bool, kind, name string) error {
	if err == nil || !outcomeUnknown {
		return err
	}
	return &UnknownOutcomeError{Kind: kind, Name: name, Err: err}
}

// equalJSON reports whether two JSON documents are equal apart from white
// space.
func equalJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return bytes.Equal(a, b)
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
