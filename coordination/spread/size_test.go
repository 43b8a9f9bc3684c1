package spread

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// sizes are the numbers of facts whose slopes docs/CAPACITY.md uses.
var sizes = []int{100, 1_000, 10_000}

// bodyBytes is the size of a fact's body in these benchmarks.
const bodyBytes = 200

func filled(size int, now time.Time) *Store {
	s := NewStore()
	for i := range size {
		s.Merge([]Fact{sizedFact(i, 1)}, now)
	}
	return s
}

func sizedFact(i int, version uint64) Fact {
	return Fact{ID: ID{Kind: "catalogue", Key: fmt.Sprintf("upstream.upstream-%d", i)}, Version: version, Body: make([]byte, bodyBytes)}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMergeOne is the work of one change that reaches a daemon.
func BenchmarkMergeOne(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("facts=%d", size), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			before := heapBytes()
			s := filled(size, now)
			perFact := float64(heapBytes()-before) / float64(size)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s.Merge([]Fact{sizedFact(0, uint64(i)+2)}, now)
			}
			b.ReportMetric(perFact-bodyBytes, "B/fact")
		})
	}
}

// BenchmarkRepairOne is the work of finding the one fact in which two daemons
// differ.
func BenchmarkRepairOne(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("facts=%d", size), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			one, other := filled(size, now), filled(size, now)
			one.Merge([]Fact{sizedFact(0, 2)}, now)
			b.ResetTimer()
			for range b.N {
				summary := other.DifferingBuckets(one.BucketDigests())
				if _, surplus := one.Compare(summary); len(surplus) != 1 {
					b.Fatalf("%d facts differ, want 1", len(surplus))
				}
			}
		})
	}
}
