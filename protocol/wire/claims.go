package wire

// TypeClaim tells a peer that the sender is the one to schedule an upstream's
// slots.
const TypeClaim Type = "claim"

// Claim is the body of TypeClaim.
type Claim struct {
	Upstream string `cbor:"up"`
}

// ClaimReply is the reply to a Claim. A peer that does not deny the claim sends
// no further requests to the upstream until it has made a claim of its own.
type ClaimReply struct {
	Denied bool `cbor:"no,omitempty"`
	// InUse is the number of the peer's requests still running on the upstream.
	InUse int `cbor:"u,omitempty"`
}
