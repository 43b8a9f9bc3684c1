// Package bench compares the system under load and faults with simple
// baselines, and writes the results as a table with one row for each target.
// Each experiment has a function and a line in All.
package bench

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
)

// Row is a row of the table.
type Row struct {
	Metric   string
	Target   string
	Baseline string
	Measured string
	// Met reports whether the target is met.
	Met bool
}

// Experiment is a named measurement.
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

// Run is one run of an experiment. It implements fleet.T for the fleets that
// the experiment starts.
type Run struct {
	Seed     uint64
	Random   *rand.Rand
	cleanups []func()
}

// errStopped is wrapped by the error of an experiment that called Fatal.
var errStopped = errors.New("experiment stopped")

// Helper does nothing. It implements fleet.T.
func (r *Run) Helper() {}

// Cleanup registers f to be called at the end of the experiment.
func (r *Run) Cleanup(f func()) { r.cleanups = append(r.cleanups, f) }

// Fatal aborts the experiment.
func (r *Run) Fatal(args ...any) { panic(fmt.Errorf("%w: %s", errStopped, fmt.Sprint(args...))) }

// Fatalf aborts the experiment with a formatted message.
func (r *Run) Fatalf(format string, args ...any) { r.Fatal(fmt.Sprintf(format, args...)) }

// Main runs the named experiments, or all of them if names is empty, and
// writes their rows to out.
func Main(names []string, seed uint64, out io.Writer) error {
	fmt.Fprint(out, "| experiment | metric | target | baseline | this version | met | seed |\n|---|---|---|---|---|---|---|\n")
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
