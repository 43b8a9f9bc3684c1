package feed

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/objects"
	"bilberrytiller.example/tiller/coordination/relay"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/protocol/wire"
)

// TestReplyForOtherKindIsRefused guards against a reply whose parts are of other kinds
// than the parts of the call: the objects of one kind were applied as those of another.
func TestReplyForOtherKindIsRefused(t *testing.T) {
	var applied []string
	subscription := func(kind string) Subscription {
		sub := watchedKind(kind, watchSlack)
		sub.OnList = func([]objects.Object, objects.Position) { applied = append(applied, kind) }
		return sub
	}
	swapped := func(context.Context, netip.AddrPort, *wire.ObjectsCall) (*wire.ObjectsReply, error) {
		return &wire.ObjectsReply{Kinds: []wire.KindReply{
			{Kind: "servers", Full: true, Revision: 7, Objects: []objects.Object{{Name: "i-1"}}},
			{Kind: "config", Full: true, Revision: 7, Objects: []objects.Object{{Name: "main"}}},
		}}, nil
	}
	kinds := []Subscription{subscription("config"), subscription("servers")}
	hooks := FailureHooks{Local: func() []upstream.FailureCount { return nil }, ApplyRegional: func([]upstream.FailureCount) {}}
	r := New(Settings{Self: relay.Member{ID: "a"}}, &storeClient{fakeStore: newFakeStore()}, kinds, hooks, swapped, zerolog.Nop())
	err := r.pollDaemon(context.Background(), "10.0.0.2:1", true)
	if !errors.Is(err, objects.ErrUnknownKind) {
		t.Errorf("got error %v, want ErrUnknownKind", err)
	}
	if len(applied) > 0 || r.isSupplied(kinds[0], r.startedAt) {
		t.Errorf("applied lists of kinds %v, want none", applied)
	}
}

// restoreTo restores the store from a copy that has only the given objects.
func (s *fakeStore) restoreTo(revision int64, all map[string]objects.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.revision, s.objects, s.events = s.era+1, revision, all, nil
}

// TestFleetFollowsRestoredStore guards against changes that no daemon puts in force since
// the store, restored from an older copy, gives out lower revisions than before. One
// relay is cut off from the store meanwhile and still has the earlier era.
func TestFleetFollowsRestoredStore(t *testing.T) {
	for cut := range 3 {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			for i := range 300 {
				s.put(fmt.Sprint("lost", i))
			}
			fleet := startFleet(t, s, fleetZones()...)
			defer fleet.stop()
			time.Sleep(5 * time.Second)
			cutOff := fmt.Sprint("d", cut)
			s.mu.Lock()
			fleet.clients[cutOff].partitioned, fleet.clients[cutOff].silent = true, true
			s.mu.Unlock()
			s.restoreTo(2, map[string]objects.Object{})
			s.put("a")
			time.Sleep(stableWindow)
			for _, id := range fleet.lagging("a") {
				if id != cutOff {
					t.Errorf("%s cut off: %s lacks a change made %s ago", cutOff, id, stableWindow)
				}
			}
			if held := len(fleet.members) - len(fleet.lagging("lost0")); held > 1 {
				t.Errorf("%s cut off: %d daemons still have the state before the restoration", cutOff, held)
			}
		})
	}
}

// TestRelayOfEarlierEraIsLeft guards against a daemon that takes the old state of a relay
// that has not noticed the new era, or that waits for it.
func TestRelayOfEarlierEraIsLeft(t *testing.T) {
	reply := wire.KindReply{Kind: changingKind, Full: true, Era: 1, Revision: 900, Objects: []objects.Object{{Name: "old"}}}
	call := func(context.Context, netip.AddrPort, *wire.ObjectsCall) (*wire.ObjectsReply, error) {
		return &wire.ObjectsReply{Kinds: []wire.KindReply{reply}}, nil
	}
	hooks := FailureHooks{Local: func() []upstream.FailureCount { return nil }, ApplyRegional: func([]upstream.FailureCount) {}}
	kind := watchedKind(changingKind, watchSlack)
	r := New(Settings{Self: relay.Member{ID: "a"}}, &storeClient{fakeStore: newFakeStore()}, []Subscription{kind}, hooks, call, zerolog.Nop())
	r.apply(kind, update{full: true, to: objects.Position{Era: 2, Revision: 5}, confirmed: time.Now()})
	if err := r.pollDaemon(context.Background(), "10.0.0.2:1", true); !errors.Is(err, ErrStale) {
		t.Errorf("got error %v, want ErrStale", err)
	}
	if all, _, _ := r.cache.List(changingKind); len(all) > 0 || r.isSupplied(kind, time.Now()) {
		t.Errorf("daemon has %v, supplied %t, from a relay of an earlier era", all, r.isSupplied(kind, time.Now()))
	}
}

// TestRelayTellsWhatEachCallerCanUse guards against a daemon of an earlier era that gets
// no list, one of a later era that gets an old one, and one that knows no eras and gets
// the whole list with each reply.
func TestRelayTellsWhatEachCallerCanUse(t *testing.T) {
	hooks := FailureHooks{Local: func() []upstream.FailureCount { return nil }, ApplyRegional: func([]upstream.FailureCount) {}}
	kind := watchedKind(changingKind, watchSlack)
	r := New(Settings{Self: relay.Member{ID: "a"}}, &storeClient{fakeStore: newFakeStore()}, []Subscription{kind}, hooks, nil, zerolog.Nop())
	r.apply(kind, update{full: true, objects: []objects.Object{{Name: "o"}}, to: objects.Position{Era: 2, Revision: 5}, confirmed: time.Now()})
	for name, c := range map[string]struct {
		call wire.KindCall
		full bool
	}{
		"earlier era": {wire.KindCall{Era: 1, HasEra: true, Revision: 9, HasRevision: true}, true},
		"same":        {wire.KindCall{Era: 2, HasEra: true, Revision: 5, HasRevision: true}, false},
		"later era":   {wire.KindCall{Era: 3, HasEra: true, Revision: 1, HasRevision: true}, false},
		"no eras":     {wire.KindCall{Revision: 5, HasRevision: true}, false},
		"nothing":     {wire.KindCall{HasEra: true}, true},
	} {
		c.call.Kind = changingKind
		if got := r.replyForKind(c.call); got.Full != c.full || got.Unknown || got.Era != 2 {
			t.Errorf("%s: got %+v, want full %t", name, got, c.full)
		}
	}
}
