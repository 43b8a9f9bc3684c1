package change

import (
	"errors"
	"fmt"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/state/catalogue"
)

// Action is the operation that a step performs on its entry.
type Action string

// The actions of a step.
const (
	Create    Action = "create"
	Change    Action = "change"
	Delete    Action = "delete"
	Unchanged Action = "unchanged"
)

// DesiredEntry is the state that an operator wants an entry to have.
type DesiredEntry struct {
	ID catalogue.ID
	// Data is the encoded entry, or nil to delete it.
	Data []byte
	// IfVersion is the version that the operator started from, or nil if it is
	// not known. 0 requires that the entry does not exist.
	IfVersion *uint64
	// StrictVersion rejects a version other than IfVersion even if the entry
	// already has the desired content.
	StrictVersion bool
}

// Step is a write that is conditional on the version that was read.
type Step struct {
	ID      catalogue.ID
	Action  Action
	Version uint64
	// ListVersion is the version of the list that the step was planned from.
	ListVersion uint64
	// Base is the entry at Version, or nil if its content is not known.
	Base []byte
	Data []byte
}

// StaleError reports that an entry is no longer at the version that an operator
// started from.
type StaleError struct {
	Step Step
	// Current is the entry as it is now, with Version 0 if it does not exist.
	Current platform.Object
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("%s is at version %d, your change started from version %d", e.Step.ID, e.Current.Version, e.Step.Version)
}

// Plan returns the steps that lead from the listed entries to the desired ones.
// It fails as a whole if any step is stale, duplicate or impossible. If the
// steps would introduce inconsistencies between entries, it returns the steps
// and an error that lists the inconsistencies.
func Plan(list platform.List, desired []DesiredEntry) ([]Step, error) {
	current := map[string]platform.Object{}
	for _, obj := range list.Objects {
		current[obj.Name] = obj
	}
	var steps []Step
	var errs []error
	seen := map[catalogue.ID]bool{}
	for _, entry := range desired {
		if seen[entry.ID] {
			errs = append(errs, &catalogue.EntryError{ID: entry.ID, Err: catalogue.ErrDuplicate})
			continue
		}
		seen[entry.ID] = true
		step, err := planStep(current[entry.ID.String()], entry)
		step.ListVersion = list.Version
		errs = append(errs, err)
		steps = append(steps, step)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return steps, introducedProblems(list, steps)
}

func planStep(current platform.Object, entry DesiredEntry) (Step, error) {
	step := Step{ID: entry.ID, Action: Change, Version: current.Version, Base: current.Data, Data: entry.Data}
	stale := entry.IfVersion != nil && *entry.IfVersion != current.Version
	if stale {
		step.Version, step.Base = *entry.IfVersion, nil
	}
	switch {
	case entry.Data == nil:
		step.Action = Delete
		if current.Version == 0 {
			return step, fmt.Errorf("%s: %w", entry.ID, platform.ErrNotFound)
		}
	case current.Version == 0:
		step.Action = Create
	case SameContent(current.Data, entry.Data) && !(stale && entry.StrictVersion):
		step.Action = Unchanged
		return step, nil
	}
	if stale {
		return step, &StaleError{Step: step, Current: current}
	}
	return step, nil
}

// introducedProblems returns the inconsistencies between entries that the steps
// would introduce. Inconsistencies that exist already are ignored, so that they
// do not block unrelated changes.
func introducedProblems(list platform.List, steps []Step) error {
	before := readableEntries(list)
	existing := map[string]bool{}
	for _, problem := range before.Check() {
		existing[problem.Error()] = true
	}
	after, err := applySteps(before, steps)
	if err != nil {
		return err
	}
	var errs []error
	for _, problem := range after.Check() {
		if !existing[problem.Error()] {
			errs = append(errs, problem)
		}
	}
	return errors.Join(errs...)
}

// readableEntries returns the entries of a list that can be decoded.
func readableEntries(list platform.List) *catalogue.Set {
	var records []catalogue.Record
	for _, obj := range list.Objects {
		id, err := catalogue.ParseID(obj.Name)
		if err != nil {
			continue
		}
		if r, err := catalogue.NewRecord(id, catalogue.Version(obj.Version), obj.Data); err == nil {
			records = append(records, r)
		}
	}
	out, _ := catalogue.Empty().Merge(records)
	return out
}

func applySteps(before *catalogue.Set, steps []Step) (*catalogue.Set, error) {
	next := before.Version
	var records []catalogue.Record
	for _, step := range steps {
		next++
		if step.Action == Delete {
			records = append(records, catalogue.Record{ID: step.ID, Version: next, Deleted: true})
			continue
		}
		r, err := catalogue.NewRecord(step.ID, next, step.Data)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	after, _ := before.Merge(records)
	return after, nil
}
