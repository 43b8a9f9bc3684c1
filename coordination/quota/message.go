package quota

import "time"

// Call asks a parent for units and hands it the parts of the caller.
type Call struct {
	// Parts is the part of all quotas that the caller hands over, from 0 to 1.
	Parts float64 `cbor:"p,omitempty"`
	// PartsFor is how long the parent may use them, counted from Echo.
	PartsFor time.Duration `cbor:"f,omitempty"`
	// Echo is the mark of the parent's latest reply, advanced by the time since.
	Echo  Mark   `cbor:"e,omitzero"`
	Wants []Want `cbor:"w,omitempty"`
	// Spare says that the caller issues units itself and asks only for those that are
	// left over.
	Spare bool `cbor:"s,omitempty"`

	parent string
}

// Rest returns a call for the units that a reply did not give.
func (c *Call) Rest(r *Reply) *Call {
	given := make(map[string]int, len(r.Grants))
	for _, g := range r.Grants {
		given[g.Organisation] = g.Units
	}
	rest := &Call{Spare: c.Spare}
	for _, w := range c.Wants {
		if n := w.Units - given[w.Organisation]; n > 0 {
			rest.Wants = append(rest.Wants, Want{w.Organisation, n})
		}
	}
	return rest
}

// Mark is a time of one process.
type Mark struct {
	Process string        `cbor:"i"`
	Clock   time.Duration `cbor:"c"`
}

// Want is the number of units that a caller asks for.
type Want struct {
	Organisation string `cbor:"o"`
	Units        int    `cbor:"u"`
}

// Reply is the reply to a Call.
type Reply struct {
	// Mark is zero if the daemon cannot be handed parts.
	Mark   Mark    `cbor:"m,omitzero"`
	Grants []Grant `cbor:"g,omitempty"`
}

// Grant gives units, or says when there is room.
type Grant struct {
	Organisation string `cbor:"o"`
	Units        int    `cbor:"u,omitempty"`
	// Life is how long the units may be used, counted from the sending of the call.
	Life time.Duration `cbor:"l,omitempty"`
	// Room is the time until a unit is expected if the call got fewer than it asked for.
	Room time.Duration `cbor:"r,omitempty"`
}
