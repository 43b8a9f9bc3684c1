package placement

// Reason describes in one word, for operators, the state of the upstream that
// its rank depends on.
func (c *Candidate) Reason() string {
	switch {
	case c.failing != 0:
		return "failing"
	case !c.loadKnown:
		return "load-unknown"
	case c.Load.InUse+c.Load.Waiting >= c.Upstream.Slots:
		return "no-free-slot"
	case c.unconnected != 0:
		return "cold"
	}
	return "free-slot"
}
