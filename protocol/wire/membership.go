package wire

// TypeHello is a heartbeat: it tells a daemon who the sender is and asks it
// the same.
const TypeHello Type = "hello"

// Hello says who a daemon is and what it holds of the other. It is the body
// of TypeHello and of its answer.
type Hello struct {
	ID          string `cbor:"i"`
	Incarnation string `cbor:"n"`
	Leaving     bool   `cbor:"l,omitempty"`
	// Digest is that of the facts the sender knows.
	Digest uint64 `cbor:"d"`
	// KnownVersion is the version of the other's membership record that the sender
	// holds, 0 for none.
	KnownVersion uint64 `cbor:"k,omitempty"`
}
