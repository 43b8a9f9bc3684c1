package spread

import "slices"

// FactVersion is the version of a fact that a store holds.
type FactVersion struct {
	ID      ID     `cbor:"id"`
	Version uint64 `cbor:"v"`
}

// Summary lists the fact versions in some buckets of a store.
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

// DifferingBuckets returns a summary of the buckets whose digests differ from
// those of another store.
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

// Compare compares the store with the summary of another store. It returns the
// IDs of the facts that are missing or older in this store, and the facts that
// are missing or older in the other store.
func (s *Store) Compare(other Summary) (missing []ID, surplus []Fact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remoteVersions := make(map[ID]uint64, len(other.Versions))
	for _, remote := range other.Versions {
		remoteVersions[remote.ID] = remote.Version
		current, ok := s.bucketOf(remote.ID).facts[remote.ID]
		if !ok || current.Version < remote.Version {
			missing = append(missing, remote.ID)
		}
	}
	for _, i := range other.Buckets {
		if i < 0 || i >= Buckets {
			continue
		}
		for id, f := range s.buckets[i].facts {
			if version, ok := remoteVersions[id]; !ok || version < f.Version {
				surplus = append(surplus, f)
			}
		}
	}
	return missing, surplus
}

// Fetch returns the stored facts with the given IDs.
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

// Batches splits facts into batches whose bodies total at most maxBytes. A
// single fact that exceeds this limit forms its own batch.
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
