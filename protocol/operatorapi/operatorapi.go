// Package operatorapi defines the HTTP API of a daemon's operator listener,
// through which operators read the daemon's state and notify it of changes.
package operatorapi

// Paths of the operator listener.
const (
	PathStatus  = "/v1/status"
	PathEntries = "/v1/entries"
	// PathExplain takes the parameters ParamService and ParamCaller.
	PathExplain = "/v1/explain"
	PathMetrics = "/debug/vars"
)

// Parameters of PathExplain.
const (
	ParamService = "service"
	ParamCaller  = "caller"
)

// Status is the state of a daemon and its view of the fleet.
type Status struct {
	Host             string      `json:"host"`
	Incarnation      string      `json:"incarnation"`
	DataCentre       string      `json:"datacentre"`
	Region           string      `json:"region"`
	Leaving          bool        `json:"leaving"`
	CatalogueVersion uint64      `json:"catalogue_version"`
	Members          []Member    `json:"members"`
	Standing         FleetStatus `json:"standing"`
	// Invalid lists the catalogue objects that the daemon skips.
	Invalid []InvalidObject `json:"invalid,omitempty"`
}

// Member is one entry host as seen by the daemon.
type Member struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"datacentre"`
	Region      string `json:"region"`
	State       string `json:"state"`
}

// Entry is one catalogue entry at the version that is in force.
type Entry struct {
	Entry   string `json:"entry"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Explanation states where a caller's requests would be sent now, and why.
type Explanation struct {
	Host             string           `json:"host"`
	CatalogueVersion uint64           `json:"catalogue_version"`
	Service          string           `json:"service"`
	Rank             string           `json:"rank"`
	Caller           string           `json:"caller,omitempty"`
	Hosts            []HostChoice     `json:"hosts"`
	Upstreams        []UpstreamChoice `json:"upstreams"`
}

// HostChoice is one entry host in an Explanation. Order counts from 1; 0 means
// that the host is not returned to the caller.
type HostChoice struct {
	Order      int    `json:"order"`
	Host       string `json:"host"`
	DataCentre string `json:"datacentre"`
	Region     string `json:"region"`
	State      string `json:"state"`
	Reason     string `json:"reason"`
}

// UpstreamChoice is one upstream in an Explanation. Order counts from 1; 0
// means that the upstream gets no new requests.
type UpstreamChoice struct {
	Order      int    `json:"order"`
	Upstream   string `json:"upstream"`
	DataCentre string `json:"datacentre"`
	// Holder is the host that schedules the upstream's slots.
	Holder string `json:"holder,omitempty"`
	// Distance is 0 in the daemon's data centre, 1 in its region and 2
	// elsewhere.
	Distance int `json:"distance"`
	Slots    int `json:"slots"`
	InUse    int `json:"in_use"`
	Waiting  int `json:"waiting"`
	// CostMs is the expected time in transit and in the queue.
	CostMs int64  `json:"cost_ms"`
	Reason string `json:"reason"`
}

// ErrorResponse is the body of a response with a status other than 200.
type ErrorResponse struct {
	Field string `json:"field,omitempty"`
	Error string `json:"error"`
}
