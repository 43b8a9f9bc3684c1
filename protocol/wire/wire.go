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

// Type is the type of a call.
type Type string

// Types of calls between daemons.
const (
	// TypeRun asks the owner of a key to run a request.
	TypeRun Type = "run"
	// TypeDispatch asks the holder of an upstream to run a request on it.
	TypeDispatch Type = "dispatch"
)

// Envelope carries one call or its reply.
type Envelope struct {
	Version int  `cbor:"v"`
	Type    Type `cbor:"t"`
	// ID matches a reply to its call on the same connection.
	ID      uint64 `cbor:"i"`
	IsReply bool   `cbor:"a,omitempty"`
	// Cancel says that the reply to an earlier call is no longer needed.
	Cancel bool `cbor:"x,omitempty"`
	// Error is set on the reply to a call that failed.
	Error string `cbor:"e,omitempty"`
	// NotRun is set on the reply to a call that failed and did not begin.
	NotRun bool            `cbor:"n,omitempty"`
	Body   cbor.RawMessage `cbor:"b,omitempty"`
}

// Errors returned by Decode and DecodeBody.
var (
	// ErrMalformed means that a frame is not a CBOR envelope, or that its body
	// cannot be decoded.
	ErrMalformed = errors.New("malformed frame")
	// ErrVersion means that a frame has a version that this daemon cannot read.
	ErrVersion = errors.New("unsupported frame version")
)

// Request is a request as sent between daemons. Its deadline is sent as the
// remaining time, because the clocks of hosts differ.
type Request struct {
	Request   request.Request `cbor:"r"`
	Remaining time.Duration   `cbor:"left"`
}

// NewRequest converts a request for sending at the given time.
func NewRequest(req *request.Request, now time.Time) Request {
	r := Request{Request: *req, Remaining: req.Deadline.Sub(now)}
	r.Request.Deadline = time.Time{}
	return r
}

// ToRequest converts a request that was received at the given time.
func (r *Request) ToRequest(now time.Time) *request.Request {
	req := r.Request
	req.Deadline = now.Add(r.Remaining)
	return &req
}

// Run is the body of TypeRun.
type Run struct {
	Request Request `cbor:"req"`
	// Owner is the incarnation that the call is for. No other may answer it.
	Owner string `cbor:"o"`
	// Hops is the number of daemons that have forwarded the request.
	Hops int `cbor:"h"`
}

// Dispatch is the body of TypeDispatch.
type Dispatch struct {
	Upstream string `cbor:"up"`
	// Holder is the incarnation that the sender believes to be the holder.
	Holder  string  `cbor:"h"`
	Request Request `cbor:"req"`
	// AttemptID identifies the attempt that all copies of this dispatch belong
	// to. It is empty for work that may run twice.
	AttemptID string `cbor:"att,omitempty"`
	// SentAt is the sender's estimate of the time since the receiver started, just
	// before the first copy was sent. It is never ahead of the receiver's clock.
	SentAt time.Duration `cbor:"sent,omitempty"`
	// SentBefore is the sender's estimate of the time since the receiver started,
	// just before this copy was sent. It is never behind the receiver's clock. It is 0
	// if the sender gives none.
	SentBefore time.Duration `cbor:"sentb,omitempty"`
	// Resent says that the receiver may already have an earlier copy.
	Resent bool `cbor:"again,omitempty"`
}

// ToRequest converts the request of a dispatch that was read at the given time, when
// the receiver's clock showed clock. The time that the dispatch waited to be read, as
// at a receiver that was paused, is gone from the time until the deadline.
func (d *Dispatch) ToRequest(clock time.Duration, now time.Time) *request.Request {
	req := d.Request.ToRequest(now)
	if waited := clock - d.SentBefore; d.SentBefore > 0 && waited > 0 {
		req.Deadline = req.Deadline.Add(-waited)
	}
	return req
}

// Rank returns the rank of the request.
func (r *Run) Rank() request.Rank { return r.Request.Request.Rank }

// Rank returns the rank of the request.
func (d *Dispatch) Rank() request.Rank { return d.Request.Request.Rank }

// Load is the load of an upstream as known to its holder.
type Load struct {
	InUse   int `cbor:"u"`
	Waiting int `cbor:"w"`
	// MeanServiceTime is the mean time until a request is answered.
	MeanServiceTime time.Duration `cbor:"s,omitempty"`
	// Warm says that the holder has completed a request on the upstream, so that
	// it probably has open connections to it.
	Warm bool `cbor:"hot,omitempty"`
	// Unreachable says that the holder's latest connections to the upstream
	// failed.
	Unreachable bool `cbor:"f,omitempty"`
}

// RunReply is the reply to Run and Dispatch.
type RunReply struct {
	Answer request.Answer `cbor:"ans"`
	Load   Load           `cbor:"load"`
}

// Encode encodes an envelope with the given body.
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

// Decode decodes an envelope and checks its version. The error wraps
// ErrMalformed or ErrVersion.
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

// EncodeBody encodes a body without an envelope.
func EncodeBody(body any) ([]byte, error) { return cbor.Marshal(body) }

// DecodeBody decodes the body of an envelope into dst. The error wraps
// ErrMalformed.
func DecodeBody(body []byte, dst any) error {
	if err := cbor.Unmarshal(body, dst); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
