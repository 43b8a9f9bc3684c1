package memory

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const mb = 1 << 20

var start = time.Unix(1000, 0)

func hold(b *Budget, n int64) (*Holder, error) {
	h := b.Hold(start, func() {})
	return h, h.Grow(n, start)
}

// TestLargeBodiesLeaveRoom guards against large bodies that use up the memory of small
// ones, and bodies that use up that of answers.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	b := New(10 * mb)
	if _, err := hold(b, 7*mb+mb/2); err != nil {
		t.Fatal(err)
	}
	if _, err := hold(b, mb); !errors.Is(err, ErrShortage) {
		t.Errorf("large body: got %v, want ErrShortage", err)
	}
	small := 0
	for ; small < 1000; small++ {
		if _, err := hold(b, SmallBytes); err != nil {
			break
		}
	}
	if small != 16 {
		t.Errorf("got room for %d small bodies, want 16", small)
	}
	if !b.Answers(func() time.Time { return start }).TryAcquire(mb) {
		t.Error("an answer finds no memory")
	}
}

// TestStalledHolderGivesUp guards against bodies that stop short of their end and keep the
// memory from others.
func TestStalledHolderGivesUp(t *testing.T) {
	b := New(10 * mb)
	revoked := map[string]bool{}
	grow := func(name string, at time.Time) error {
		return b.Hold(at, func() { revoked[name] = true }).Grow(3*mb, at)
	}
	later := start.Add(StallTime / 2)
	if err := errors.Join(grow("oldest", start), grow("younger", later)); err != nil {
		t.Fatal(err)
	}
	if err := grow("early", start.Add(StallTime-1)); !errors.Is(err, ErrShortage) || len(revoked) > 0 {
		t.Errorf("got %v and revoked %v, want ErrShortage and none", err, revoked)
	}
	if err := grow("late", start.Add(2*StallTime)); !errors.Is(err, ErrShortage) || !revoked["oldest"] || revoked["younger"] {
		t.Errorf("got %v and revoked %v, want ErrShortage and only the oldest", err, revoked)
	}
}

// TestAllMemoryIsReleased guards against a budget that shrinks with use, and one that is
// exceeded by bodies.
func TestAllMemoryIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(10 * mb)
		var holders []*Holder
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(holders) > 0 && rapid.Bool().Draw(t, "release") {
				i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
				holders[i].Release()
				continue
			}
			h := b.Hold(start, func() {})
			holders = append(holders, h)
			_ = h.Grow(rapid.Int64Range(1, 4*mb).Draw(t, "bytes"), start)
			if used := b.Usage().UsedBytes; used > 10*mb {
				t.Fatalf("%d bytes are in use", used)
			}
		}
		for _, h := range holders {
			h.Release()
		}
		if used := b.Usage().UsedBytes; used != 0 {
			t.Errorf("%d bytes are in use after all releases", used)
		}
	})
}

// TestNoLimit checks a deployment that states no memory.
func TestNoLimit(t *testing.T) {
	if _, err := hold(New(0), 1<<40); err != nil {
		t.Error(err)
	}
}

// TestLargeHeadsTakeTurns guards against heads that are parsed without bound, and against
// one that stands still and keeps its place from others.
func TestLargeHeadsTakeTurns(t *testing.T) {
	const headBytes = 32 << 10
	b := New(24 * mb)
	heads := NewHeads(b, headBytes)
	revoked := map[string]bool{}
	enter := func(name string, at time.Time) *Head {
		return heads.Enter(at, func() { revoked[name] = true })
	}
	hasPlace := func(h *Head) bool {
		select {
		case <-h.Admitted():
			return true
		default:
			return false
		}
	}
	oldest, younger := enter("oldest", start), enter("younger", start.Add(HeadTime/2))
	heads.Expire(start.Add(HeadTime))
	waits, next := enter("waits", start), enter("next", start)
	if !hasPlace(oldest) || !hasPlace(younger) || hasPlace(waits) || len(revoked) > 0 {
		t.Fatalf("got places %t, %t, %t and revoked %v, want two places and none revoked", hasPlace(oldest), hasPlace(younger), hasPlace(waits), revoked)
	}
	if used := b.Usage().UsedBytes; used != 2*parsedBytes*headBytes {
		t.Errorf("%d bytes are in use, want those of two places", used)
	}
	heads.Expire(start.Add(HeadTime))
	if !revoked["oldest"] || revoked["younger"] {
		t.Errorf("revoked %v, want only the oldest", revoked)
	}
	oldest.Leave(start)
	oldest.Leave(start)
	if !hasPlace(waits) || hasPlace(next) {
		t.Error("the place that is free does not go to the one that waits for longest")
	}
	for _, h := range []*Head{next, waits, younger} {
		h.Leave(start)
	}
	if used := b.Usage().UsedBytes; used != 0 {
		t.Errorf("%d bytes are in use after all heads left", used)
	}
}

// TestReleasedMemoryCountsUntilItIsCollected guards against memory that is given to others
// while it still holds what it held before, and against collections that gain little.
func TestReleasedMemoryCountsUntilItIsCollected(t *testing.T) {
	for name, c := range map[string]struct {
		released, held, wanted int64
		collections            int64
		want                   error
	}{
		"in the way": {7 * mb, 0, 7 * mb, 1, nil}, "beside": {3 * mb, 0, 5 * mb, 0, nil}, "little": {mb, 0, 7 * mb, 0, nil},
		"in vain": {mb, 6 * mb, 2 * mb, 0, ErrShortage},
	} {
		b := New(10 * mb)
		calls := int64(0)
		b.SetCollector(func() { calls++ })
		for _, n := range []int64{c.released, c.held} {
			h, err := hold(b, n)
			if err != nil {
				t.Fatal(err)
			}
			if n != c.held {
				h.Release()
			}
		}
		_, err := hold(b, c.wanted)
		if got := b.Usage().Collections; !errors.Is(err, c.want) || got != c.collections || calls != got {
			t.Errorf("%s: got %v and %d collections, %d calls, want %v and %d", name, err, got, calls, c.want, c.collections)
		}
	}
}
