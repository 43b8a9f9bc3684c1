package wire

import "bilberrytiller.example/tiller/coordination/spread"

// Calls that spread facts.
const (
	// TypeFacts gives a peer facts that were new to the sender.
	TypeFacts Type = "facts"
	// TypePull asks a peer for all its facts.
	TypePull Type = "pull"
)

// Facts carries facts. It is the body of TypeFacts and the answer to TypePull.
type Facts struct {
	Facts []spread.Fact `cbor:"f,omitempty"`
}

// Empty is the body of a call or answer that says nothing.
type Empty struct{}
