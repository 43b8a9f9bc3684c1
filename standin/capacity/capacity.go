// Package capacity measures the control-plane overhead of a daemon without
// traffic, as a function of the fleet size. The figures of docs/CAPACITY.md
// are derived from its results.
package capacity

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/platform"
)

const (
	// clockTicks is the number of clock ticks per second, the unit of processor
	// time in /proc.
	clockTicks    = 100
	dataCentres   = 6
	regions       = 3
	settleTime    = 5 * time.Second
	bytesPerKB    = 1000
	bytesPerMB    = 1 << 20
	upstreamSlots = 8
)

// Options configure a measurement.
type Options struct {
	// Hosts are the fleet sizes to measure.
	Hosts []int
	// Upstreams is the number of backend servers in the catalogue.
	Upstreams int
	// Blocks is the number of client blocks in the catalogue.
	Blocks int
	// Changes is the number of catalogue changes per second.
	Changes float64
	// Time is the duration of the measurement of each fleet.
	Time time.Duration
}

// Result is the average and the maximum resource use of the daemons of a
// fleet: processor time in percent of a core, resident memory in MiB and bytes
// exchanged with peers in kB per second. PlatformReads and PlatformWatches are the
// calls per second of the whole fleet.
type Result struct {
	Hosts, Blocks      int
	CPU, MaxCPU        float64
	MemoryMB, MaxMB    float64
	KBPerSecond, MaxKB float64
	PlatformReads      float64
	PlatformWatches    float64
}

// usage is the processor time of one daemon and the bytes that it has exchanged
// with its peers, both since its start.
type usage struct {
	cpu   time.Duration
	bytes int64
}

// Run measures each fleet size and writes a table row for it.
func Run(opts Options, out io.Writer) error {
	fmt.Fprintln(out, "| hosts | blocks | changes/s | CPU % of a core (max) | resident MB (max) | peer KB/s (max) | platform reads/s | watches/s |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|")
	for _, hosts := range opts.Hosts {
		r, err := measure(opts, hosts)
		if err != nil {
			return fmt.Errorf("%d hosts: %w", hosts, err)
		}
		fmt.Fprintf(out, "| %d | %d | %g | %.2f (%.2f) | %.1f (%.1f) | %.2f (%.2f) | %.2f | %.2f |\n", r.Hosts, r.Blocks, opts.Changes,
			r.CPU, r.MaxCPU, r.MemoryMB, r.MaxMB, r.KBPerSecond, r.MaxKB, r.PlatformReads, r.PlatformWatches)
	}
	return nil
}

func measure(opts Options, hosts int) (Result, error) {
	t := &measurementT{}
	defer t.end()
	var r Result
	err := t.run(func() { r = measureFleet(t, opts, hosts) })
	return r, err
}

func measureFleet(t *measurementT, opts Options, hosts int) Result {
	f := fleet.Start(t, fleetOptions(opts, hosts))
	for n := range opts.Blocks / blocksPerEntry {
		f.Apply(blocksEntry(n, 0))
	}
	f.WaitConverged()
	time.Sleep(settleTime)
	before, calls, start := readUsage(t, f), f.Platform.Calls(), time.Now()
	applyChanges(f, opts, start.Add(opts.Time))
	elapsed := time.Since(start).Seconds()
	after := readUsage(t, f)
	r := Result{Hosts: hosts, Blocks: opts.Blocks}
	for i, h := range f.Hosts {
		cpu := (after[i].cpu - before[i].cpu).Seconds() / elapsed * 100
		kb := float64(after[i].bytes-before[i].bytes) / elapsed / bytesPerKB
		mb := t.must(residentMB(h.PID()))
		r.CPU, r.MaxCPU = r.CPU+cpu/float64(hosts), max(r.MaxCPU, cpu)
		r.KBPerSecond, r.MaxKB = r.KBPerSecond+kb/float64(hosts), max(r.MaxKB, kb)
		r.MemoryMB, r.MaxMB = r.MemoryMB+mb/float64(hosts), max(r.MaxMB, mb)
	}
	return withPlatformCalls(r, calls, f.Platform.Calls(), elapsed)
}

func withPlatformCalls(r Result, before, after platform.Calls, seconds float64) Result {
	r.PlatformReads = float64(after.Reads-before.Reads) / seconds
	r.PlatformWatches = float64(after.Watches-before.Watches) / seconds
	return r
}

// applyChanges changes catalogue entries at the configured rate until end.
func applyChanges(f *fleet.Fleet, opts Options, end time.Time) {
	if opts.Changes == 0 || opts.Blocks < blocksPerEntry {
		time.Sleep(time.Until(end))
		return
	}
	pause := time.Duration(float64(time.Second) / opts.Changes)
	for n := 1; time.Now().Before(end); n++ {
		f.Apply(blocksEntry(n%(opts.Blocks/blocksPerEntry), n))
		time.Sleep(pause)
	}
}

func fleetOptions(opts Options, hosts int) fleet.Options {
	o := fleet.Options{DataCentres: map[string]string{}}
	for i := range dataCentres {
		o.DataCentres[dataCentreName(i)] = fmt.Sprintf("region-%d", i%regions)
	}
	for i := range hosts {
		o.Hosts = append(o.Hosts, dataCentreName(i%dataCentres))
	}
	o.Services = []catalogue.Service{fleet.Service("lookups", request.RankLookup, true)}
	for i := range opts.Upstreams {
		o.Upstreams = append(o.Upstreams, fleet.Upstream{
			Name: fmt.Sprintf("upstream-%d", i), Service: "lookups", DataCentre: dataCentreName(i % dataCentres),
			Options: backend.Options{Slots: upstreamSlots, Work: time.Millisecond},
		})
	}
	return o
}

func readUsage(t *measurementT, f *fleet.Fleet) []usage {
	out := make([]usage, 0, len(f.Hosts))
	for _, h := range f.Hosts {
		cpu, err := processorTime(h.PID())
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, usage{cpu: cpu, bytes: f.PeerBytes(h)})
	}
	return out
}

// ErrProc reports that a file in /proc does not have the expected format.
var ErrProc = errors.New("unexpected format of a file in /proc")

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	const userField, systemField = 11, 12 // Indexes of the fields after the command name.
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) <= systemField {
		return 0, fmt.Errorf("processor time: %w", ErrProc)
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	if err := errors.Join(userErr, systemErr); err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("resident memory: %w", err)
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("resident memory: %w", ErrProc)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("resident memory: %w", err)
	}
	return float64(pages*int64(os.Getpagesize())) / bytesPerMB, nil
}
