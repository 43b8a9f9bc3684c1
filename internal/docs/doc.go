// Package docs checks that the documents name tests that exist.
package docs
