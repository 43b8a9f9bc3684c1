package placement

// Reason says in one word what the candidate's place was decided by, for
// people.
func (c *Candidate) Reason() string {
	switch {
	case c.failing != 0:
		return "failing"
	case !c.known:
		return "load-unknown"
	case c.Load.InUse+c.Load.Waiting >= c.Upstream.Slots:
		return "no-free-slot"
	case c.cold != 0:
		return "cold"
	}
	return "free-slot"
}
