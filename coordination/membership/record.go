package membership

import "net/netip"

// Record describes the state of one incarnation of a member. Of two records for
// the same member, the one with the higher Version takes precedence.
type Record struct {
	ID          string `cbor:"id"`
	Incarnation string `cbor:"inc"`
	// Started orders the incarnations of a host. It is the daemon's start time
	// in milliseconds since the Unix epoch, or a later time if needed to exceed
	// the value of a previous incarnation.
	Started int64 `cbor:"st"`
	// Sequence is incremented only by the member itself, to refute records
	// published by others.
	Sequence   uint32         `cbor:"sq"`
	State      State          `cbor:"s"`
	DataCentre string         `cbor:"dc"`
	Region     string         `cbor:"r"`
	Peer       netip.AddrPort `cbor:"p"`
	Caller     netip.AddrPort `cbor:"c"`
}

const (
	// startedEpochMs is 2025-01-01 in milliseconds since the Unix epoch.
	startedEpochMs = 1_735_689_600_000
	stateBits      = 2
	sequenceBits   = 21
	maxSequence    = 1<<sequenceBits - 1
)

// Version orders the records of a member by incarnation, then by sequence, then
// by state, so that the worse of two states with the same sequence takes
// precedence.
func (r Record) Version() uint64 {
	started := uint64(max(r.Started-startedEpochMs, 0))
	return started<<(sequenceBits+stateBits) | uint64(r.Sequence)<<stateBits | uint64(r.State)
}

// Valid reports whether a record received from a peer is usable.
func (r Record) Valid() bool {
	return r.ID != "" && r.Incarnation != "" && r.State >= Alive && r.State <= Dead &&
		r.Sequence <= maxSequence && r.Peer.IsValid() && r.Caller.IsValid()
}

// stateOf returns the state encoded in a record version.
func stateOf(version uint64) State { return State(version & (1<<stateBits - 1)) }

// sequenceOf returns the sequence encoded in a record version.
func sequenceOf(version uint64) uint32 { return uint32(version >> stateBits & maxSequence) }

// sameIncarnation reports whether two record versions belong to the same
// incarnation.
func sameIncarnation(a, b uint64) bool {
	return a>>(sequenceBits+stateBits) == b>>(sequenceBits+stateBits)
}

func (r Record) member() Member {
	return Member{
		ID: r.ID, Incarnation: r.Incarnation, DataCentre: r.DataCentre, Region: r.Region,
		Peer: r.Peer, Caller: r.Caller, State: r.State,
	}
}

// Host is an entry host as listed by the platform.
type Host struct {
	ID         string         `cbor:"id"`
	DataCentre string         `cbor:"dc"`
	Region     string         `cbor:"r"`
	Peer       netip.AddrPort `cbor:"p"`
	Caller     netip.AddrPort `cbor:"c"`
	Leaving    bool           `cbor:"l,omitempty"`
	// Removed is true if the platform no longer lists the host.
	Removed bool `cbor:"x,omitempty"`
}

func (h Host) member() Member {
	return Member{ID: h.ID, DataCentre: h.DataCentre, Region: h.Region, Peer: h.Peer, Caller: h.Caller, State: Dead}
}
