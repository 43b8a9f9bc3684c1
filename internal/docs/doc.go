// Package docs checks that the documentation only names tests that exist.
package docs
