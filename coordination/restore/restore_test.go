package restore

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberrytiller.example/tiller/coordination/objects"
)

func TestMain(m *testing.M) {
	// Flags on the command line are parsed later and override this.
	if err := flag.Set("rapid.seed", "35"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	start  = time.Unix(1000, 0)
	bounds = Bounds{Missing: 2 * time.Second, Reverted: 10 * time.Second}
)

func object(name string, revision int64, spec string) objects.Object {
	return objects.Object{Name: name, Revision: revision, Spec: []byte(spec)}
}

func position(era, revision int64) objects.Position {
	return objects.Position{Era: era, Revision: revision}
}

// check checks the specs in force, as a list after a call of List or Expire.
func check(t *testing.T, v *View, when, want string) {
	t.Helper()
	got := ""
	for _, o := range v.objects() {
		got += fmt.Sprintf("%s=%s ", o.Name, o.Spec)
	}
	if got != want {
		t.Errorf("%s: in force is %q, want %q", when, got, want)
	}
}

// drilledView returns a view of a store that was restored from a copy at revision 10,
// after it had drained a, added b, removed c and left d alone.
func drilledView() *View {
	v := NewView(bounds, nil)
	v.List([]objects.Object{object("a", 3, "ready"), object("c", 4, "ready"), object("d", 5, "ready")}, position(0, 10), start)
	v.Event(objects.Event{Object: object("a", 11, "draining")}, position(0, 11), start)
	v.Event(objects.Event{Object: object("b", 12, "ready")}, position(0, 12), start)
	v.Event(objects.Event{Object: object("c", 4, "ready"), Deleted: true}, position(0, 13), start)
	v.List([]objects.Object{object("a", 3, "ready"), object("c", 4, "ready"), object("d", 5, "ready")}, position(1, 10), start)
	return v
}

// TestCopyRevertsNothing guards against requests to a server that was draining or gone
// before the restoration, and against one in use that is dropped since the copy lacks it.
func TestCopyRevertsNothing(t *testing.T) {
	v := drilledView()
	check(t, v, "first list", "a=draining b=ready d=ready ")
	v.List([]objects.Object{object("a", 3, "ready"), object("c", 4, "ready"), object("d", 5, "ready")}, position(1, 10), start.Add(time.Second))
	check(t, v, "second list", "a=draining b=ready d=ready ")
}

// TestWriterEndsHold guards against a hold that outlasts what its writer wrote since.
func TestWriterEndsHold(t *testing.T) {
	v := drilledView()
	v.Event(objects.Event{Object: object("a", 11, "ready")}, position(1, 11), start)
	v.Event(objects.Event{Object: object("c", 12, "again")}, position(1, 12), start)
	check(t, v, "written again", "a=ready b=ready c=again d=ready ")
	v.List([]objects.Object{object("a", 11, "ready"), object("c", 12, "again"), object("d", 5, "ready")}, position(1, 12), start.Add(time.Second))
	check(t, v, "listed again", "a=ready b=ready c=again d=ready ")
}

// TestHoldsEnd guards against a state that stays in force although its writer never
// writes it again.
func TestHoldsEnd(t *testing.T) {
	v := drilledView()
	if events := v.Expire(start.Add(time.Second)); len(events) > 0 {
		t.Errorf("after 1 s: %v, want no changes", events)
	}
	v.Expire(start.Add(bounds.Missing))
	check(t, v, "after Missing", "a=draining d=ready ")
	v.Expire(start.Add(bounds.Reverted))
	check(t, v, "after Reverted", "a=ready c=ready d=ready ")
	if v.Held() != 0 {
		t.Errorf("%d objects are held", v.Held())
	}
}

// TestNewerContentIsTaken guards against a restarted server whose new entry is refused
// since its revision is lower than that of its old entry.
func TestNewerContentIsTaken(t *testing.T) {
	v := NewView(bounds, func(inForce, listed objects.Object) bool { return string(listed.Spec) > string(inForce.Spec) })
	v.List([]objects.Object{object("a", 30, "start-1")}, position(0, 30), start)
	v.List([]objects.Object{object("a", 11, "start-2")}, position(1, 12), start)
	check(t, v, "first list", "a=start-2 ")
}

// TestViewAgreesWithStoreAfterHolds plays stores that are restored again and again. What
// was in force must be kept while it is held, and once the holds have ended, the view must
// be the store's state.
func TestViewAgreesWithStoreAfterHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type state = map[string]objects.Object
		clone := func(s state) state {
			c := state{}
			for name, o := range s {
				c[name] = o
			}
			return c
		}
		list := func(s state) (all []objects.Object) {
			for _, o := range s {
				all = append(all, o)
			}
			return all
		}
		v, store, copied := NewView(bounds, nil), state{}, state{}
		at, copiedAt, now := position(0, 1), position(0, 1), start
		v.List(nil, at, now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			v.Expire(now)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				at.Revision++
				old, exists := store[name]
				if exists && rapid.Bool().Draw(t, "delete") {
					delete(store, name)
					v.Event(objects.Event{Object: old, Deleted: true}, at, now)
					break
				}
				store[name] = object(name, at.Revision, rapid.SampledFrom([]string{"ready", "draining"}).Draw(t, "spec"))
				v.Event(objects.Event{Object: store[name]}, at, now)
			case 2:
				copied, copiedAt = clone(store), at
			case 3:
				before := v.objects()
				store, at = clone(copied), position(at.Era+1, copiedAt.Revision)
				v.List(list(store), at, now)
				for i, o := range v.objects() {
					if len(v.objects()) != len(before) || o.Name != before[i].Name || string(o.Spec) != string(before[i].Spec) {
						t.Fatalf("in force is %v after the restoration, %v before", v.objects(), before)
					}
				}
			case 4:
				v.List(list(store), at, now)
			}
		}
		v.Expire(now.Add(bounds.Reverted))
		got := v.objects()
		if len(got) != len(store) {
			t.Fatalf("in force is %v, want the store's %v", got, store)
		}
		for _, o := range got {
			if want := store[o.Name]; want.Revision != o.Revision || string(want.Spec) != string(o.Spec) {
				t.Fatalf("in force is %v, want the store's %v", o, want)
			}
		}
	})
}
