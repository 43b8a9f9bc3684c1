package objects

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func TestOlderListChangesNothing(t *testing.T) {
	c := NewCache()
	c.Replace("k", []Object{{Name: "a", Revision: 5}}, 5, now)
	if c.Replace("k", nil, 4, now) {
		t.Error("a list of revision 4 replaced one of revision 5")
	}
	if all, _, _ := c.List("k"); len(all) != 1 {
		t.Errorf("holds %v", all)
	}
}

func TestChangesThatDoNotFollowAreRefused(t *testing.T) {
	c := NewCache()
	if c.Apply("k", nil, 0, 1, now) {
		t.Error("changes of an unknown kind were taken")
	}
	c.Replace("k", nil, 5, now)
	if c.Apply("k", nil, 4, 6, now) || c.Apply("k", nil, 6, 7, now) {
		t.Error("changes from another revision were taken")
	}
}

func TestForgottenHistoryIsSaidSo(t *testing.T) {
	c := NewCache()
	c.Replace("k", nil, 5, now)
	if _, _, err := c.ChangesSince("k", 4); !errors.Is(err, ErrHistoryGone) {
		t.Errorf("got %v", err)
	}
	for i := range int64(maxEvents + 10) {
		c.Apply("k", []Event{{Object: Object{Name: fmt.Sprint(i), Revision: 6 + i}}}, 5+i, 6+i, now)
	}
	if _, _, err := c.ChangesSince("k", 5); !errors.Is(err, ErrHistoryGone) {
		t.Errorf("after %d changes: %v", maxEvents+10, err)
	}
	if events, _, err := c.ChangesSince("k", 5+20); err != nil || len(events) != maxEvents-10 {
		t.Errorf("%d events, %v", len(events), err)
	}
}

// TestCopyOfACopyAgrees plays changes at a store, a cache that follows it,
// and a second cache that follows either of both by turns.
func TestCopyOfACopyAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]Object{}
		var history []Event
		var by []int64
		revision := int64(1)
		first, second := NewCache(), NewCache()
		first.Replace("k", nil, revision, now)
		second.Replace("k", nil, revision, now)
		sinceStore := func(from int64) []Event {
			var events []Event
			for i, e := range history {
				if by[i] > from {
					events = append(events, e)
				}
			}
			return events
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				if old, ok := store[name]; ok && rapid.Bool().Draw(t, "delete") {
					delete(store, name)
					// The event of a removal carries the object as it was.
					history = append(history, Event{Object: old, Deleted: true})
				} else {
					store[name] = Object{Name: name, Revision: revision}
					history = append(history, Event{Object: store[name]})
				}
				by = append(by, revision)
			case 1:
				from, _ := first.Revision("k")
				first.Apply("k", sinceStore(from), from, revision, now)
			case 2:
				from, _ := second.Revision("k")
				second.Apply("k", sinceStore(from), from, revision, now)
			case 3:
				from, _ := second.Revision("k")
				if events, to, err := first.ChangesSince("k", from); err == nil {
					second.Apply("k", events, from, to, now)
				}
			}
		}
		from, _ := second.Revision("k")
		second.Apply("k", sinceStore(from), from, revision, now)
		all, _, _ := second.List("k")
		got := map[string]int64{}
		for _, o := range all {
			got[o.Name] = o.Revision
		}
		want := map[string]int64{}
		for name, o := range store {
			want[name] = o.Revision
		}
		if !maps.Equal(got, want) {
			t.Fatalf("copy holds %v, store %v", got, want)
		}
	})
}
