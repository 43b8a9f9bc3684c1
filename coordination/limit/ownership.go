package limit

import "time"

// Ownership tracks what one daemon owns. The daemon stops using units before
// it publishes that it gives them up. It is not safe for concurrent use.
type Ownership struct {
	host, incarnation string

	version uint64
	shares  Shares
	// planned is the state of the shares that the daemon wants to write.
	planned Shares
	// spans are the parts that the daemon owns and does not give up.
	spans []Span
	// inheritedAt is when this daemon learned that an earlier daemon of its
	// host owned the spans. It is zero if there was none.
	inheritedAt time.Time
	// ownEntrySeen is set once the shares contained an entry of this daemon.
	ownEntrySeen bool
}

// NewOwnership returns the ownership of a daemon that has not read any shares.
func NewOwnership(host, incarnation string) *Ownership {
	return &Ownership{host: host, incarnation: incarnation}
}

// Update replaces the shares by those that the platform holds at a version.
// Versions that are not newer than the present one are ignored.
func (o *Ownership) Update(version uint64, shares Shares, now time.Time) {
	if version <= o.version {
		return
	}
	o.version, o.shares = version, shares
	own, known := shares.Owners[o.host]
	if known && own.Incarnation != o.incarnation && o.inheritedAt.IsZero() {
		o.inheritedAt = now
	}
	o.spans = nil
	if own.Incarnation == o.incarnation {
		o.spans, o.ownEntrySeen = own.Spans, true
	}
}

// Superseded reports whether a later daemon of the host has taken over the
// entry of this daemon.
func (o *Ownership) Superseded() bool {
	own, known := o.shares.Owners[o.host]
	return o.ownEntrySeen && known && own.Incarnation != o.incarnation
}

// Plan computes the shares that the daemon wants, stops using the units that
// it gives up, and reports whether the shares must be written to the platform. The
// expected hosts are those of Shares.Plan.
func (o *Ownership) Plan(expected []string, now time.Time) bool {
	if o.Superseded() {
		return false
	}
	next, changed := o.shares.Plan(o.host, o.incarnation, expected, now)
	o.planned = next
	o.spans = Intersect(o.spans, next.Owners[o.host].Spans)
	return changed
}

// Planned returns the shares to write and the version that the platform must
// still hold for the write to succeed.
func (o *Ownership) Planned() (shares Shares, version uint64) { return o.planned, o.version }

// Shares returns the shares of the last Update.
func (o *Ownership) Shares() Shares { return o.shares }

// Apply sets the units of a limit that a quota owns.
func (o *Ownership) Apply(q *Quota, limit int) {
	var from time.Time
	if !o.inheritedAt.IsZero() {
		from = o.inheritedAt.Add(q.policy.LoanDuration())
	}
	q.SetOwned(Units(o.spans, limit), from, o.shares.Owners[o.host].UsableUntil())
}
