package objects

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

// at returns a position of the first era.
func at(revision int64) Position { return Position{Revision: revision} }

func TestReplaceIgnoresOlderList(t *testing.T) {
	c := NewCache()
	c.Replace("k", []Object{{Name: "a", Revision: 5}}, at(5), now)
	if c.Replace("k", nil, at(4), now) {
		t.Error("list of revision 4 replaced that of revision 5")
	}
	if all, _, _ := c.List("k"); len(all) != 1 {
		t.Errorf("cache holds %v, want 1 object", all)
	}
}

func TestApplyRejectsRevisionGap(t *testing.T) {
	c := NewCache()
	if c.Apply("k", nil, at(0), at(1), now) {
		t.Error("changes to an unknown kind were applied")
	}
	c.Replace("k", nil, at(5), now)
	if c.Apply("k", nil, at(4), at(6), now) || c.Apply("k", nil, at(6), at(7), now) {
		t.Error("changes from another revision were applied")
	}
}

func TestChangesSinceReportsMissingHistory(t *testing.T) {
	c := NewCache()
	c.Replace("k", nil, at(5), now)
	if _, _, err := c.ChangesSince("k", at(4)); !errors.Is(err, ErrHistoryGone) {
		t.Errorf("got error %v, want ErrHistoryGone", err)
	}
	for i := range int64(maxEvents + 10) {
		c.Apply("k", []Event{{Object: Object{Name: fmt.Sprint(i), Revision: 6 + i}}}, at(5+i), at(6+i), now)
	}
	if _, _, err := c.ChangesSince("k", at(5)); !errors.Is(err, ErrHistoryGone) {
		t.Errorf("after %d changes: got error %v, want ErrHistoryGone", maxEvents+10, err)
	}
	if events, _, err := c.ChangesSince("k", at(5+20)); err != nil || len(events) != maxEvents-10 {
		t.Errorf("got %d events and error %v", len(events), err)
	}
}

// modelStore is a store with its whole history, which can be restored from a copy.
type modelStore struct {
	at        Position
	objects   map[string]int64
	history   []Event
	revisions []int64
}

func newModelStore() *modelStore { return &modelStore{at: at(1), objects: map[string]int64{}} }

func (s *modelStore) change(name string, remove bool) {
	s.at.Revision++
	if old, ok := s.objects[name]; ok && remove {
		delete(s.objects, name)
		// The event of a deletion carries the object's last state.
		s.history = append(s.history, Event{Object: Object{Name: name, Revision: old}, Deleted: true})
	} else {
		s.objects[name] = s.at.Revision
		s.history = append(s.history, Event{Object: Object{Name: name, Revision: s.at.Revision}})
	}
	s.revisions = append(s.revisions, s.at.Revision)
}

func (s *modelStore) copy() *modelStore {
	return &modelStore{s.at, maps.Clone(s.objects), slices.Clone(s.history), slices.Clone(s.revisions)}
}

func (s *modelStore) list() []Object {
	var all []Object
	for name, revision := range s.objects {
		all = append(all, Object{Name: name, Revision: revision})
	}
	return all
}

// feed brings a cache up to date by a list or by changes, as a watch would.
func (s *modelStore) feed(c *Cache) {
	from, _ := c.Position("k")
	if from.Era != s.at.Era {
		c.Replace("k", s.list(), s.at, now)
		return
	}
	var events []Event
	for i, e := range s.history {
		if s.revisions[i] > from.Revision {
			events = append(events, e)
		}
	}
	c.Apply("k", events, from, s.at, now)
}

// relay brings a cache up to date from another one, as a daemon's reply would.
func relay(from, to *Cache) {
	after, _ := to.Position("k")
	events, end, err := from.ChangesSince("k", after)
	switch {
	case err == nil:
		to.Apply("k", events, after, end, now)
	case errors.Is(err, ErrHistoryGone):
		all, end, _ := from.List("k")
		to.Replace("k", all, end, now)
	}
}

// TestChainedCachesAgreeWithStore applies random changes to a store, a chain of caches
// that follow it, each either directly or by the cache before it, and restores the
// store from older copies. Lists of earlier eras arrive late. A cache that missed
// changes, or that took a state of an earlier era for one of a later, would differ from
// the store at the end, or go back meanwhile.
func TestChainedCachesAgreeWithStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newModelStore()
		copies := []*modelStore{store.copy()}
		chain := []*Cache{NewCache(), NewCache(), NewCache()}
		for _, c := range chain {
			c.Replace("k", nil, store.at, now)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(chain)-1).Draw(t, "cache")
			before, _ := chain[i].Position("k")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				store.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "delete"))
			case 2:
				store.feed(chain[i])
			case 3:
				relay(chain[max(0, i-1)], chain[i])
			case 4:
				copies = append(copies, store.copy())
			case 5:
				era := store.at.Era
				store = rapid.SampledFrom(copies).Draw(t, "copy").copy()
				store.at.Era = era + 1
			case 6:
				late := rapid.SampledFrom(copies).Draw(t, "late")
				chain[i].Replace("k", late.list(), late.at, now)
			}
			if after, _ := chain[i].Position("k"); after.Before(before) {
				t.Fatalf("cache %d went back from %v to %v", i, before, after)
			}
		}
		// The last one follows the chain only.
		store.feed(chain[0])
		relay(chain[0], chain[1])
		relay(chain[1], chain[2])
		for i, c := range chain {
			all, _, _ := c.List("k")
			got := map[string]int64{}
			for _, o := range all {
				got[o.Name] = o.Revision
			}
			if !maps.Equal(got, store.objects) {
				t.Fatalf("cache %d holds %v, want the store's %v", i, got, store.objects)
			}
		}
	})
}

// TestLateCallerGetsOnlyLatestVersions guards against a caller that gets every version of a
// large object that it has missed, falls further behind meanwhile, and against a cache that
// keeps them all.
func TestLateCallerGetsOnlyLatestVersions(t *testing.T) {
	c := NewCache()
	c.Replace("k", nil, at(1), now)
	for i := int64(1); i <= 100; i++ {
		c.Apply("k", []Event{{Object: Object{Name: "main", Revision: i + 1}}}, at(i), at(i+1), now)
	}
	c.Apply("k", []Event{{Object: Object{Name: "gone", Revision: 7}, Deleted: true}}, at(101), at(102), now)
	for _, after := range []int64{1, 50} {
		events, to, err := c.ChangesSince("k", at(after))
		if err != nil || to != at(102) || len(events) != 2 || events[0].Object.Revision != 101 || !events[1].Deleted {
			t.Errorf("after revision %d: got %d changes up to %v, %v, want the last one of each object", after, len(events), to, err)
		}
	}
	if kept := len(c.kinds["k"].events); kept != 2 {
		t.Errorf("%d changes of 2 objects are kept", kept)
	}
}
