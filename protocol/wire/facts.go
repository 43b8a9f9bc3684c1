package wire

import "bilberrytiller.example/tiller/coordination/spread"

// Calls that replicate facts between daemons.
const (
	// TypeFacts sends a peer facts that it may lack.
	TypeFacts Type = "facts"
	// TypeCompare asks a peer what it holds in the buckets that differ.
	TypeCompare Type = "compare"
	// TypeFetch asks a peer for facts by ID.
	TypeFetch Type = "fetch"
)

// MaxFactBytes is the maximum total size of the fact bodies in one message,
// except for a message with a single larger fact.
const MaxFactBytes = 1 << 20

// Facts is the body of TypeFacts and the reply to TypeFetch, which may contain
// fewer facts than requested.
type Facts struct {
	Facts []spread.Fact `cbor:"f,omitempty"`
}

// Compare is the body of TypeCompare. The reply is a Summary.
type Compare struct {
	// Digests are the digests of the sender's buckets, in the order of the
	// buckets.
	Digests []uint64 `cbor:"d"`
}

// Summary describes what a daemon holds in the buckets that differ.
type Summary struct {
	Summary spread.Summary `cbor:"s"`
}

// Fetch is the body of TypeFetch.
type Fetch struct {
	IDs []spread.ID `cbor:"i"`
}

// Empty is the body of a call or reply without content.
type Empty struct{}
