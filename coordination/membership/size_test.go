package membership

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// fleetSizes are the fleet sizes from which the slopes in docs/CAPACITY.md are
// derived.
var fleetSizes = []int{9, 100, 1_000, 5_500}

// hostRecord returns the i-th record of a fleet with 62 data centres in 16
// regions.
func hostRecord(i int) Record {
	const dataCentres, regions = 62, 16
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7400)
	return Record{
		ID: fmt.Sprintf("host-%d", i), Incarnation: fmt.Sprintf("%016x", i), Started: startedEpochMs + 1,
		DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Region: fmt.Sprintf("region-%d", i%dataCentres%regions),
		Peer: addr, Caller: addr,
	}
}

func newFilledTracker(size int, now time.Time) *Tracker {
	t := NewTracker(timing, hostRecord(0), now)
	records := make([]Record, 0, size)
	for i := 1; i < size; i++ {
		records = append(records, hostRecord(i))
	}
	t.Merge(records, now)
	t.Tick(now)
	return t
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTick measures the work of one heartbeat period.
func BenchmarkTick(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			before := heapBytes()
			t := newFilledTracker(size, now)
			perMember := float64(heapBytes()-before) / float64(size)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				t.Tick(now)
			}
			b.ReportMetric(perMember, "B/member")
			b.ReportMetric(float64(len(t.Neighbours())), "neighbours")
		})
	}
}

// BenchmarkMemberChange measures the work when one member joins or leaves.
func BenchmarkMemberChange(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			t := newFilledTracker(size, now)
			r := hostRecord(1)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r.Sequence++
				t.Merge([]Record{r}, now)
				_ = t.Neighbours()
				_ = t.View()
			}
		})
	}
}
