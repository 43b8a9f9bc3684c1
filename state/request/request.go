// Package request defines the types for a caller's request and its answer as
// they pass through the system.
//
// Each request ends with exactly one of four outcomes. OutcomeDone carries the
// complete answer of the backend server. OutcomeNotRun states that no backend
// server ran or will run the request. OutcomeUnknown states that it may have
// run; the caller can find out more by sending the same key again.
// OutcomeAccepted states that the platform stores a durable request until it
// is answered.
package request

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is the final state of a request.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone     Outcome = "done"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeAccepted Outcome = "accepted"
)

// Rank is the urgency of a request.
type Rank int

// Ranks, most urgent first.
const (
	RankPayment Rank = iota
	RankLookup
	RankReport
	// RankCount is the number of ranks.
	RankCount
)

var rankNames = [RankCount]string{"payment", "lookup", "report"}

// UnknownRankError is returned by ParseRank for an unknown name.
type UnknownRankError struct{ Name string }

func (e UnknownRankError) Error() string {
	return fmt.Sprintf("unknown rank %q, want payment, lookup or report", e.Name)
}

// ParseRank returns the rank with the given name, or an UnknownRankError.
func ParseRank(name string) (Rank, error) {
	for r, n := range rankNames {
		if n == name {
			return Rank(r), nil
		}
	}
	return 0, UnknownRankError{Name: name}
}

func (r Rank) String() string {
	if r < 0 || r >= RankCount {
		return fmt.Sprintf("rank(%d)", int(r))
	}
	return rankNames[r]
}

// MarshalText returns the rank's name.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the rank's name. It returns an UnknownRankError for any
// other text.
func (r *Rank) UnmarshalText(text []byte) error {
	parsed, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}

// Request is one caller's request. Daemons forward it to each other unchanged.
type Request struct {
	// ID identifies this attempt. The backend server echoes it in its answer.
	ID string
	// Key is the key with which the caller may run a non-idempotent request
	// once. It is empty for idempotent work.
	Key     string
	Service string
	Owner   string
	Rank    Rank
	// Caller is the address of the caller, without a port.
	Caller string
	Method string
	// Path is the part of the URL after the service, including the query.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Reason is the machine-readable reason for an outcome.
type Reason string

// Reasons for an outcome.
const (
	ReasonAnswered        Reason = "answered"
	ReasonReplayed        Reason = "replayed"
	ReasonAnswerNotKept   Reason = "answer-not-kept"
	ReasonUnknownPath     Reason = "unknown-path"
	ReasonUnknownService  Reason = "unknown-service"
	ReasonBadRequest      Reason = "bad-request"
	ReasonTooLarge        Reason = "too-large"
	ReasonNoCatalogue     Reason = "no-catalogue"
	ReasonNoUpstream      Reason = "no-upstream"
	ReasonDraining        Reason = "draining"
	ReasonShed            Reason = "shed"
	ReasonQueueFull       Reason = "queue-full"
	ReasonTooLate         Reason = "too-late"
	ReasonDeadline        Reason = "deadline"
	ReasonCancelled       Reason = "cancelled"
	ReasonLimit           Reason = "limit"
	ReasonLink            Reason = "link"
	ReasonShift           Reason = "shift"
	ReasonStopping        Reason = "stopping"
	ReasonKeyRequired     Reason = "key-required"
	ReasonKeyInvalid      Reason = "key-invalid"
	ReasonKeyExpired      Reason = "key-expired"
	ReasonKeyReused       Reason = "key-reused"
	ReasonOwnerGone       Reason = "owner-gone"
	ReasonPeerUnreachable Reason = "peer-unreachable"
	ReasonPeerLost        Reason = "peer-lost"
	ReasonConnect         Reason = "connect"
	ReasonConnectionLost  Reason = "connection-lost"
	// ReasonConnectionClosed means that the backend server closed the
	// connection before answering, as happens when it crashes.
	ReasonConnectionClosed Reason = "connection-closed"
	// ReasonSilentConnection means that the connection to the backend server
	// stayed open but no longer carried any data.
	ReasonSilentConnection Reason = "silent-connection"
	ReasonBadAnswer        Reason = "bad-answer"
	ReasonNotHolder        Reason = "not-holder"
	ReasonPoison           Reason = "poison"
	// ReasonStored means that the platform has stored a durable request,
	// ReasonStoreUnknown that it may have.
	ReasonStored        Reason = "stored"
	ReasonStoreUnknown  Reason = "store-unknown"
	ReasonUnknownReport Reason = "unknown-report"
)

// Answer is the outcome of a request and, if it was done, the backend server's
// response.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	// Detail is a human-readable addition, such as the field or peer concerned.
	Detail string
	// Status, Header and Body are the backend server's, set when Outcome is
	// OutcomeDone.
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string
	// Report is the name of an accepted request.
	Report string
}

// NotRunAnswer returns an answer stating that the request did not run.
func NotRunAnswer(reason Reason, detail string) Answer {
	return Answer{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// UnknownAnswer returns an answer stating that the request may have run.
func UnknownAnswer(reason Reason, detail string) Answer {
	return Answer{Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}
