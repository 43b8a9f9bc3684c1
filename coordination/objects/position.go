package objects

import "cmp"

// Position is a point in the history of a store. A store that is restored from an
// older copy starts a new era, in which it gives out revisions again; so revisions
// of different eras cannot be compared.
type Position struct {
	// Era counts the restorations of the store. It is 0 if the store tells none.
	Era int64
	// Revision is the store's revision within the era.
	Revision int64
}

// Compare returns a negative number if p is before q, a positive one if it is
// after q, and 0 if they are equal. Any position of a later era is after those of
// the earlier ones.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }
