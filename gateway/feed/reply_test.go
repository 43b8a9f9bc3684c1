package feed

import (
	"context"
	"errors"
	"net/netip"
	"testing"

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
		sub.OnList = func([]objects.Object) { applied = append(applied, kind) }
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
