package daemon

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
)

// BenchmarkRegionLost measures merging, one at a time, the records by which the
// 344 hosts of a region become suspect and then dead, in a fleet of 5,500.
func BenchmarkRegionLost(b *testing.B) {
	const hosts, lost = 5_500, 344
	d := benchDaemon(b, 1, "error")
	records := make([]membership.Record, hosts)
	for i := range records {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
		records[i] = membership.Record{
			ID: fmt.Sprintf("member-%d", i), Incarnation: fmt.Sprint(i), Started: time.Now().UnixMilli(),
			DataCentre: fmt.Sprintf("dc-%d", i%62), Region: fmt.Sprintf("region-%d", i%62%16), Peer: addr, Caller: addr,
		}
	}
	merge := func(r ...membership.Record) {
		d.updateTracker(func(t *membership.Tracker) []membership.Record { t.Merge(r, time.Now()); return nil })
	}
	merge(records...)
	b.ResetTimer()
	for range b.N {
		for _, state := range []membership.State{membership.Suspect, membership.Dead} {
			for i := range lost {
				records[i].Sequence++
				records[i].State = state
				merge(records[i])
			}
		}
	}
}
