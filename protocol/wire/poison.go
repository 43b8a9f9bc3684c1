package wire

// TypeRunSuspect asks the daemon that runs the copies of a suspect request one
// at a time to run one. Its body is Run, its answer Answered.
const TypeRunSuspect Type = "suspect"

// Crash is the body of a fact that charges a crash to a request.
type Crash struct {
	Digest  [32]byte `cbor:"d"`
	ID      string   `cbor:"id"`
	Cleared bool     `cbor:"c,omitempty"`
}
