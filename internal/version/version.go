// Package version holds the version of the release.
package version

// Version is the version of the release that a binary is built from.
const Version = "0.1.0"
