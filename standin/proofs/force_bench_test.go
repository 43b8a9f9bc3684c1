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
	logTime = "2006-01-02T15:04:05.000Z07:00"
	// changesPerCase is how many changes each case measures, pause the longest
	// time between two of them.
	changesPerCase = 40
	longestPause   = 400 * time.Millisecond
)

// BenchmarkTimeToForce measures how long after a write each of nine daemons
// has the change in force, by the clock of the one machine.
func BenchmarkTimeToForce(b *testing.B) {
	cases := []struct {
		name   string
		faults platform.Faults
		after  func(b *testing.B, f *fleet.Fleet, version uint64)
	}{
		{"platform up", platform.Faults{}, nil},
		{"platform slow by 200 ms", platform.Faults{DelayMs: 200}, nil},
		{"platform gone 10 ms after the write", platform.Faults{}, goneSoon},
		{"platform gone at once, operator tells one daemon", platform.Faults{}, goneAndTold},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			f := fleet.Start(b, nineHosts())
			random := rand.New(rand.NewPCG(1, 2))
			var took []time.Duration
			for b.Loop() {
				took = took[:0]
				for i := range changesPerCase {
					f.Platform.SetFaults(c.faults)
					time.Sleep(time.Duration(random.Int64N(int64(longestPause))) + longestPause)
					began := time.Now()
					version := change(f, time.Duration(i+1)*time.Second)
					if c.after != nil {
						c.after(b, f, version)
					}
					for _, h := range f.Hosts {
						took = append(took, forceTime(b, h, version).Sub(began))
					}
				}
			}
			reportQuantiles(b, took)
		})
	}
}

func goneSoon(_ *testing.B, f *fleet.Fleet, _ uint64) {
	time.Sleep(10 * time.Millisecond)
	f.Platform.SetFaults(platform.Faults{Down: true})
}

func goneAndTold(b *testing.B, f *fleet.Fleet, version uint64) {
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
		b.Fatalf("telling a daemon: status %d, %v", status, err)
	}
}

// forceTime returns when a daemon put a version in force, by its log.
func forceTime(b *testing.B, h *fleet.Host, version uint64) time.Time {
	wanted := strconv.FormatUint(version, 10)
	var at time.Time
	fleet.Eventually(b, h.ID+" has the change in force", func() bool {
		for line := range strings.SplitSeq(h.Log(), "\n") {
			if logField(line, "entry") != changedEntry || logField(line, "version") != wanted {
				continue
			}
			var err error
			at, err = time.Parse(logTime, logField(line, "time"))
			return err == nil
		}
		return false
	})
	return at
}

func reportQuantiles(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	ms := func(q float64) float64 {
		return float64(took[int(q*float64(len(took)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(ms(0.5), "p50-ms")
	b.ReportMetric(ms(0.99), "p99-ms")
	b.ReportMetric(ms(1), "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPlatformCalls measures the calls that an idle fleet makes, by its
// size.
func BenchmarkPlatformCalls(b *testing.B) {
	const window = 20 * time.Second
	for _, perDataCentre := range []int{1, 2, 4} {
		opts := nineHosts()
		opts.Hosts = nil
		for dc := range opts.DataCentres {
			opts.Hosts = append(opts.Hosts, slices.Repeat([]string{dc}, perDataCentre)...)
		}
		b.Run(fmt.Sprintf("%d daemons", len(opts.Hosts)), func(b *testing.B) {
			f := fleet.Start(b, opts)
			fleet.Eventually(b, "the fleet settles", func() bool { return countRelays(b, f) == 6 })
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

func countRelays(b *testing.B, f *fleet.Fleet) int {
	n := 0
	for _, h := range f.Hosts {
		if status, err := h.Status(); err == nil && status.Standing.Relay {
			n++
		}
	}
	return n
}
