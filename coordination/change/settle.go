package change

import "bilberrytiller.example/tiller/coordination/platform"

// Outcome is what became of a write whose answer is missing or a conflict.
type Outcome int

// The fates of a write.
const (
	// NotApplied says that the entry stands as before the write, which may be
	// sent again.
	NotApplied Outcome = iota
	// Applied says that the entry stands as the write left it.
	Applied
	// Superseded says that the write took effect and another one followed.
	Superseded
	// Rejected says that another write came first.
	Rejected
	// Indeterminate says that the entry was changed since, and that its history
	// does not reach back to the write.
	Indeterminate
)

// Resolution says what became of a write. Version is the one that the write
// made, where that is known.
type Resolution struct {
	Outcome Outcome
	Version uint64
}

// Resolve decides what became of a step. Found is the entry as it was read
// back, with Version 0 for none. History holds the changes after the list
// that the step was planned from, oldest first; complete says that none of
// them is missing.
func Resolve(step Step, found platform.Object, history []platform.Event, complete bool) Resolution {
	if found.Version == step.Version {
		return Resolution{Outcome: NotApplied}
	}
	if made(step, found.Data, found.Version == 0) {
		return Resolution{Outcome: Applied, Version: found.Version}
	}
	first, ok := firstChange(step, history)
	switch {
	case !complete || !ok:
		return Resolution{Outcome: Indeterminate}
	case made(step, first.Object.Data, first.Deleted):
		return Resolution{Outcome: Superseded, Version: first.Object.Version}
	}
	return Resolution{Outcome: Rejected}
}

// firstChange returns the first change of the entry that followed the step's
// plan. Writes are conditional, so that the step took effect then or never.
func firstChange(step Step, history []platform.Event) (platform.Event, bool) {
	for _, e := range history {
		if e.Object.Name == step.ID.String() {
			return e, true
		}
	}
	return platform.Event{}, false
}

// made reports whether a change is the one that the step asked for.
func made(step Step, data []byte, deleted bool) bool {
	if step.Action == Delete {
		return deleted
	}
	return !deleted && sameWrite(step.Data, data)
}

// BaseFromHistory returns the entry of a step as a history shows it at the step's
// version, or nil.
func BaseFromHistory(step Step, history []platform.Event) []byte {
	for _, e := range history {
		if e.Object.Name == step.ID.String() && e.Object.Version == step.Version {
			return e.Object.Data
		}
	}
	return nil
}
