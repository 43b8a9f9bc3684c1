// Package callerapi defines what callers send and get: paths, headers and
// bodies of the callers' listener. docs/CALLER.md describes it for callers.
package callerapi

import (
	"net/http"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

// Paths of the callers' listener.
const (
	PathLookup = "/v1/lookup"
	// PathRun is followed by the service and the path to call there.
	PathRun = "/v1/run/"
	// PathReports is followed by the name of an accepted request.
	PathReports = "/v1/reports/"
)

// Parameters of a look-up.
const (
	ParamService = "service"
	// ParamClient is the address to steer by, if not the caller's own.
	ParamClient = "client"
)

// Headers of requests and answers.
const (
	HeaderKey       = "Tiller-Key"
	HeaderDeadline  = "Tiller-Deadline-Ms"
	HeaderRequestID = "Tiller-Request-Id"
	HeaderOutcome   = "Tiller-Outcome"
	HeaderReason    = "Tiller-Reason"
	HeaderUpstream  = "Tiller-Upstream"
	HeaderHost      = "Tiller-Host"
	// HeaderReport names an accepted request.
	HeaderReport = "Tiller-Report"
	// HeaderHosts lists the addresses of entry hosts to use, best first.
	HeaderHosts = "Tiller-Hosts"
)

// Host is one entry host a caller may use.
type Host struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	Region     string `json:"region"`
}

// LookupResponse is the answer of a look-up. Hosts are in the order to try them.
type LookupResponse struct {
	Service string `json:"service"`
	// Version is the catalogue version that the answer was made from.
	Version uint64 `json:"version"`
	TTLMs   int64  `json:"ttl_ms"`
	Hosts   []Host `json:"hosts"`
	// Key is set for a service that is not idempotent. It serves one request.
	Key        string    `json:"key,omitempty"`
	KeyExpires time.Time `json:"key_expires,omitzero"`
}

// ErrorResponse is the body of an answer whose outcome is not done.
type ErrorResponse struct {
	Outcome   request.Outcome `json:"outcome"`
	Reason    request.Reason  `json:"reason"`
	Detail    string          `json:"detail,omitempty"`
	RequestID string          `json:"request_id,omitempty"`
	// Key is a fresh key, given when the request needs another one to run.
	Key string `json:"key,omitempty"`
}

var statuses = map[request.Reason]int{
	request.ReasonUnknownPath:    http.StatusNotFound,
	request.ReasonUnknownService: http.StatusNotFound,
	request.ReasonBadRequest:     http.StatusBadRequest,
	request.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	request.ReasonLimit:          http.StatusTooManyRequests,
	request.ReasonKeyRequired:    http.StatusPreconditionRequired,
	request.ReasonKeyInvalid:     http.StatusBadRequest,
	request.ReasonKeyExpired:     http.StatusGone,
	request.ReasonKeyReused:      http.StatusConflict,
	request.ReasonAnswerNotKept:  http.StatusGone,
	request.ReasonPoison:         http.StatusUnprocessableEntity,
	request.ReasonStored:         http.StatusAccepted,
	request.ReasonUnknownReport:  http.StatusNotFound,
}

// HTTPStatus returns the HTTP status of an answer whose outcome is not done.
func HTTPStatus(outcome request.Outcome, reason request.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	if outcome == request.OutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
