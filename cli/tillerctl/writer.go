package tillerctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"bilberrytiller.example/tiller/coordination/change"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/operatorapi"
)

const (
	// resolveTimeout limits the attempts to determine the outcome of a write.
	resolveTimeout    = 10 * time.Second
	resolveRetryDelay = 200 * time.Millisecond
	historyTimeout    = 2 * time.Second
)

// UnknownOutcomeError means that the write of Step may or may not have taken
// effect.
type UnknownOutcomeError struct {
	Step change.Step
	Err  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s %s: may have taken effect; check with tillerctl get: %v", e.Step.Action, e.Step.ID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// PartialWriteError means that a write failed, so that the following ones were not
// attempted. Written counts the steps before it, Remaining that write and the steps
// after it.
type PartialWriteError struct {
	Written, Remaining int
	Err                error
}

func (e *PartialWriteError) Error() string {
	return fmt.Sprintf("%v\nstopped: %d written, %d not written", e.Err, e.Written, e.Remaining)
}

// Unwrap returns the cause.
func (e *PartialWriteError) Unwrap() error { return e.Err }

// writeResult is the JSON form of the result of one step.
type writeResult struct {
	Entry   string        `json:"entry"`
	Action  change.Action `json:"action"`
	Version uint64        `json:"version,omitempty"`
	Note    string        `json:"note,omitempty"`
}

// applyChanges reads the current entries, plans the desired changes and writes
// them.
func (e *env) applyChanges(desired func(platform.List) ([]change.DesiredEntry, error)) error {
	p, err := e.platform()
	if err != nil {
		return err
	}
	list, err := p.List(e.ctx, platform.KindCatalogue)
	if err != nil {
		return fmt.Errorf("list catalogue entries: %w", err)
	}
	entries, err := desired(list)
	if err != nil {
		return err
	}
	steps, err := change.Plan(list, entries)
	if err != nil {
		e.fillBases(p, err)
		return err
	}
	w := &writer{env: e, platform: p}
	done, err := w.writeAll(steps)
	return errors.Join(e.printWritten(done), err)
}

// fillBases sets, for each conflict, the version of the entry from which the
// operator's change started, if the platform still has it in its history.
func (e *env) fillBases(p platform.Client, err error) {
	for _, stale := range staleErrors(err) {
		if stale.Step.Base != nil || stale.Step.Version == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(e.ctx, historyTimeout)
		changes, err := p.Watch(ctx, platform.KindCatalogue, stale.Step.Version-1)
		cancel()
		if err != nil {
			continue
		}
		stale.Step.Base = change.BaseFromHistory(stale.Step, changes.Events)
	}
}

func (e *env) printWritten(done []writeResult) error {
	if e.json() {
		return printJSON(e.stdout, done)
	}
	for _, d := range done {
		line := d.Entry + " " + string(d.Action)
		if d.Version != 0 {
			line += fmt.Sprintf(" version %d", d.Version)
		}
		if d.Note != "" {
			line += " (" + d.Note + ")"
		}
		fmt.Fprintln(e.stdout, line)
	}
	return nil
}

// writer writes planned changes to the platform.
type writer struct {
	env      *env
	platform platform.Client
}

func (w *writer) writeAll(steps []change.Step) ([]writeResult, error) {
	done := []writeResult{}
	for i, step := range steps {
		result, err := w.write(step)
		if err != nil && len(steps) > 1 {
			return done, &PartialWriteError{Written: i, Remaining: len(steps) - i, Err: err}
		}
		if err != nil {
			return done, err
		}
		done = append(done, result)
	}
	return done, nil
}

func (w *writer) write(step change.Step) (writeResult, error) {
	result := writeResult{Entry: step.ID.String(), Action: step.Action, Version: step.Version}
	if step.Action == change.Unchanged {
		return result, nil
	}
	step, err := change.WithWriteID(step, rand.Text())
	if err != nil {
		return result, err
	}
	version, err := w.send(step)
	if err == nil {
		result.Version = version
		w.notifyDaemon(step, version)
		return result, nil
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return result, &change.StaleError{Step: step, Current: conflict.Current}
	}
	if refused(err) || errors.Is(err, platform.ErrNotFound) {
		return result, fmt.Errorf("%s %s: %w", step.Action, step.ID, err)
	}
	resolution, err := w.resolveLostAnswer(step, err)
	if err != nil {
		return result, err
	}
	result.Version, result.Note = resolution.Version, outcomeNotes[resolution.Outcome]
	w.notifyDaemon(step, resolution.Version)
	return result, nil
}

// outcomeNotes describe the outcome of a write whose answer was lost.
var outcomeNotes = map[change.Outcome]string{
	change.NotApplied: "answer lost, written by a retry",
	change.Applied:    "answer lost, write confirmed",
	change.Superseded: "answer lost, write confirmed, changed again since",
}

// send makes one attempt to write a step.
func (w *writer) send(step change.Step) (uint64, error) {
	name := step.ID.String()
	if step.Action == change.Delete {
		return w.platform.Delete(w.env.ctx, platform.KindCatalogue, name, step.Version)
	}
	return w.platform.Put(w.env.ctx, platform.KindCatalogue, name, step.Version, step.Data)
}

// refused reports whether the platform rejected a write for a reason other than
// the version of the entry, so that the write certainly has not taken effect.
func refused(err error) bool {
	var status interface{ Refused() bool }
	return errors.As(err, &status) && status.Refused()
}

// resolveLostAnswer determines the outcome of a write without a usable answer, and
// sends the write again if it has not taken effect. All attempts are the same write
// on the condition of the same version, so the outcome of any of them is that of
// the first.
func (w *writer) resolveLostAnswer(step change.Step, cause error) (change.Resolution, error) {
	ctx, cancel := context.WithTimeout(w.env.ctx, w.env.resolveTimeout)
	defer cancel()
	for {
		resolution, current, err := w.readBack(ctx, step)
		if err == nil && resolution.Outcome != change.NotApplied {
			return resolution, w.outcomeError(step, resolution, current, cause)
		}
		if err == nil {
			version, sendErr := w.send(step)
			if sendErr == nil {
				return change.Resolution{Outcome: change.NotApplied, Version: version}, nil
			}
			cause = sendErr
		}
		if !sleep.For(ctx, resolveRetryDelay) {
			return change.Resolution{}, &UnknownOutcomeError{Step: step, Err: errors.Join(cause, err)}
		}
	}
}

func (w *writer) outcomeError(step change.Step, resolution change.Resolution, current platform.Object, cause error) error {
	switch resolution.Outcome {
	case change.Rejected:
		return &change.StaleError{Step: step, Current: current}
	case change.Indeterminate:
		return &UnknownOutcomeError{Step: step, Err: cause}
	}
	return nil
}

// readBack determines the outcome of a write from the current entry and, if that is
// not conclusive, from its history. It also returns the current entry.
func (w *writer) readBack(ctx context.Context, step change.Step) (change.Resolution, platform.Object, error) {
	current, err := w.platform.Get(ctx, platform.KindCatalogue, step.ID.String())
	if errors.Is(err, platform.ErrNotFound) {
		current, err = platform.Object{Name: step.ID.String()}, nil
	}
	if err != nil {
		return change.Resolution{}, current, err
	}
	resolution := change.Resolve(step, current, nil, false)
	if resolution.Outcome != change.Indeterminate {
		return resolution, current, nil
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	changes, err := w.platform.Watch(ctx, platform.KindCatalogue, step.ListVersion)
	return change.Resolve(step, current, changes.Events, err == nil), current, nil
}

// notifyDaemon passes an accepted change to the first daemon that takes it, so that
// the change comes into force without waiting for the platform's watch.
func (w *writer) notifyDaemon(step change.Step, version uint64) {
	if version == 0 {
		return
	}
	accepted := operatorapi.AcceptedChange{
		Name: step.ID.String(), Version: version, Data: step.Data, Deleted: step.Action == change.Delete,
	}
	var lastErr error
	for _, d := range w.env.daemons() {
		if lastErr = d.NotifyAccepted(w.env.ctx, accepted); lastErr == nil {
			return
		}
	}
	if lastErr != nil {
		fmt.Fprintf(w.env.stderr, "tillerctl: %s of %s was accepted, but no daemon could be notified; daemons will read it from the platform: %v\n",
			step.Action, step.ID, lastErr)
	}
}
