// Package version names the release that a binary was built from.
package version

// Version is the release.
const Version = "0.1.0"
