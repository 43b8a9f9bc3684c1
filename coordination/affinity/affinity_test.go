package affinity

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
)

func best(object uint64, servers []uint64) uint64 {
	var top uint64
	for _, s := range servers {
		if top == 0 || Score(object, s) > Score(object, top) {
			top = s
		}
	}
	return top
}

func servers(n int) []uint64 {
	var out []uint64
	for i := range n {
		out = append(out, xxhash.Sum64String(fmt.Sprintf("i-%d", i)))
	}
	return out
}

// TestOnlyObjectsOfALostServerMove is what keeps objects warm.
func TestOnlyObjectsOfALostServerMove(t *testing.T) {
	all := servers(12)
	lost := all[4]
	rest := append(append([]uint64{}, all[:4]...), all[5:]...)
	for i := range 500 {
		object := Hash("stock", fmt.Sprint(i))
		before, after := best(object, all), best(object, rest)
		if before != lost && before != after {
			t.Fatalf("object %d moved from %x to %x although its server stayed", i, before, after)
		}
	}
}

func TestObjectsSpreadEvenly(t *testing.T) {
	all, counts := servers(12), map[uint64]int{}
	const objects = 12_000
	for i := range objects {
		counts[best(Hash("stock", fmt.Sprint(i)), all)]++
	}
	for s, n := range counts {
		if n < 850 || n > 1150 {
			t.Errorf("server %x has %d objects, want about %d", s, n, objects/12)
		}
	}
}

func TestFractionsSpreadEvenly(t *testing.T) {
	low := 0
	for i := range 10_000 {
		if f := Fraction(Hash("split", fmt.Sprint(i))); f < 0.25 {
			low++
		} else if f >= 1 {
			t.Fatalf("fraction %f", f)
		}
	}
	if low < 2350 || low > 2650 {
		t.Errorf("%d of 10000 below a quarter", low)
	}
}
