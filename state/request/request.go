// Package request holds the types that describe one caller's request on its
// way through the system and the answer that comes back for it.
//
// A request ends in exactly one of four outcomes. Done carries the whole
// answer of the backend server. NotRun states that no backend server ran or
// will run the request. Unknown states that it may have run; the caller
// learns more by sending the same key again. Accepted states that the platform
// keeps a durable request until it is answered.
package request

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone     Outcome = "done"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeAccepted Outcome = "accepted"
)

// Rank orders work by urgency.
type Rank int

// The ranks, most urgent first.
const (
	RankPayment Rank = iota
	RankLookup
	RankReport
	// RankCount is the number of ranks.
	RankCount
)

var rankNames = [RankCount]string{"payment", "lookup", "report"}

// UnknownRankError is returned by ParseRank for a name that is no rank.
type UnknownRankError struct{ Name string }

func (e UnknownRankError) Error() string {
	return fmt.Sprintf("rank %q is none of payment, lookup, report", e.Name)
}

// ParseRank returns the rank with the given name, or ErrUnknownRank.
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

// MarshalText writes the rank's name.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads the rank's name.
func (r *Rank) UnmarshalText(text []byte) error {
	parsed, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}

// Request is one caller's request. It travels between daemons unchanged.
type Request struct {
	// ID identifies this attempt. A backend server echoes it on its answer.
	ID string
	// Key is the caller's permit, empty for idempotent work.
	Key     string
	Service string
	Owner   string
	Rank    Rank
	// Caller is the address of the caller, without a port.
	Caller string
	Method string
	// Path is the part of the URL behind the service, with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Reason says in one machine-readable word why a request had its outcome.
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
	// ReasonConnectionClosed says that the backend server closed the
	// connection before it answered, as it does when it crashes.
	ReasonConnectionClosed Reason = "connection-closed"
	// ReasonSilentConnection says that the connection to the backend server was open and
	// carried nothing any more.
	ReasonSilentConnection Reason = "silent-connection"
	ReasonBadAnswer        Reason = "bad-answer"
	ReasonNotHolder        Reason = "not-holder"
	ReasonPoison           Reason = "poison"
	// ReasonStored says that the platform keeps a durable request,
	// ReasonStoreUnknown that it may.
	ReasonStored        Reason = "stored"
	ReasonStoreUnknown  Reason = "store-unknown"
	ReasonUnknownReport Reason = "unknown-report"
)

// Answer is the end of a request.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	// Detail names the field or peer concerned, for people.
	Detail string
	// Status, Header and Body are the backend server's, set when Outcome is Done.
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string
	// Report names an accepted request.
	Report string
}

// NotRunAnswer returns an answer that says the request did not run.
func NotRunAnswer(reason Reason, detail string) Answer {
	return Answer{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// UnknownAnswer returns an answer that says the request may have run.
func UnknownAnswer(reason Reason, detail string) Answer {
	return Answer{Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}
