package platformwrite

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bilberrytiller.example/tiller/coordination/platform"
)

// fakePlatform is a platform that holds one object. Each element of faults is
// the fault to inject into one write.
type fakePlatform struct {
	platform.Client
	object platform.Object
	faults []fault
	calls  []time.Time
}

type fault int

const (
	noFault fault = iota
	// notReceived drops the write; answerLost applies it but drops the
	// response.
	notReceived
	answerLost
	// overtaken applies the write and drops the response, and then another
	// writer writes.
	overtaken
)

func (f *fakePlatform) nextFault() fault {
	f.calls = append(f.calls, time.Now())
	if len(f.faults) == 0 {
		return noFault
	}
	first := f.faults[0]
	f.faults = f.faults[1:]
	return first
}

func (f *fakePlatform) Get(context.Context, string, string) (platform.Object, error) {
	if f.object.Version == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return f.object, nil
}

func (f *fakePlatform) Put(_ context.Context, kind, name string, ifVersion uint64, data []byte) (uint64, error) {
	injected := f.nextFault()
	if injected == notReceived {
		return 0, platform.ErrUnavailable
	}
	if f.object.Version != ifVersion {
		return 0, &platform.ConflictError{ExpectedVersion: ifVersion, Current: f.object}
	}
	f.object = platform.Object{Kind: kind, Name: name, Version: ifVersion + 1, Data: data}
	switch injected {
	case answerLost:
		return 0, platform.ErrUnavailable
	case overtaken:
		f.object.Version++
		f.object.Data = []byte(`"another"`)
		return 0, platform.ErrUnavailable
	}
	return f.object.Version, nil
}

func (f *fakePlatform) Delete(_ context.Context, _, _ string, ifVersion uint64) (uint64, error) {
	injected := f.nextFault()
	if f.object.Version == 0 {
		return 0, platform.ErrNotFound
	}
	if f.object.Version != ifVersion {
		return 0, &platform.ConflictError{ExpectedVersion: ifVersion, Current: f.object}
	}
	f.object = platform.Object{}
	if injected == answerLost {
		return 0, platform.ErrUnavailable
	}
	return ifVersion + 1, nil
}

var (
	highLimit   = RateLimit{CallsPerSecond: 1000, Burst: 100}
	testBackoff = Backoff{Initial: 100 * time.Millisecond, Max: 2 * time.Second}
)

func contextWithTimeout(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestPutAfterFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults []fault
		want   uint64
		err    error
	}{
		"no fault":                          {nil, 1, nil},
		"platform unavailable":              {[]fault{notReceived, notReceived}, 1, nil},
		"response lost":                     {[]fault{answerLost}, 1, nil},
		"response lost, then unavailable":   {[]fault{answerLost, notReceived, notReceived}, 1, nil},
		"response lost, then another write": {[]fault{overtaken}, 0, &UnknownOutcomeError{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakePlatform{faults: c.faults}
				got, err := New(f, highLimit, testBackoff).Put(contextWithTimeout(t, time.Minute), "report", "a", 0, []byte(`{"n": 1}`))
				var unknown *UnknownOutcomeError
				if got != c.want || (err != nil) != (c.err != nil) || err != nil && !errors.As(err, &unknown) {
					t.Errorf("got version %d, %v; want %d, %T", got, err, c.want, c.err)
				}
			})
		})
	}
}

func TestPutAfterAnotherWriteReturnsConflict(t *testing.T) {
	f := &fakePlatform{object: platform.Object{Version: 7, Data: []byte(`{"n":1}`)}}
	_, err := New(f, highLimit, testBackoff).Put(t.Context(), "report", "a", 6, []byte(`{"n": 1}`))
	var conflict *platform.ConflictError
	var unknown *UnknownOutcomeError
	if !errors.As(err, &conflict) || errors.As(err, &unknown) {
		t.Errorf("got %v, want a conflict, because equal data from another writer does not prove that this write took effect", err)
	}
}

func TestPutThatTimesOutHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{faults: make([]fault, 1000)}
		for i := range f.faults {
			f.faults[i] = notReceived
		}
		_, err := New(f, highLimit, testBackoff).Put(contextWithTimeout(t, time.Minute), "report", "a", 0, []byte(`1`))
		var unknown *UnknownOutcomeError
		if !errors.As(err, &unknown) {
			t.Errorf("got %v, want an UnknownOutcomeError", err)
		}
		if n := len(f.calls); n < 20 || n > 100 {
			t.Errorf("%d calls in a minute, want 20 to 100 with a backoff that grows to %v", n, testBackoff.Max)
		}
	})
}

func TestDeleteAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{object: platform.Object{Version: 3}, faults: []fault{answerLost}}
		w := New(f, highLimit, testBackoff)
		if _, err := w.Delete(contextWithTimeout(t, time.Minute), "report", "a", 3); err != nil {
			t.Errorf("delete whose response was lost: %v", err)
		}
		if _, err := w.Delete(contextWithTimeout(t, time.Minute), "report", "a", 3); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("delete of a missing object: got %v, want ErrNotFound", err)
		}
	})
}

func TestUpdateIsAppliedOnce(t *testing.T) {
	for name, faults := range map[string][]fault{"response lost": {answerLost}, "not received": {notReceived}, "both": {notReceived, answerLost, notReceived}} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakePlatform{object: platform.Object{Version: 1, Data: []byte("10")}, faults: faults}
			_, err := New(f, highLimit, testBackoff).Update(contextWithTimeout(t, time.Minute), "lease", "a", increment)
			if err != nil || string(f.object.Data) != "11" {
				t.Errorf("%s: %s, %v; want 11", name, f.object.Data, err)
			}
		})
	}
}

func TestUpdateWithUnknownOutcomeIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{object: platform.Object{Version: 1, Data: []byte("10")}, faults: []fault{overtaken}}
		_, err := New(f, highLimit, testBackoff).Update(contextWithTimeout(t, time.Minute), "lease", "a", increment)
		var unknown *UnknownOutcomeError
		if !errors.As(err, &unknown) || string(f.object.Data) != `"another"` {
			t.Errorf("%s, %v; want an UnknownOutcomeError and the data of the other writer", f.object.Data, err)
		}
	})
}

func increment(obj platform.Object) ([]byte, error) {
	var n int
	if _, err := fmt.Sscan(string(obj.Data), &n); err != nil {
		return nil, err
	}
	return fmt.Append(nil, n+1), nil
}

func TestRateLimitBoundsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{}
		w := New(f, RateLimit{CallsPerSecond: 2, Burst: 3}, testBackoff)
		began := time.Now()
		for i := range 13 {
			if _, err := w.Put(t.Context(), "report", "a", uint64(i), []byte("1")); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 5*time.Second {
			t.Errorf("13 calls took %v, want 5s: a burst of 3, then 2 per second", took)
		}
	})
}
