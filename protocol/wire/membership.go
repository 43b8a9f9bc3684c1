package wire

// TypeHello is a heartbeat. It identifies the sender to a daemon and asks the
// daemon to identify itself in return.
const TypeHello Type = "hello"

// Hello identifies a daemon and states what it knows of the other. It is the
// body of TypeHello and of its reply.
type Hello struct {
	ID          string `cbor:"i"`
	Incarnation string `cbor:"n"`
	Leaving     bool   `cbor:"l,omitempty"`
	// Digest is the digest of the facts that the sender holds.
	Digest uint64 `cbor:"d"`
	// KnownVersion is the version of the receiver's membership record that the
	// sender holds, or 0 if it holds none.
	KnownVersion uint64 `cbor:"k,omitempty"`
}
