package change

import "bilberrytiller.example/tiller/coordination/platform"

// Outcome is the result of a write whose response was lost or was a conflict.
type Outcome int

// The outcomes of a write.
const (
	// NotApplied means that the entry is unchanged since before the write,
	// which may be retried.
	NotApplied Outcome = iota
	// Applied means that the entry is as the write left it.
	Applied
	// Superseded means that the write took effect and was followed by another
	// one.
	Superseded
	// Rejected means that another write came first.
	Rejected
	// Indeterminate means that the entry has changed and that the available
	// history does not reach back to the write, so it is not known whether the
	// write took effect.
	Indeterminate
)

// Resolution is the outcome of a write. Version is the version that the write
// produced, if known.
type Resolution struct {
	Outcome Outcome
	Version uint64
}

// Resolve determines the outcome of a step. The found argument is the entry as
// it was read back, with Version 0 if it does not exist. The history argument
// holds the changes after the list that the step was planned from, oldest
// first; complete reports that no change is missing from it.
func Resolve(step Step, found platform.Object, history []platform.Event, complete bool) Resolution {
	if found.Version == step.Version {
		return Resolution{Outcome: NotApplied}
	}
	if matchesStep(step, found.Data, found.Version == 0) {
		return Resolution{Outcome: Applied, Version: found.Version}
	}
	first, ok := firstChange(step, history)
	switch {
	case !complete || !ok:
		return Resolution{Outcome: Indeterminate}
	case matchesStep(step, first.Object.Data, first.Deleted):
		return Resolution{Outcome: Superseded, Version: first.Object.Version}
	}
	return Resolution{Outcome: Rejected}
}

// firstChange returns the first change of the entry after the step was planned.
// Writes are conditional on the version, so a step either made this change or
// never took effect.
func firstChange(step Step, history []platform.Event) (platform.Event, bool) {
	for _, e := range history {
		if e.Object.Name == step.ID.String() {
			return e, true
		}
	}
	return platform.Event{}, false
}

// matchesStep reports whether a change is the one that the step requested.
func matchesStep(step Step, data []byte, deleted bool) bool {
	if step.Action == Delete {
		return deleted
	}
	return !deleted && sameWrite(step.Data, data)
}

// BaseFromHistory returns the data of the step's entry at the step's version,
// or nil if the history does not include that version.
func BaseFromHistory(step Step, history []platform.Event) []byte {
	for _, e := range history {
		if e.Object.Name == step.ID.String() && e.Object.Version == step.Version {
			return e.Object.Data
		}
	}
	return nil
}
