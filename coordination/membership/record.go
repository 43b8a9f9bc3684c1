package membership

import "net/netip"

// Record is one statement about one life of a member. Of two records of a
// member the one with the higher Version holds.
type Record struct {
	ID          string `cbor:"id"`
	Incarnation string `cbor:"inc"`
	// Started orders the incarnations of a host. It is the time at which the
	// daemon started in milliseconds since 1970, or later where that is needed
	// to be above an earlier incarnation.
	Started int64 `cbor:"st"`
	// Sequence is raised by the member alone, to refute what others say.
	Sequence   uint32         `cbor:"sq"`
	State      State          `cbor:"s"`
	DataCentre string         `cbor:"dc"`
	Region     string         `cbor:"r"`
	Peer       netip.AddrPort `cbor:"p"`
	Caller     netip.AddrPort `cbor:"c"`
}

const (
	// startedEpochMs is 2025-01-01 in milliseconds since 1970.
	startedEpochMs = 1_735_689_600_000
	stateBits      = 2
	sequenceBits   = 21
	maxSequence    = 1<<sequenceBits - 1
)

// Version orders the records of a member: by incarnation, then sequence, then
// state, so that the worse of two states with one sequence holds.
func (r Record) Version() uint64 {
	started := uint64(max(r.Started-startedEpochMs, 0))
	return started<<(sequenceBits+stateBits) | uint64(r.Sequence)<<stateBits | uint64(r.State)
}

// Valid reports whether a record that came from a peer can be used.
func (r Record) Valid() bool {
	return r.ID != "" && r.Incarnation != "" && r.State >= Alive && r.State <= Dead &&
		r.Sequence <= maxSequence && r.Peer.IsValid() && r.Caller.IsValid()
}

// stateOf returns the state in a version of a record.
func stateOf(version uint64) State { return State(version & (1<<stateBits - 1)) }

// sequenceOf returns the sequence in a version of a record.
func sequenceOf(version uint64) uint32 { return uint32(version >> stateBits & maxSequence) }

// sameLife reports whether two versions are of one incarnation.
func sameLife(a, b uint64) bool {
	return a>>(sequenceBits+stateBits) == b>>(sequenceBits+stateBits)
}

func (r Record) member() Member {
	return Member{
		ID: r.ID, Incarnation: r.Incarnation, DataCentre: r.DataCentre, Region: r.Region,
		Peer: r.Peer, Caller: r.Caller, State: r.State,
	}
}

// Host is an entry host as the platform lists it.
type Host struct {
	ID         string         `cbor:"id"`
	DataCentre string         `cbor:"dc"`
	Region     string         `cbor:"r"`
	Peer       netip.AddrPort `cbor:"p"`
	Caller     netip.AddrPort `cbor:"c"`
	Leaving    bool           `cbor:"l,omitempty"`
	// Removed says that the platform no longer lists the host.
	Removed bool `cbor:"x,omitempty"`
}

func (h Host) member() Member {
	return Member{ID: h.ID, DataCentre: h.DataCentre, Region: h.Region, Peer: h.Peer, Caller: h.Caller, State: Dead}
}
