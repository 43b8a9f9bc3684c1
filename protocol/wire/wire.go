// Package wire defines the messages that daemons exchange. Each message is
// one CBOR envelope in one binary WebSocket frame.
package wire

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytiller.example/tiller/state/request"
)

// Version is the version of the envelope.
const Version = 1

// MaxFrameBytes is the largest frame that is read.
const MaxFrameBytes = 16 << 20

// Type names a call.
type Type string

// The calls between daemons.
const (
	// TypeRun asks the owner of a key to run a request.
	TypeRun Type = "run"
	// TypeDispatch asks the holder of an upstream to run a request there.
	TypeDispatch Type = "dispatch"
)

// Envelope carries one call or the answer to one.
type Envelope struct {
	Version int  `cbor:"v"`
	Type    Type `cbor:"t"`
	// ID joins an answer to its call on one connection.
	ID      uint64 `cbor:"i"`
	IsReply bool   `cbor:"a,omitempty"`
	// Cancel says that the answer to an earlier call is no longer needed.
	Cancel bool `cbor:"x,omitempty"`
	// Error is set on the answer to a call that failed.
	Error string          `cbor:"e,omitempty"`
	Body  cbor.RawMessage `cbor:"b,omitempty"`
}

// Errors of Decode.
var (
	// ErrMalformed says that a frame is not a CBOR envelope.
	ErrMalformed = errors.New("malformed frame")
	// ErrVersion says that a frame has a version this daemon cannot read.
	ErrVersion = errors.New("unknown frame version")
)

// Request is a request on its way between daemons. Its deadline travels as
// the time that remains, since clocks of hosts differ.
type Request struct {
	Request   request.Request `cbor:"r"`
	Remaining time.Duration   `cbor:"left"`
}

// NewRequest prepares a request to be sent at the given time.
func NewRequest(req *request.Request, now time.Time) Request {
	r := Request{Request: *req, Remaining: req.Deadline.Sub(now)}
	r.Request.Deadline = time.Time{}
	return r
}

// ToRequest returns the request as received at the given time.
func (r *Request) ToRequest(now time.Time) *request.Request {
	req := r.Request
	req.Deadline = now.Add(r.Remaining)
	return &req
}

// Run asks the owner of a key to run a request.
type Run struct {
	Request Request `cbor:"req"`
	// Owner is the incarnation that is asked; no other may answer.
	Owner string `cbor:"o"`
	// Hops counts the daemons that the request was forwarded by.
	Hops int `cbor:"h"`
}

// Dispatch asks the holder of an upstream to run a request there.
type Dispatch struct {
	Upstream string `cbor:"up"`
	// Holder is the incarnation that the sender takes for the holder.
	Holder  string  `cbor:"h"`
	Request Request `cbor:"req"`
	// AttemptID names the attempt that all copies of this dispatch belong to,
	// empty for work that may run twice.
	AttemptID string `cbor:"att,omitempty"`
	// SentAt is the receiver's clock when the first copy was sent.
	SentAt time.Duration `cbor:"sent,omitempty"`
	// Resent says that an earlier copy may have been received.
	Resent bool `cbor:"again,omitempty"`
}

// Rank returns the rank of the request.
func (r *Run) Rank() request.Rank { return r.Request.Request.Rank }

// Rank returns the rank of the request.
func (d *Dispatch) Rank() request.Rank { return d.Request.Request.Rank }

// Load is an upstream's load as its holder knows it.
type Load struct {
	InUse   int `cbor:"u"`
	Waiting int `cbor:"w"`
	// MeanServiceTime is the mean time of an answer.
	MeanServiceTime time.Duration `cbor:"s,omitempty"`
	// Warm is true if connections to the upstream are open.
	Warm bool `cbor:"hot,omitempty"`
	// Unreachable is true if the upstream cannot be reached.
	Unreachable bool `cbor:"f,omitempty"`
}

// RunReply is the answer to Run and Dispatch.
type RunReply struct {
	Answer request.Answer `cbor:"ans"`
	Load   Load           `cbor:"load"`
}

// Encode writes an envelope around a body.
func Encode(env Envelope, body any) ([]byte, error) {
	if body != nil {
		raw, err := cbor.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", env.Type, err)
		}
		env.Body = raw
	}
	env.Version = Version
	return cbor.Marshal(env)
}

// Decode reads an envelope.
func Decode(frame []byte) (Envelope, error) {
	var env Envelope
	if err := cbor.Unmarshal(frame, &env); err != nil {
		return Envelope{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if env.Version != Version {
		return Envelope{}, fmt.Errorf("version %d: %w", env.Version, ErrVersion)
	}
	return env, nil
}

// EncodeBody writes a body by itself.
func EncodeBody(body any) ([]byte, error) { return cbor.Marshal(body) }

// DecodeBody reads the body of an envelope.
func DecodeBody(body []byte, into any) error {
	if err := cbor.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
