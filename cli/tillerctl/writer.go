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
	// settleTimeout bounds the attempts to learn what became of a write.
	settleTimeout = 10 * time.Second
	settlePause   = 200 * time.Millisecond
	historyWait   = 2 * time.Second
)

// UnknownOutcomeError says that a write may or may not have taken effect.
type UnknownOutcomeError struct {
	Step change.Step
	Err  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s %s: may have taken effect, look with tillerctl get: %v", e.Step.Action, e.Step.ID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// PartialWriteError says which writes were made before one failed.
type PartialWriteError struct {
	Written, Remaining int
	Err                error
}

func (e *PartialWriteError) Error() string {
	return fmt.Sprintf("%v\nstopped: %d written, %d not written", e.Err, e.Written, e.Remaining)
}

// Unwrap returns the cause.
func (e *PartialWriteError) Unwrap() error { return e.Err }

// written is the report of one step.
type written struct {
	Entry   string        `json:"entry"`
	Action  change.Action `json:"action"`
	Version uint64        `json:"version,omitempty"`
	Note    string        `json:"note,omitempty"`
}

// change reads the entries, plans the wanted changes and makes them.
func (e *env) change(wanted func(platform.List) ([]change.DesiredEntry, error)) error {
	p, err := e.platform()
	if err != nil {
		return err
	}
	list, err := p.List(e.ctx, platform.KindCatalogue)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	entries, err := wanted(list)
	if err != nil {
		return err
	}
	steps, err := change.Plan(list, entries)
	if err != nil {
		e.findBases(p, err)
		return err
	}
	w := &writer{env: e, platform: p}
	done, err := w.writeAll(steps)
	return errors.Join(e.printWritten(done), err)
}

// findBases fills in, where the platform still has it, the version of each
// entry that the operator's change started from.
func (e *env) findBases(p platform.Client, err error) {
	for _, stale := range staleErrors(err) {
		if stale.Step.Base != nil || stale.Step.Version == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(e.ctx, historyWait)
		changes, err := p.Watch(ctx, platform.KindCatalogue, stale.Step.Version-1)
		cancel()
		if err != nil {
			continue
		}
		stale.Step.Base = change.BaseFromHistory(stale.Step, changes.Events)
	}
}

func (e *env) printWritten(done []written) error {
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

// writer makes planned changes.
type writer struct {
	env      *env
	platform platform.Client
}

func (w *writer) writeAll(steps []change.Step) ([]written, error) {
	done := []written{}
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

func (w *writer) write(step change.Step) (written, error) {
	result := written{Entry: step.ID.String(), Action: step.Action, Version: step.Version}
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
		w.tell(step, version)
		return result, nil
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return result, &change.StaleError{Step: step, Current: conflict.Current}
	}
	if refused(err) || errors.Is(err, platform.ErrNotFound) {
		return result, fmt.Errorf("%s %s: %w", step.Action, step.ID, err)
	}
	settled, err := w.settle(step, err)
	if err != nil {
		return result, err
	}
	result.Version, result.Note = settled.Version, notes[settled.Outcome]
	w.tell(step, settled.Version)
	return result, nil
}

// notes tell operators what became of a write whose answer was lost.
var notes = map[change.Outcome]string{
	change.NotApplied: "answer lost, written again",
	change.Applied:    "answer lost, found written",
	change.Superseded: "answer lost, found written and changed again since",
}

// send makes one attempt at a write.
func (w *writer) send(step change.Step) (uint64, error) {
	name := step.ID.String()
	if step.Action == change.Delete {
		return w.platform.Delete(w.env.ctx, platform.KindCatalogue, name, step.Version)
	}
	return w.platform.Put(w.env.ctx, platform.KindCatalogue, name, step.Version, step.Data)
}

// refused reports whether a write has certainly not taken effect, for a
// reason other than the entry's version.
func refused(err error) bool {
	var status interface{ Refused() bool }
	return errors.As(err, &status) && status.Refused()
}

// settle finds out what became of a write without a clear answer, and sends
// it again where it has not taken effect. Its fate is that of the first
// attempt.
func (w *writer) settle(step change.Step, cause error) (change.Resolution, error) {
	ctx, cancel := context.WithTimeout(w.env.ctx, w.env.settleTimeout)
	defer cancel()
	for {
		settled, current, err := w.readBack(ctx, step)
		if err == nil && settled.Outcome != change.NotApplied {
			return settled, w.fateError(step, settled, current, cause)
		}
		if err == nil {
			version, sendErr := w.send(step)
			if sendErr == nil {
				return change.Resolution{Outcome: change.NotApplied, Version: version}, nil
			}
			cause = sendErr
		}
		if !sleep.For(ctx, settlePause) {
			return change.Resolution{}, &UnknownOutcomeError{Step: step, Err: errors.Join(cause, err)}
		}
	}
}

func (w *writer) fateError(step change.Step, settled change.Resolution, current platform.Object, cause error) error {
	switch settled.Outcome {
	case change.Rejected:
		return &change.StaleError{Step: step, Current: current}
	case change.Indeterminate:
		return &UnknownOutcomeError{Step: step, Err: cause}
	}
	return nil
}

// readBack reads the entry and, where it has changed, its history.
func (w *writer) readBack(ctx context.Context, step change.Step) (change.Resolution, platform.Object, error) {
	found, err := w.platform.Get(ctx, platform.KindCatalogue, step.ID.String())
	if errors.Is(err, platform.ErrNotFound) {
		found, err = platform.Object{Name: step.ID.String()}, nil
	}
	if err != nil {
		return change.Resolution{}, found, err
	}
	settled := change.Resolve(step, found, nil, false)
	if settled.Outcome != change.Indeterminate {
		return settled, found, nil
	}
	ctx, cancel := context.WithTimeout(ctx, historyWait)
	defer cancel()
	changes, err := w.platform.Watch(ctx, platform.KindCatalogue, step.ListVersion)
	return change.Resolve(step, found, changes.Events, err == nil), found, nil
}

// tell gives a change to one daemon, so that it comes in force without the
// platform's watch.
func (w *writer) tell(step change.Step, version uint64) {
	if version == 0 {
		return
	}
	accepted := operatorapi.AcceptedChange{
		Name: step.ID.String(), Version: version, Data: step.Data, Deleted: step.Action == change.Delete,
	}
	var last error
	for _, d := range w.env.daemons() {
		if last = d.NotifyAccepted(w.env.ctx, accepted); last == nil {
			return
		}
	}
	if last != nil {
		fmt.Fprintln(w.env.stderr, "tillerctl: written, but no daemon was told; it reaches them through the platform:", last)
	}
}
