package operatorapi

// PathExplainRequest of a gateway's metrics listener answers with a RequestExplanation. It
// takes the parameters below; all but ParamHost and ParamPath may be left out.
const PathExplainRequest = "/v1/explain-request"

// Parameters of PathExplainRequest.
const (
	ParamHost = "host"
	ParamPath = "path"
	// ParamOrganisation is the name of the organisation whose request it is.
	ParamOrganisation = "organisation"
	// ParamObject identifies the object of the request, and ParamID the request.
	ParamObject = "object"
	ParamID     = "id"
	// ParamDeadlineMs is how long the client waits, in milliseconds.
	ParamDeadlineMs = "deadline_ms"
)

// RequestExplanation states what a gateway would do with a request now, and why.
type RequestExplanation struct {
	Gateway              string `json:"gateway"`
	ConfigurationVersion uint64 `json:"configuration_version"`
	// ConfigurationAgeMs is how long ago the configuration was known to be current.
	ConfigurationAgeMs int64  `json:"configuration_age_ms"`
	Route              string `json:"route,omitempty"`
	Organisation       string `json:"organisation,omitempty"`
	// Rank is the urgency; 0 is the most urgent.
	Rank int `json:"rank"`
	// Service is the one by the request's ID or, without one, the service with the
	// largest weight of Services.
	Service  string                  `json:"service,omitempty"`
	Services []ExplainedServiceShare `json:"services,omitempty"`
	Quota    *ExplainedQuota         `json:"quota,omitempty"`

	// Backend is the server that the request would be sent to, or the one that it would
	// wait for or that is too full for it.
	Backend string `json:"backend,omitempty"`
	// Action is what would be done with it, and Reason why.
	Action ExplainedAction `json:"action"`
	Reason string          `json:"reason"`
	// Status is that of the gateway's own answer if the request is refused.
	Status       int   `json:"status,omitempty"`
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// MaxWaitMs is how long the request would wait for room at most.
	MaxWaitMs int64 `json:"max_wait_ms,omitempty"`

	// Servers are the first servers in the order in which they are considered, and the
	// first of those that may not get the request. MoreServers counts the others by
	// standing.
	Servers     []ExplainedServer `json:"servers,omitempty"`
	MoreServers map[string]int    `json:"more_servers,omitempty"`
}

// ExplainedAction is what a gateway would do with a request.
type ExplainedAction string

// The actions.
const (
	ActionSend   ExplainedAction = "send"
	ActionWait   ExplainedAction = "wait"
	ActionRefuse ExplainedAction = "refuse"
)

// ExplainedServiceShare is a service to which a route sends a part of its requests.
type ExplainedServiceShare struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// ExplainedQuota is the quota of an organisation over all daemons, and the units of it
// that this daemon has. Without one, it asks other daemons.
type ExplainedQuota struct {
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	Units         int     `json:"units"`
}

// ExplainedServer is a backend server in a RequestExplanation.
type ExplainedServer struct {
	Backend    string `json:"backend"`
	DataCentre string `json:"datacentre"`
	Region     string `json:"region"`
	// Standing is "chosen", "usable", or why the server may not get the request.
	Standing string `json:"standing"`
	// ChangesInMs is when the standing is expected to change, or 0 if that is not known.
	ChangesInMs int64 `json:"changes_in_ms,omitempty"`
	Requests    int   `json:"requests"`
	Slots       int   `json:"slots"`
	// LatencyMs is the expected time until the server's answer.
	LatencyMs int64 `json:"latency_ms"`
}
