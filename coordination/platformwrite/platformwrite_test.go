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

// fake is a platform that holds one object. Each entry of faults is what
// goes wrong with one write.
type fake struct {
	platform.Client
	object platform.Object
	faults []fault
	calls  []time.Time
}

type fault int

const (
	none fault = iota
	// refused is a write that never arrives, lost one whose answer is lost.
	refused
	lost
	// overtaken is a lost one after which another writer writes.
	overtaken
)

func (f *fake) next() fault {
	f.calls = append(f.calls, time.Now())
	if len(f.faults) == 0 {
		return none
	}
	first := f.faults[0]
	f.faults = f.faults[1:]
	return first
}

func (f *fake) Get(context.Context, string, string) (platform.Object, error) {
	if f.object.Version == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return f.object, nil
}

func (f *fake) Put(_ context.Context, kind, name string, ifVersion uint64, data []byte) (uint64, error) {
	what := f.next()
	if what == refused {
		return 0, platform.ErrUnavailable
	}
	if f.object.Version != ifVersion {
		return 0, &platform.ConflictError{ExpectedVersion: ifVersion, Current: f.object}
	}
	f.object = platform.Object{Kind: kind, Name: name, Version: ifVersion + 1, Data: data}
	switch what {
	case lost:
		return 0, platform.ErrUnavailable
	case overtaken:
		f.object.Version++
		f.object.Data = []byte(`"another"`)
		return 0, platform.ErrUnavailable
	}
	return f.object.Version, nil
}

func (f *fake) Delete(_ context.Context, _, _ string, ifVersion uint64) (uint64, error) {
	what := f.next()
	if f.object.Version == 0 {
		return 0, platform.ErrNotFound
	}
	if f.object.Version != ifVersion {
		return 0, &platform.ConflictError{ExpectedVersion: ifVersion, Current: f.object}
	}
	f.object = platform.Object{}
	if what == lost {
		return 0, platform.ErrUnavailable
	}
	return ifVersion + 1, nil
}

var (
	wide  = RateLimit{CallsPerSecond: 1000, Burst: 100}
	waits = Backoff{Initial: 100 * time.Millisecond, Max: 2 * time.Second}
)

func within(t *testing.T, limit time.Duration) context.Context {
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
		"no fault":             {nil, 1, nil},
		"unavailable":          {[]fault{refused, refused}, 1, nil},
		"lost answer":          {[]fault{lost}, 1, nil},
		"lost, then down":      {[]fault{lost, refused, refused}, 1, nil},
		"lost, then overtaken": {[]fault{overtaken}, 0, &UnknownOutcomeError{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{faults: c.faults}
				got, err := New(f, wide, waits).Put(within(t, time.Minute), "report", "a", 0, []byte(`{"n": 1}`))
				var unknown *UnknownOutcomeError
				if got != c.want || (err != nil) != (c.err != nil) || err != nil && !errors.As(err, &unknown) {
					t.Errorf("got version %d, %v; want %d, %T", got, err, c.want, c.err)
				}
			})
		})
	}
}

func TestPutOverAnotherWriteIsAConflict(t *testing.T) {
	f := &fake{object: platform.Object{Version: 7, Data: []byte(`{"n":1}`)}}
	_, err := New(f, wide, waits).Put(t.Context(), "report", "a", 6, []byte(`{"n": 1}`))
	var conflict *platform.ConflictError
	var unknown *UnknownOutcomeError
	if !errors.As(err, &conflict) || errors.As(err, &unknown) {
		t.Errorf("got %v, want a conflict: equal data of another writer is not this write", err)
	}
}

func TestPutGivenUpIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{faults: make([]fault, 1000)}
		for i := range f.faults {
			f.faults[i] = refused
		}
		_, err := New(f, wide, waits).Put(within(t, time.Minute), "report", "a", 0, []byte(`1`))
		var unknown *UnknownOutcomeError
		if !errors.As(err, &unknown) {
			t.Errorf("got %v, want the outcome unknown", err)
		}
		if n := len(f.calls); n < 20 || n > 100 {
			t.Errorf("%d calls in a minute, want waits that grow up to %v", n, waits.Max)
		}
	})
}

func TestDeleteAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{object: platform.Object{Version: 3}, faults: []fault{lost}}
		w := New(f, wide, waits)
		if _, err := w.Delete(within(t, time.Minute), "report", "a", 3); err != nil {
			t.Errorf("delete with a lost answer: %v", err)
		}
		if _, err := w.Delete(within(t, time.Minute), "report", "a", 3); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("delete of no object: %v", err)
		}
	})
}

func TestChangeIsAppliedOnce(t *testing.T) {
	for name, faults := range map[string][]fault{"lost": {lost}, "refused": {refused}, "both": {refused, lost, refused}} {
		synctest.Test(t, func(t *testing.T) {
			f := &fake{object: platform.Object{Version: 1, Data: []byte("10")}, faults: faults}
			_, err := New(f, wide, waits).Update(within(t, time.Minute), "lease", "a", increment)
			if err != nil || string(f.object.Data) != "11" {
				t.Errorf("%s: %s, %v; want 11", name, f.object.Data, err)
			}
		})
	}
}

func TestChangeWithUnknownOutcomeIsNotAppliedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{object: platform.Object{Version: 1, Data: []byte("10")}, faults: []fault{overtaken}}
		_, err := New(f, wide, waits).Update(within(t, time.Minute), "lease", "a", increment)
		var unknown *UnknownOutcomeError
		if !errors.As(err, &unknown) || string(f.object.Data) != `"another"` {
			t.Errorf("%s, %v; want the outcome unknown", f.object.Data, err)
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

func TestBudgetBoundsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{}
		w := New(f, RateLimit{CallsPerSecond: 2, Burst: 3}, waits)
		began := time.Now()
		for i := range 13 {
			if _, err := w.Put(t.Context(), "report", "a", uint64(i), []byte("1")); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 5*time.Second {
			t.Errorf("13 calls took %v, want 3 at once and 2 a second", took)
		}
	})
}
