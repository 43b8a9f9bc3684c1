// Package affinity ranks the backend servers of a service for an object by
// rendezvous hashing, so that every daemon of a region sends the requests for one
// object to the same server while that server has capacity. A Plan keeps a part of
// the objects in the region where they are requested.
package affinity

import (
	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of an object of a service.
func Hash(service, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Score returns the score of a server for an object; the server with the
// highest score ranks first. Adding or removing servers does not change the
// order of the others.
func Score(object uint64, server uint64) uint64 {
	x := object ^ (server * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Fraction maps an object to a uniformly distributed number in [0, 1).
func Fraction(object uint64) float64 {
	return fraction(Score(object, 0x5bd1e995))
}
