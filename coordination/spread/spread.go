// Package spread decides what daemons tell each other so that all of them
// come to hold the same facts.
//
// A fact has a kind, a key and a version. Of two versions of a fact the
// higher one wins, so that facts may arrive in any order, more than once and
// from any peer. A daemon passes each fact that is new to it on to its
// neighbours, and compares digests with them to repair what was lost. Facts
// fall into buckets by their identity; daemons whose digests differ compare
// those of the buckets, then the versions in the buckets that differ, so that
// a repair costs what differs and not what is known.
package spread

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a fact.
type Kind string

// ID names a fact.
type ID struct {
	Kind Kind   `cbor:"k"`
	Key  string `cbor:"n"`
}

// Fact is one version of a fact.
type Fact struct {
	ID      ID     `cbor:"id"`
	Version uint64 `cbor:"v"`
	// ExpiresMs is when the fact is forgotten, in milliseconds since 1970; 0
	// is never.
	ExpiresMs int64  `cbor:"x,omitempty"`
	Body      []byte `cbor:"b,omitempty"`
}

// Expired reports whether the fact is to be forgotten.
func (f Fact) Expired(now time.Time) bool {
	return f.ExpiresMs != 0 && now.UnixMilli() >= f.ExpiresMs
}

// Buckets is how many buckets the facts of a store fall into. All daemons of
// a fleet use the same number.
const Buckets = 256

// Store holds the facts that a daemon knows. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	buckets [Buckets]bucket
	digest  uint64
}

type bucket struct {
	facts  map[ID]Fact
	digest uint64
}

// NewStore returns a store with no facts.
func NewStore() *Store {
	s := &Store{}
	for i := range s.buckets {
		s.buckets[i].facts = map[ID]Fact{}
	}
	return s
}

// Merge takes facts over and returns those that were newer than what the
// store held.
func (s *Store) Merge(facts []Fact, now time.Time) []Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newer []Fact
	for _, f := range facts {
		held, ok := s.bucketOf(f.ID).facts[f.ID]
		if f.Expired(now) || (ok && held.Version >= f.Version) {
			continue
		}
		if ok {
			s.remove(held)
		}
		s.add(f)
		newer = append(newer, f)
	}
	return newer
}

// Purge forgets the facts that have expired.
func (s *Store) Purge(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.buckets {
		for _, f := range s.buckets[i].facts {
			if f.Expired(now) {
				s.remove(f)
			}
		}
	}
}

// Get returns a fact.
func (s *Store) Get(id ID) (Fact, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.bucketOf(id).facts[id]
	return f, ok
}

// Digest is equal for stores with equal facts, in whatever order they came.
func (s *Store) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// All returns all facts, by kind and key.
func (s *Store) All() []Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Fact
	for i := range s.buckets {
		for _, f := range s.buckets[i].facts {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Fact) int { return a.ID.compare(b.ID) })
	return out
}

func (s *Store) bucketOf(id ID) *bucket { return &s.buckets[bucketIndex(id)] }

func (s *Store) add(f Fact) {
	b := s.bucketOf(f.ID)
	b.facts[f.ID] = f
	b.digest ^= f.hash()
	s.digest ^= f.hash()
}

func (s *Store) remove(f Fact) {
	b := s.bucketOf(f.ID)
	delete(b.facts, f.ID)
	b.digest ^= f.hash()
	s.digest ^= f.hash()
}

func bucketIndex(id ID) int {
	return int(Fact{ID: id}.hash() % Buckets)
}

func (id ID) compare(o ID) int {
	switch {
	case id.Kind < o.Kind:
		return -1
	case id.Kind > o.Kind:
		return 1
	case id.Key < o.Key:
		return -1
	case id.Key > o.Key:
		return 1
	}
	return 0
}

func (f Fact) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest never fail.
	_, _ = d.WriteString(string(f.ID.Kind))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(f.ID.Key)
	var version [8]byte
	binary.BigEndian.PutUint64(version[:], f.Version)
	_, _ = d.Write(version[:])
	return d.Sum64()
}
