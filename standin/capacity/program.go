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
func (t *measurementT) Helper() {}

// Cleanup registers f to be called at the end of the measurement.
func (t *measurementT) Cleanup(f func()) { t.cleanups = append(t.cleanups, f) }

// Fatal aborts the measurement.
func (t *measurementT) Fatal(args ...any) {
	t.err = fmt.Errorf("%w: %s", errStopped, fmt.Sprint(args...))
	panic(errStopped)
}

// Fatalf aborts the measurement with a formatted message.
func (t *measurementT) Fatalf(format string, args ...any) { t.Fatal(fmt.Sprintf(format, args...)) }

// run calls f and returns the error with which Fatal aborted it, if any.
func (t *measurementT) run(f func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if r != errStopped {
				panic(r)
			}
			err = t.err
		}
	}()
	f()
	return nil
}

func (t *measurementT) end() {
	for _, f := range slices.Backward(t.cleanups) {
		f()
	}
}

func (t *measurementT) must(v float64, err error) float64 {
	if err != nil {
		t.Fatal(err)
	}
	return v
}
