package capacity

import (
	"errors"
	"fmt"
	"slices"
)

// errStopped is wrapped by the error of a measurement that called Fatal.
var errStopped = errors.New("measurement stopped")

// measurementT implements fleet.T for a fleet that is started outside of a
// test.
type measurementT struct {
	cleanups []func()
	err      error
}

// Helper does nothing. It implements fleet.T.
func (p *measurementT) Helper() {}

// Cleanup registers f to be called at the end of the measurement.
func (p *measurementT) Cleanup(f func()) { p.cleanups = append(p.cleanups, f) }

// Fatal aborts the measurement.
func (p *measurementT) Fatal(args ...any) {
	p.err = fmt.Errorf("%w: %s", errStopped, fmt.Sprint(args...))
	panic(errStopped)
}

// Fatalf aborts the measurement with a formatted message.
func (p *measurementT) Fatalf(format string, args ...any) { p.Fatal(fmt.Sprintf(format, args...)) }

// run calls f and returns the error with which Fatal aborted it, if any.
func (p *measurementT) run(f func()) (err error) {
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

func (p *measurementT) end() {
	for _, f := range slices.Backward(p.cleanups) {
		f()
	}
}

func (p *measurementT) must(v float64, err error) float64 {
	if err != nil {
		p.Fatal(err)
	}
	return v
}
