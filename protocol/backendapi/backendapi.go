// Package backendapi defines what the system expects of a backend server.
// docs/BACKEND.md describes it for those who run them.
package backendapi

// Paths of a backend server.
const (
	PathRun    = "/run/"
	PathHealth = "/health"
	PathLoad   = "/load"
	// PathCancel is followed by a request's identity.
	PathCancel = "/cancel/"
	// PathStatus is followed by a request's identity.
	PathStatus = "/status/"
)

// Headers of requests and answers.
const (
	// HeaderRequestID identifies a request; the answer must echo it.
	HeaderRequestID = "Tiller-Request-Id"
	HeaderKey       = "Tiller-Key"
	HeaderDeadline  = "Tiller-Deadline-Ms"
	// HeaderShed is "true" on an answer to a request that was not run.
	HeaderShed = "Tiller-Shed"
)

// LoadReport is the body of a load report.
type LoadReport struct {
	Slots    int  `json:"slots"`
	InUse    int  `json:"in_use"`
	Draining bool `json:"draining,omitempty"`
	// TimeMs is when the report was made, in milliseconds since 1970.
	TimeMs int64 `json:"time_ms"`
}

// CancelState is what became of a cancelled request.
type CancelState string

// The states of a cancelled request.
const (
	// CancelNotStarted confirms that the request did not and will not run.
	CancelNotStarted CancelState = "not-started"
	CancelStarted    CancelState = "started"
)

// CancelResponse is the answer to a cancellation.
type CancelResponse struct {
	State CancelState `json:"state"`
}

// Progress is how far a request has got.
type Progress string

// The progress of a request.
const (
	// ProgressNone says that the server has not got the request.
	ProgressNone     Progress = "none"
	ProgressWaiting  Progress = "waiting"
	ProgressRunning  Progress = "running"
	ProgressFinished Progress = "finished"
)

// StatusResponse is the answer to a question for a request's progress. A server that
// does not keep track answers with status 404 instead.
type StatusResponse struct {
	Progress Progress `json:"progress"`
}
