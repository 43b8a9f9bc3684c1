// Package operatorapi defines what operators read from a daemon's listener
// for operators.
package operatorapi

// Paths of the operators' listener.
const (
	PathStatus  = "/v1/status"
	PathMetrics = "/debug/vars"
)

// Status is what a daemon knows of itself and the fleet.
type Status struct {
	Host             string   `json:"host"`
	Incarnation      string   `json:"incarnation"`
	DataCentre       string   `json:"datacentre"`
	Region           string   `json:"region"`
	Leaving          bool     `json:"leaving"`
	CatalogueVersion uint64   `json:"catalogue_version"`
	Members          []Member `json:"members"`
	Standing         Standing `json:"standing"`
	// Invalid names the objects of the catalogue that are skipped.
	Invalid []InvalidObject `json:"invalid,omitempty"`
}

// Member is one entry host as the daemon sees it.
type Member struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"datacentre"`
	Region      string `json:"region"`
	State       string `json:"state"`
}
