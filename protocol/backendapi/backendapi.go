// Package backendapi defines the HTTP API that a backend server provides.
// docs/BACKEND.md documents it for operators of backend servers.
package backendapi

// Paths of a backend server.
const (
	PathRun    = "/run/"
	PathHealth = "/health"
	PathLoad   = "/load"
	// PathCancel is followed by a request ID.
	PathCancel = "/cancel/"
	// PathStatus is followed by a request ID.
	PathStatus = "/status/"
)

// Headers of requests and responses.
const (
	// HeaderRequestID identifies a request. The response must echo it.
	HeaderRequestID = "Tiller-Request-Id"
	HeaderKey       = "Tiller-Key"
	// HeaderDeadline is the time left until the request's deadline, in
	// milliseconds.
	HeaderDeadline = "Tiller-Deadline-Ms"
	// HeaderShed is "true" on the response to a request that was not run.
	HeaderShed = "Tiller-Shed"
)

// LoadReport is the response to PathLoad.
type LoadReport struct {
	Slots    int  `json:"slots"`
	InUse    int  `json:"in_use"`
	Draining bool `json:"draining,omitempty"`
	// TimeMs is when the report was made, in Unix milliseconds.
	TimeMs int64 `json:"time_ms"`
}

// CancelState is the state of a cancelled request.
type CancelState string

// States of a cancelled request.
const (
	// CancelNotStarted confirms that the request did not run and will not run.
	CancelNotStarted CancelState = "not-started"
	// CancelStarted means that the request has started to run.
	CancelStarted CancelState = "started"
)

// CancelResponse is the response to PathCancel.
type CancelResponse struct {
	State CancelState `json:"state"`
}

// Progress is the progress of a request at a backend server.
type Progress string

// Values of Progress.
const (
	// ProgressNone means that the server has not received the request.
	ProgressNone     Progress = "none"
	ProgressWaiting  Progress = "waiting"
	ProgressRunning  Progress = "running"
	ProgressFinished Progress = "finished"
)

// StatusResponse is the response to PathStatus. A server that does not track
// the progress of requests responds with status 404 instead.
type StatusResponse struct {
	Progress Progress `json:"progress"`
}
