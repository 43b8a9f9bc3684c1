package feed

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/objects"
	"bilberrytiller.example/tiller/coordination/relay"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/protocol/wire"
)

// replicaWith returns a replica with a copy of changingKind.
func replicaWith(all []objects.Object, at objects.Position) *Replica {
	hooks := FailureHooks{Local: func() []upstream.FailureCount { return nil }, ApplyRegional: func([]upstream.FailureCount) {}}
	kind := watchedKind(changingKind, watchSlack)
	r := New(Settings{Self: relay.Member{ID: "a"}}, &storeClient{fakeStore: newFakeStore()}, []Subscription{kind}, hooks, nil, zerolog.Nop())
	r.apply(kind, update{full: true, objects: all, to: at, confirmed: time.Now()})
	return r
}

// TestLargeSpecsArriveAsTheyWere guards against a spec that is lost or changed on its way,
// to a daemon that reads compressed ones and to an earlier one that does not.
func TestLargeSpecsArriveAsTheyWere(t *testing.T) {
	specs := map[string][]byte{"small": []byte("{}"), "large": largeSpec(1), "empty": nil}
	at := objects.Position{Era: 1, Revision: 9}
	var all []objects.Object
	for name, spec := range specs {
		all = append(all, objects.Object{Name: name, Revision: 5, Spec: spec})
	}
	sender := replicaWith(all, at)
	for name, accepts := range map[string]bool{"now": true, "earlier": false} {
		call := &wire.ObjectsCall{AcceptsPacked: accepts, Kinds: []wire.KindCall{{Kind: changingKind, HasEra: true, Era: 1}}}
		reply := sender.finishReply(call, sender.changesFor(call), time.Now())
		frame, err := wire.Encode(wire.Envelope{}, reply)
		if err != nil {
			t.Fatal(err)
		}
		if small := len(frame) < len(specs["large"])/5; small != accepts || accepts != (len(reply.Kinds[0].Packed) > 0) {
			t.Errorf("%s: the reply has %d bytes for a spec of %d", name, len(frame), len(specs["large"]))
		}
		k := reply.Kinds[0]
		if err := new(packer).unpack(&k); err != nil {
			t.Fatal(err)
		}
		for _, o := range k.Objects {
			if !bytes.Equal(o.Spec, specs[o.Name]) {
				t.Errorf("%s: spec of %s has %d bytes, want the %d that were sent", name, o.Name, len(o.Spec), len(specs[o.Name]))
			}
		}
	}
	if kept, _, _ := sender.cache.List(changingKind); len(kept) != 3 || len(kept[1].Spec) != len(specs["large"]) {
		t.Error("the sender's own copy changed")
	}
}

// TestPackedSpecIsOfItsRevision guards against a compressed spec that is sent for a later
// version of the object, or for the same revision of another era.
func TestPackedSpecIsOfItsRevision(t *testing.T) {
	var p packer
	for _, at := range []objects.Position{{Revision: 4}, {Revision: 5}, {Era: 1, Revision: 5}} {
		spec := largeSpec(at.Era*100 + at.Revision)
		k := wire.KindReply{Kind: changingKind, Era: at.Era, Objects: []objects.Object{{Name: "main", Revision: at.Revision, Spec: spec}}}
		p.pack(&k)
		if err := new(packer).unpack(&k); err != nil || !bytes.Equal(k.Objects[0].Spec, spec) {
			t.Errorf("%v: got the spec of another version, or %v", at, err)
		}
	}
}

// TestUnreadablePackIsRefused guards against a faulty reply that ends the process or counts
// as an empty object.
func TestUnreadablePackIsRefused(t *testing.T) {
	large := wire.KindReply{Kind: changingKind, Objects: []objects.Object{{Name: "main", Spec: []byte(strings.Repeat("x", wire.MaxFrameBytes+1))}}}
	new(packer).pack(&large)
	for name, packed := range map[string]wire.PackedSpec{
		"no such object": {Index: 1}, "negative": {Index: -1}, "corrupt": {Deflated: []byte("corrupt")}, "empty": {}, "too large": large.Packed[0],
	} {
		k := wire.KindReply{Kind: changingKind, Objects: make([]objects.Object, 1), Packed: []wire.PackedSpec{packed}}
		if err := new(packer).unpack(&k); !errors.Is(err, errUnreadablePack) {
			t.Errorf("%s: got %v, want errUnreadablePack", name, err)
		}
	}
}
