package spread

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(1_800_000_000, 0)

func fact(key string, version uint64) Fact {
	return Fact{ID: ID{Kind: "k", Key: key}, Version: version, Body: fmt.Appendf(nil, "%s@%d", key, version)}
}

func storeOf(facts ...Fact) *Store {
	s := NewStore()
	s.Merge(facts, now)
	return s
}

// repair reconciles two stores and returns the number of versions and facts
// that were exchanged.
func repair(a, b *Store) (versions, facts int) {
	summary := b.DifferingBuckets(a.BucketDigests())
	missing, surplus := a.Compare(summary)
	fetched := b.Fetch(missing)
	a.Merge(fetched, now)
	b.Merge(surplus, now)
	return len(summary.Versions), len(fetched) + len(surplus)
}

func TestMergeIgnoresOlderVersions(t *testing.T) {
	s := storeOf(fact("a", 5))
	if newer := s.Merge([]Fact{fact("a", 4), fact("a", 5)}, now); len(newer) != 0 {
		t.Errorf("merged %v although version 5 is stored", newer)
	}
	if got, _ := s.Get(ID{"k", "a"}); got.Version != 5 {
		t.Errorf("version %d, want 5", got.Version)
	}
}

func TestExpiredFactsArePurgedAndNotMergedAgain(t *testing.T) {
	f := fact("a", 1)
	f.ExpiresMs = now.UnixMilli() + 10
	s := storeOf(f)
	later := now.Add(10 * time.Millisecond)
	s.Purge(later)
	if s.Digest() != NewStore().Digest() || len(s.All()) != 0 {
		t.Error("expired fact was not purged")
	}
	if newer := s.Merge([]Fact{f}, later); len(newer) != 0 {
		t.Error("expired fact was merged again")
	}
}

func TestRepairMakesStoresEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Fact {
			return fact(rapid.StringMatching("[a-j]").Draw(t, "key"), rapid.Uint64Range(1, 4).Draw(t, "version"))
		}))
		a, b := storeOf(facts.Draw(t, "a")...), storeOf(facts.Draw(t, "b")...)
		repair(a, b)
		if a.Digest() != b.Digest() || fmt.Sprint(a.All()) != fmt.Sprint(b.All()) {
			t.Fatalf("stores differ after repair: %v and %v", a.All(), b.All())
		}
	})
}

func TestRepairCostIsProportionalToDifference(t *testing.T) {
	const known, missed = 12_800, 3
	full, partial := NewStore(), NewStore()
	for i := range known {
		f := fact(fmt.Sprint("key-", i), 1)
		full.Merge([]Fact{f}, now)
		if i >= missed {
			partial.Merge([]Fact{f}, now)
		}
	}
	versions, facts := repair(partial, full)
	if facts != missed {
		t.Errorf("%d facts were exchanged, want %d", facts, missed)
	}
	if bound := missed * known / Buckets * 2; versions > bound {
		t.Errorf("%d versions were exchanged, want at most %d", versions, bound)
	}
	if partial.Digest() != full.Digest() {
		t.Error("stores differ after repair")
	}
}

func TestBatchesKeepOrderAndSizeLimit(t *testing.T) {
	facts := []Fact{{Body: make([]byte, 6)}, {Body: make([]byte, 4)}, {Body: make([]byte, 20)}, {Body: make([]byte, 1)}}
	var sizes []int
	for _, batch := range Batches(facts, 10) {
		sizes = append(sizes, len(batch))
	}
	if fmt.Sprint(sizes) != "[2 1 1]" {
		t.Errorf("batches of %v, want [2 1 1]", sizes)
	}
}
