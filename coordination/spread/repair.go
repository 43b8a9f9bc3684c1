package spread

import "slices"

// FactVersion is the version that a store holds of one fact.
type FactVersion struct {
	ID      ID     `cbor:"id"`
	Version uint64 `cbor:"v"`
}

// Summary is what a store holds in some of its buckets.
type Summary struct {
	Buckets  []int         `cbor:"b,omitempty"`
	Versions []FactVersion `cbor:"s,omitempty"`
}

// BucketDigests returns the digest of each bucket.
func (s *Store) BucketDigests() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]uint64, Buckets)
	for i := range s.buckets {
		out[i] = s.buckets[i].digest
	}
	return out
}

// DifferingBuckets returns what this store holds in the buckets whose digests
// differ from those of another store.
func (s *Store) DifferingBuckets(digests []uint64) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out Summary
	for i := range s.buckets {
		if i < len(digests) && digests[i] == s.buckets[i].digest {
			continue
		}
		out.Buckets = append(out.Buckets, i)
		for id, f := range s.buckets[i].facts {
			out.Versions = append(out.Versions, FactVersion{ID: id, Version: f.Version})
		}
	}
	return out
}

// Compare returns which facts this store lacks, or holds older, and those
// that the other store lacks, or holds older.
func (s *Store) Compare(other Summary) (lacking []ID, surplus []Fact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	theirs := make(map[ID]uint64, len(other.Versions))
	for _, stamp := range other.Versions {
		theirs[stamp.ID] = stamp.Version
		held, ok := s.bucketOf(stamp.ID).facts[stamp.ID]
		if !ok || held.Version < stamp.Version {
			lacking = append(lacking, stamp.ID)
		}
	}
	for _, i := range other.Buckets {
		if i < 0 || i >= Buckets {
			continue
		}
		for id, f := range s.buckets[i].facts {
			if version, ok := theirs[id]; !ok || version < f.Version {
				surplus = append(surplus, f)
			}
		}
	}
	return lacking, surplus
}

// Fetch returns the facts with the given identities that the store holds.
func (s *Store) Fetch(ids []ID) []Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Fact
	for _, id := range ids {
		if f, ok := s.bucketOf(id).facts[id]; ok {
			out = append(out, f)
		}
	}
	return out
}

// Batches cuts facts into batches whose bodies have at most the given bytes
// together. A single larger fact is a batch of its own.
func Batches(facts []Fact, maxBytes int) [][]Fact {
	var out [][]Fact
	for start := 0; start < len(facts); {
		end, size := start+1, len(facts[start].Body)
		for end < len(facts) && size+len(facts[end].Body) <= maxBytes {
			size += len(facts[end].Body)
			end++
		}
		out = append(out, slices.Clip(facts[start:end]))
		start = end
	}
	return out
}
