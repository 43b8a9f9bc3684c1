package limit

import "time"

// Ownership follows what one daemon owns. What it is about to give up it
// stops using before others are told. It is not safe for concurrent use.
type Ownership struct {
	host, incarnation string

	version uint64
	shares  Shares
	// planned is what the daemon wants the shares to be.
	planned Shares
	spans   []Span
	// inherited says that an earlier daemon of the host owned the spans, and
	// since when this one knows it.
	inherited time.Time
	// written says that an entry of this daemon was seen.
	written bool
}

// NewOwnership returns the ownership of a daemon that knows no shares.
func NewOwnership(host, incarnation string) *Ownership {
	return &Ownership{host: host, incarnation: incarnation}
}

// Update takes shares over that were read from the platform at a version.
func (o *Ownership) Update(version uint64, shares Shares, now time.Time) {
	if version <= o.version {
		return
	}
	o.version, o.shares = version, shares
	own, known := shares.Owners[o.host]
	if known && own.Incarnation != o.incarnation && o.inherited.IsZero() {
		o.inherited = now
	}
	o.spans = nil
	if own.Incarnation == o.incarnation {
		o.spans, o.written = own.Spans, true
	}
}

// Superseded reports whether a later daemon of the host owns its parts.
func (o *Ownership) Superseded() bool {
	own, known := o.shares.Owners[o.host]
	return o.written && known && own.Incarnation != o.incarnation
}

// Plan decides what the daemon wants to own, stops using what it is to give
// up, and reports whether the platform has to be told.
func (o *Ownership) Plan(now time.Time) bool {
	if o.Superseded() {
		return false
	}
	next, changed := o.shares.Plan(o.host, o.incarnation, now)
	o.planned = next
	o.spans = Intersect(o.spans, next.Owners[o.host].Spans)
	return changed
}

// Planned returns the shares to be written if they stand at the version.
func (o *Ownership) Planned() (shares Shares, version uint64) { return o.planned, o.version }

// Shares returns the shares last adopted.
func (o *Ownership) Shares() Shares { return o.shares }

// Apply sets what an account owns of a limit.
func (o *Ownership) Apply(a *Quota, limit int) {
	var from time.Time
	if !o.inherited.IsZero() {
		from = o.inherited.Add(a.terms.LoanDuration())
	}
	a.SetOwned(Units(o.spans, limit), from, o.shares.Owners[o.host].UsableUntil())
}
