package proofs

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	tiller "bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/operatorapi"

	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/platform"
)

const (
	logTimeLayout = "2006-01-02T15:04:05.000Z07:00"
	// Each case measures changesPerCase changes. The pause before each one is
	// random, from minPause to twice minPause.
	changesPerCase = 40
	minPause       = 400 * time.Millisecond
)

// BenchmarkChangePropagation measures the time from a write to the platform until
// each of nine daemons has the change in force. All times are of the clock of one
// machine.
func BenchmarkChangePropagation(b *testing.B) {
	cases := []struct {
		name   string
		faults platform.Faults
		after  func(b *testing.B, f *fleet.Fleet, version uint64)
	}{
		{"platform up", platform.Faults{}, nil},
		{"platform slow by 200 ms", platform.Faults{DelayMs: 200}, nil},
		{"platform down 10 ms after the write", platform.Faults{}, stopPlatformAfterWrite},
		{"platform down at once, operator notifies one daemon", platform.Faults{}, stopPlatformAndNotifyDaemon},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			f := fleet.Start(b, nineHostFleet())
			random := rand.New(rand.NewPCG(1, 2))
			var latencies []time.Duration
			for b.Loop() {
				latencies = latencies[:0]
				for i := range changesPerCase {
					f.Platform.SetFaults(c.faults)
					time.Sleep(time.Duration(random.Int64N(int64(minPause))) + minPause)
					written := time.Now()
					version := writeChange(f, time.Duration(i+1)*time.Second)
					if c.after != nil {
						c.after(b, f, version)
					}
					for _, h := range f.Hosts {
						latencies = append(latencies, inForceTime(b, h, version).Sub(written))
					}
				}
			}
			reportQuantiles(b, latencies)
		})
	}
}

// stopPlatformAfterWrite makes the platform unavailable 10 ms after a write.
func stopPlatformAfterWrite(_ *testing.B, f *fleet.Fleet, _ uint64) {
	time.Sleep(10 * time.Millisecond)
	f.Platform.SetFaults(platform.Faults{Down: true})
}

// stopPlatformAndNotifyDaemon makes the platform unavailable at once and posts the
// change to one daemon, as tillerctl does.
func stopPlatformAndNotifyDaemon(b *testing.B, f *fleet.Fleet, version uint64) {
	f.Platform.SetFaults(platform.Faults{Down: true})
	obj, err := f.Platform.Object(tiller.KindCatalogue, changedEntry)
	if err != nil {
		b.Fatal(err)
	}
	body, err := json.Marshal(operatorapi.AcceptedChange{Name: changedEntry, Version: version, Data: obj.Data})
	if err != nil {
		b.Fatal(err)
	}
	if status, err := f.Hosts[7].PostJSON(operatorapi.PathAccepted, body); err != nil || status != http.StatusNoContent {
		b.Fatalf("posting the change to a daemon: status %d, error %v", status, err)
	}
}

// inForceTime returns the time at which a daemon put a version in force,
// according to its log.
func inForceTime(b *testing.B, h *fleet.Host, version uint64) time.Time {
	wanted := strconv.FormatUint(version, 10)
	var at time.Time
	fleet.Eventually(b, h.ID+" has the change in force", func() bool {
		for line := range strings.SplitSeq(h.Log(), "\n") {
			if logField(line, "entry") != changedEntry || logField(line, "version") != wanted {
				continue
			}
			var err error
			at, err = time.Parse(logTimeLayout, logField(line, "time"))
			return err == nil
		}
		return false
	})
	return at
}

// reportQuantiles reports the median, 99th percentile and maximum of latencies in
// place of the time per operation.
func reportQuantiles(b *testing.B, latencies []time.Duration) {
	slices.Sort(latencies)
	ms := func(q float64) float64 {
		return float64(latencies[int(q*float64(len(latencies)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(ms(0.5), "p50-ms")
	b.ReportMetric(ms(0.99), "p99-ms")
	b.ReportMetric(ms(1), "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPlatformCalls measures the rate of platform calls of an idle fleet,
// for fleets of different sizes.
func BenchmarkPlatformCalls(b *testing.B) {
	const window = 20 * time.Second
	for _, perDataCentre := range []int{1, 2, 4} {
		opts := nineHostFleet()
		opts.Hosts = nil
		for dc := range opts.DataCentres {
			opts.Hosts = append(opts.Hosts, slices.Repeat([]string{dc}, perDataCentre)...)
		}
		b.Run(fmt.Sprintf("%d daemons", len(opts.Hosts)), func(b *testing.B) {
			f := fleet.Start(b, opts)
			fleet.Eventually(b, "the fleet has 6 relays", func() bool { return countRelays(b, f) == 6 })
			for b.Loop() {
				before := f.Platform.Calls()
				time.Sleep(window)
				after := f.Platform.Calls()
				b.ReportMetric(float64(after.Reads-before.Reads)/window.Seconds(), "reads/s")
				b.ReportMetric(float64(after.Watches-before.Watches)/window.Seconds(), "watches/s")
				b.ReportMetric(float64(after.Writes-before.Writes)/window.Seconds(), "writes/s")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// countRelays returns the number of daemons that are relays.
func countRelays(b *testing.B, f *fleet.Fleet) int {
	n := 0
	for _, h := range f.Hosts {
		if status, err := h.Status(); err == nil && status.Standing.Relay {
			n++
		}
	}
	return n
}
