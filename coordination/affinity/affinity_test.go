package affinity

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
)

func bestServer(object uint64, servers []uint64) uint64 {
	var top uint64
	for _, s := range servers {
		if top == 0 || Score(object, s) > Score(object, top) {
			top = s
		}
	}
	return top
}

func serverHashes(n int) []uint64 {
	var out []uint64
	for i := range n {
		out = append(out, xxhash.Sum64String(fmt.Sprintf("i-%d", i)))
	}
	return out
}

// TestOnlyObjectsOfRemovedServerMove guards against moving objects of other
// servers when a server is removed, since they would be cold at their new
// servers.
func TestOnlyObjectsOfRemovedServerMove(t *testing.T) {
	all := serverHashes(12)
	removed := all[4]
	rest := append(append([]uint64{}, all[:4]...), all[5:]...)
	for i := range 500 {
		object := Hash("stock", fmt.Sprint(i))
		before, after := bestServer(object, all), bestServer(object, rest)
		if before != removed && before != after {
			t.Fatalf("object %d moved from %x to %x, but its server was not removed", i, before, after)
		}
	}
}

func TestObjectsSpreadEvenly(t *testing.T) {
	all, counts := serverHashes(12), map[uint64]int{}
	const objects = 12_000
	for i := range objects {
		counts[bestServer(Hash("stock", fmt.Sprint(i)), all)]++
	}
	for _, s := range all {
		if n := counts[s]; n < 850 || n > 1150 {
			t.Errorf("server %x has %d objects, want about %d", s, counts[s], objects/12)
		}
	}
}

func TestFractionsSpreadEvenly(t *testing.T) {
	low := 0
	for i := range 10_000 {
		if f := Fraction(Hash("split", fmt.Sprint(i))); f < 0.25 {
			low++
		} else if f >= 1 {
			t.Fatalf("got fraction %f, want less than 1", f)
		}
	}
	if low < 2350 || low > 2650 {
		t.Errorf("%d of 10000 fractions are below 0.25, want about a quarter", low)
	}
}
