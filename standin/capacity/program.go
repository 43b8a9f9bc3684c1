package capacity

import (
	"errors"
	"fmt"
	"slices"
)

// errStopped ends a measurement from within.
var errStopped = errors.New("measurement stopped")

// program takes the place of a test for a fleet that a program starts.
type program struct {
	cleanups []func()
	err      error
}

// Helper does nothing.
func (p *program) Helper() {}

// Cleanup calls f at the end.
func (p *program) Cleanup(f func()) { p.cleanups = append(p.cleanups, f) }

// Fatal ends the measurement.
func (p *program) Fatal(args ...any) {
	p.err = fmt.Errorf("%w: %s", errStopped, fmt.Sprint(args...))
	panic(errStopped)
}

// Fatalf ends the measurement.
func (p *program) Fatalf(format string, args ...any) { p.Fatal(fmt.Sprintf(format, args...)) }

// run calls f and returns why it was ended.
func (p *program) run(f func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if r != errStopped {
				panic(r)
			}
			err = p.err
		}
	}()
	f()
	return nil
}

func (p *program) end() {
	for _, f := range slices.Backward(p.cleanups) {
		f()
	}
}

func (p *program) must(v float64, err error) float64 {
	if err != nil {
		p.Fatal(err)
	}
	return v
}
