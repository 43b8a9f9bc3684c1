// Package bench measures what the system does under load and faults beside
// small baselines, and writes the figures as a table with one row for each
// target. Each experiment has a file of its own and a line in All.
package bench

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
)

// Row is one line of the table.
type Row struct {
	Metric   string
	Target   string
	Baseline string
	Measured string
	// Met is false if the target is missed.
	Met bool
}

// Experiment measures one matter.
type Experiment struct {
	Name string
	Run  func(r *Run) []Row
}

// All returns the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		{"loopback", loopback},
		{"slots", slots},
		{"flood-reports", floodReports},
		{"flood-payments", floodPayments},
	}
}

// Run is one run of one experiment. It takes the place of a test for the
// fleets that the experiment starts.
type Run struct {
	Seed     uint64
	Random   *rand.Rand
	cleanups []func()
}

// errStopped ends an experiment from within.
var errStopped = errors.New("experiment stopped")

// Helper does nothing.
func (r *Run) Helper() {}

// Cleanup calls f at the end of the experiment.
func (r *Run) Cleanup(f func()) { r.cleanups = append(r.cleanups, f) }

// Fatal ends the experiment.
func (r *Run) Fatal(args ...any) { panic(fmt.Errorf("%w: %s", errStopped, fmt.Sprint(args...))) }

// Fatalf ends the experiment.
func (r *Run) Fatalf(format string, args ...any) { r.Fatal(fmt.Sprintf(format, args...)) }

// Main runs the named experiments, or all, and writes their rows.
func Main(names []string, seed uint64, out io.Writer) error {
	fmt.Fprint(out, "| experiment | matter | target | baseline | this version | met | seed |\n|---|---|---|---|---|---|---|\n")
	for _, e := range All() {
		if len(names) > 0 && !slices.Contains(names, e.Name) {
			continue
		}
		rows, err := run(e, seed)
		if err != nil {
			return fmt.Errorf("experiment %s: %w", e.Name, err)
		}
		for _, row := range rows {
			write(out, e.Name, row, seed)
		}
	}
	return nil
}

func write(out io.Writer, name string, row Row, seed uint64) {
	met := "yes"
	if !row.Met {
		met = "**missed**"
	}
	fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s | %d |\n", name, row.Metric, row.Target, row.Baseline, row.Measured, met, seed)
}

func run(e Experiment, seed uint64) (rows []Row, err error) {
	r := &Run{Seed: seed, Random: rand.New(rand.NewPCG(seed, seed))}
	defer func() {
		for _, f := range slices.Backward(r.cleanups) {
			f()
		}
		if stopped, ok := recover().(error); ok {
			err = stopped
		}
	}()
	return e.Run(r), nil
}
