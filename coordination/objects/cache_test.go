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

func TestReplaceIgnoresOlderList(t *testing.T) {
	c := NewCache()
	c.Replace("k", []Object{{Name: "a", Revision: 5}}, 5, now)
	if c.Replace("k", nil, 4, now) {
		t.Error("list of revision 4 replaced that of revision 5")
	}
	if all, _, _ := c.List("k"); len(all) != 1 {
		t.Errorf("cache holds %v, want 1 object", all)
	}
}

func TestApplyRejectsRevisionGap(t *testing.T) {
	c := NewCache()
	if c.Apply("k", nil, 0, 1, now) {
		t.Error("changes to an unknown kind were applied")
	}
	c.Replace("k", nil, 5, now)
	if c.Apply("k", nil, 4, 6, now) || c.Apply("k", nil, 6, 7, now) {
		t.Error("changes from another revision were applied")
	}
}

func TestChangesSinceReportsMissingHistory(t *testing.T) {
	c := NewCache()
	c.Replace("k", nil, 5, now)
	if _, _, err := c.ChangesSince("k", 4); !errors.Is(err, ErrHistoryGone) {
		t.Errorf("got error %v, want ErrHistoryGone", err)
	}
	for i := range int64(maxEvents + 10) {
		c.Apply("k", []Event{{Object: Object{Name: fmt.Sprint(i), Revision: 6 + i}}}, 5+i, 6+i, now)
	}
	if _, _, err := c.ChangesSince("k", 5); !errors.Is(err, ErrHistoryGone) {
		t.Errorf("after %d changes: got error %v, want ErrHistoryGone", maxEvents+10, err)
	}
	if events, _, err := c.ChangesSince("k", 5+20); err != nil || len(events) != maxEvents-10 {
		t.Errorf("got %d events and error %v", len(events), err)
	}
}

// TestChainedCachesAgreeWithStore applies random changes to a store, a cache
// that follows it, and a second cache that follows either the store or the
// first cache. A cache that missed changes would differ from the store at the
// end.
func TestChainedCachesAgreeWithStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]Object{}
		var history []Event
		var revisions []int64
		revision := int64(1)
		primary, follower := NewCache(), NewCache()
		primary.Replace("k", nil, revision, now)
		follower.Replace("k", nil, revision, now)
		storeChangesSince := func(from int64) []Event {
			var events []Event
			for i, e := range history {
				if revisions[i] > from {
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
					// The event of a deletion carries the object's last state.
					history = append(history, Event{Object: old, Deleted: true})
				} else {
					store[name] = Object{Name: name, Revision: revision}
					history = append(history, Event{Object: store[name]})
				}
				revisions = append(revisions, revision)
			case 1:
				from, _ := primary.Revision("k")
				primary.Apply("k", storeChangesSince(from), from, revision, now)
			case 2:
				from, _ := follower.Revision("k")
				follower.Apply("k", storeChangesSince(from), from, revision, now)
			case 3:
				from, _ := follower.Revision("k")
				if events, to, err := primary.ChangesSince("k", from); err == nil {
					follower.Apply("k", events, from, to, now)
				}
			}
		}
		from, _ := follower.Revision("k")
		follower.Apply("k", storeChangesSince(from), from, revision, now)
		all, _, _ := follower.List("k")
		got := map[string]int64{}
		for _, o := range all {
			got[o.Name] = o.Revision
		}
		want := map[string]int64{}
		for name, o := range store {
			want[name] = o.Revision
		}
		if !maps.Equal(got, want) {
			t.Fatalf("cache holds %v, want the store's %v", got, want)
		}
	})
}
