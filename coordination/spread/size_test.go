package spread

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// storeSizes are the numbers of facts from which the slopes in docs/CAPACITY.md
// are derived.
var storeSizes = []int{100, 1_000, 10_000}

// bodyBytes is the size of each fact's body in the benchmarks.
const bodyBytes = 200

func newFilledStore(size int, now time.Time) *Store {
	s := NewStore()
	for i := range size {
		s.Merge([]Fact{benchmarkFact(i, 1)}, now)
	}
	return s
}

func benchmarkFact(i int, version uint64) Fact {
	return Fact{ID: ID{Kind: "catalogue", Key: fmt.Sprintf("upstream.upstream-%d", i)}, Version: version, Body: make([]byte, bodyBytes)}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMergeOne measures merging one changed fact into stores of different
// sizes.
func BenchmarkMergeOne(b *testing.B) {
	for _, size := range storeSizes {
		b.Run(fmt.Sprintf("facts=%d", size), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			before := heapBytes()
			s := newFilledStore(size, now)
			perFact := float64(heapBytes()-before) / float64(size)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s.Merge([]Fact{benchmarkFact(0, uint64(i)+2)}, now)
			}
			b.ReportMetric(perFact-bodyBytes, "B/fact")
		})
	}
}

// BenchmarkRepairOne measures finding the only fact in which two stores differ.
func BenchmarkRepairOne(b *testing.B) {
	for _, size := range storeSizes {
		b.Run(fmt.Sprintf("facts=%d", size), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			newer, older := newFilledStore(size, now), newFilledStore(size, now)
			newer.Merge([]Fact{benchmarkFact(0, 2)}, now)
			b.ResetTimer()
			for range b.N {
				summary := older.DifferingBuckets(newer.BucketDigests())
				if _, surplus := newer.Compare(summary); len(surplus) != 1 {
					b.Fatalf("%d facts differ, want 1", len(surplus))
				}
			}
		})
	}
}
