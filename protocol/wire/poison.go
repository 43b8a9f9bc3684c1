package wire

// TypeRunSuspect asks for a run of a suspect request, which may crash backend
// servers. It is sent to the daemon that runs the copies of that request one at
// a time. Its body is Run and its reply is RunReply.
const TypeRunSuspect Type = "suspect"

// Crash is the body of a fact that attributes a crash to a request.
type Crash struct {
	// Digest identifies the content of the request.
	Digest [32]byte `cbor:"d"`
	// ID identifies the crash among those attributed to the request.
	ID string `cbor:"id"`
	// Cleared withdraws the attribution.
	Cleared bool `cbor:"c,omitempty"`
}
