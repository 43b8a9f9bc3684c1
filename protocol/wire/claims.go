package wire

// TypeClaim tells a peer that the sender is to schedule an upstream's slots.
const TypeClaim Type = "claim"

// Claim is the body of TypeClaim.
type Claim struct {
	Upstream string `cbor:"up"`
}

// ClaimReply is the answer to a claim. A peer that does not deny it dispatches
// nothing more on the upstream until it has made a claim of its own.
type ClaimReply struct {
	Denied bool `cbor:"no,omitempty"`
	// InUse is the number of the peer's requests that still run there.
	InUse int `cbor:"u,omitempty"`
}
