// Package platformapi defines the HTTP form of the platform's object API.
// docs/PLATFORM.md describes it.
package platformapi

// Paths and parameters of the platform.
const (
	// PathObjects is followed by a kind, or by a kind and a name.
	PathObjects = "/objects/"
	// PathWatch is followed by a kind.
	PathWatch = "/watch/"
	PathHosts = "/hosts"
	// HeaderIfVersion is the version a write asks for.
	HeaderIfVersion = "If-Version"
	// ParamAfter is the version a watch starts behind.
	ParamAfter = "after"
)

// WriteResponse is the answer of a write.
type WriteResponse struct {
	Version uint64 `json:"version"`
}
