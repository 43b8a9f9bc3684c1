// Package callerapi defines the HTTP API for callers: the paths, headers and
// bodies of the caller listener. docs/CALLER.md documents it for callers.
package callerapi

import (
	"net/http"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

// Paths of the caller listener.
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
	// ParamClient is the address to select hosts for, instead of the caller's.
	ParamClient = "client"
)

// Headers of requests and responses.
const (
	HeaderKey = "Tiller-Key"
	// HeaderDeadline is the time left until the caller stops waiting, in
	// milliseconds.
	HeaderDeadline  = "Tiller-Deadline-Ms"
	HeaderRequestID = "Tiller-Request-Id"
	HeaderOutcome   = "Tiller-Outcome"
	HeaderReason    = "Tiller-Reason"
	HeaderUpstream  = "Tiller-Upstream"
	HeaderHost      = "Tiller-Host"
	// HeaderReport is the name of an accepted request.
	HeaderReport = "Tiller-Report"
	// HeaderHosts lists the addresses of entry hosts to use, best first.
	HeaderHosts = "Tiller-Hosts"
)

// Host is an entry host that a caller may use.
type Host struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	Region     string `json:"region"`
}

// LookupResponse is the response to a look-up. Hosts are in the order in which
// to try them.
type LookupResponse struct {
	Service string `json:"service"`
	// Version is the catalogue version that the response is based on.
	Version uint64 `json:"version"`
	TTLMs   int64  `json:"ttl_ms"`
	Hosts   []Host `json:"hosts"`
	// Key is set for a service that is not idempotent. It is valid for one
	// request.
	Key        string    `json:"key,omitempty"`
	KeyExpires time.Time `json:"key_expires,omitzero"`
}

// ErrorResponse is the body of a response whose outcome is not done.
type ErrorResponse struct {
	Outcome   request.Outcome `json:"outcome"`
	Reason    request.Reason  `json:"reason"`
	Detail    string          `json:"detail,omitempty"`
	RequestID string          `json:"request_id,omitempty"`
	// Key is a new key. It is set if the request needs another key to run.
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

// HTTPStatus returns the HTTP status of a response whose outcome is not done.
func HTTPStatus(outcome request.Outcome, reason request.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	if outcome == request.OutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
