// Package platformapi defines the platform's object API over HTTP.
// docs/PLATFORM.md documents it.
package platformapi

// Paths and parameters of the platform.
const (
	// PathObjects is followed by a kind, or by a kind and a name.
	PathObjects = "/objects/"
	// PathWatch is followed by a kind.
	PathWatch = "/watch/"
	PathHosts = "/hosts"
	// HeaderIfVersion is the version that the object must have for a write.
	HeaderIfVersion = "If-Version"
	// ParamAfter is the version after which a watch starts.
	ParamAfter = "after"
)

// WriteResponse is the response to a write.
type WriteResponse struct {
	Version uint64 `json:"version"`
}
