package wire

import "bilberrytiller.example/tiller/coordination/spread"

// Calls that spread facts.
const (
	// TypeFacts gives a peer facts that it may lack.
	TypeFacts Type = "facts"
	// TypeCompare asks a peer what it holds in the buckets that differ.
	TypeCompare Type = "compare"
	// TypeFetch asks a peer for facts by their identities.
	TypeFetch Type = "fetch"
)

// MaxFactBytes bounds the bodies of the facts in one message, but for a
// single fact that is larger.
const MaxFactBytes = 1 << 20

// Facts carries facts. It is the body of TypeFacts and the answer to
// TypeFetch, which may hold fewer facts than were asked for.
type Facts struct {
	Facts []spread.Fact `cbor:"f,omitempty"`
}

// Compare is the body of TypeCompare. The answer is a Summary.
type Compare struct {
	Digests []uint64 `cbor:"d"`
}

// Summary is what a daemon holds in the buckets that differ.
type Summary struct {
	Summary spread.Summary `cbor:"s"`
}

// Fetch is the body of TypeFetch.
type Fetch struct {
	IDs []spread.ID `cbor:"i"`
}

// Empty is the body of a call or answer that says nothing.
type Empty struct{}
