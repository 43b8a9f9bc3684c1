// Package spread implements the gossip and anti-entropy protocol by which all
// daemons converge on the same set of facts.
//
// A fact has a kind, a key and a version. Of two versions of a fact the higher
// one wins, so facts may arrive out of order, repeatedly and from any peer. A
// daemon forwards each fact that is new to it to its neighbours, and compares
// digests with them to repair losses. Facts are hashed into buckets by ID.
// Daemons whose digests differ compare the digests of the buckets, and then the
// versions in the buckets that differ, so the cost of a repair depends on the
// number of differences and not on the number of facts.
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

// ID identifies a fact.
type ID struct {
	Kind Kind   `cbor:"k"`
	Key  string `cbor:"n"`
}

// Fact is one version of a fact.
type Fact struct {
	ID      ID     `cbor:"id"`
	Version uint64 `cbor:"v"`
	// ExpiresMs is when the fact expires, in milliseconds since the Unix epoch,
	// or 0 if it does not expire.
	ExpiresMs int64  `cbor:"x,omitempty"`
	Body      []byte `cbor:"b,omitempty"`
}

// Expired reports whether the fact has expired and may be dropped.
func (f Fact) Expired(now time.Time) bool {
	return f.ExpiresMs != 0 && now.UnixMilli() >= f.ExpiresMs
}

// Buckets is the number of buckets in a store. All daemons of a fleet must use
// the same number.
const Buckets = 256

// Store holds the facts known to a daemon. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	buckets [Buckets]bucket
	digest  uint64
}

type bucket struct {
	facts  map[ID]Fact
	digest uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{}
	for i := range s.buckets {
		s.buckets[i].facts = map[ID]Fact{}
	}
	return s
}

// Merge adds facts to the store and returns those that were newer than the
// stored version. Expired facts are ignored.
func (s *Store) Merge(facts []Fact, now time.Time) []Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newer []Fact
	for _, f := range facts {
		current, ok := s.bucketOf(f.ID).facts[f.ID]
		if f.Expired(now) || (ok && current.Version >= f.Version) {
			continue
		}
		if ok {
			s.remove(current)
		}
		s.add(f)
		newer = append(newer, f)
	}
	return newer
}

// Purge removes expired facts.
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

// Get returns the fact with the given ID.
func (s *Store) Get(id ID) (Fact, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.bucketOf(id).facts[id]
	return f, ok
}

// Digest returns a digest of the IDs and versions of all facts. It does not
// depend on the order in which they were added.
func (s *Store) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// All returns all facts, sorted by kind and key.
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
	// Writes to an xxhash.Digest never fail.
	_, _ = d.WriteString(string(f.ID.Kind))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(f.ID.Key)
	var version [8]byte
	binary.BigEndian.PutUint64(version[:], f.Version)
	_, _ = d.Write(version[:])
	return d.Sum64()
}
