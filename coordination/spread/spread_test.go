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

// repair exchanges what two stores lack of each other and returns how many
// stamps and facts that took.
func repair(a, b *Store) (stamps, facts int) {
	summary := b.DifferingBuckets(a.BucketDigests())
	lacking, surplus := a.Compare(summary)
	given := b.Fetch(lacking)
	a.Merge(given, now)
	b.Merge(surplus, now)
	return len(summary.Versions), len(given) + len(surplus)
}

func TestNeverBackwards(t *testing.T) {
	s := storeOf(fact("a", 5))
	if newer := s.Merge([]Fact{fact("a", 4), fact("a", 5)}, now); len(newer) != 0 {
		t.Errorf("merged %v over version 5", newer)
	}
	if got, _ := s.Get(ID{"k", "a"}); got.Version != 5 {
		t.Errorf("version %d, want 5", got.Version)
	}
}

func TestExpiredFactsAreForgottenAndNotTakenAgain(t *testing.T) {
	f := fact("a", 1)
	f.ExpiresMs = now.UnixMilli() + 10
	s := storeOf(f)
	later := now.Add(10 * time.Millisecond)
	s.Purge(later)
	if s.Digest() != NewStore().Digest() || len(s.All()) != 0 {
		t.Error("an expired fact is still there")
	}
	if newer := s.Merge([]Fact{f}, later); len(newer) != 0 {
		t.Error("an expired fact was taken again")
	}
}

func TestRepairMakesAnyTwoStoresEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Fact {
			return fact(rapid.StringMatching("[a-j]").Draw(t, "key"), rapid.Uint64Range(1, 4).Draw(t, "version"))
		}))
		a, b := storeOf(facts.Draw(t, "a")...), storeOf(facts.Draw(t, "b")...)
		repair(a, b)
		if a.Digest() != b.Digest() || fmt.Sprint(a.All()) != fmt.Sprint(b.All()) {
			t.Fatalf("stores differ after a repair: %v and %v", a.All(), b.All())
		}
	})
}

func TestRepairCostsWhatDiffers(t *testing.T) {
	const known, missed = 12_800, 3
	full, partial := NewStore(), NewStore()
	for i := range known {
		f := fact(fmt.Sprint("key-", i), 1)
		full.Merge([]Fact{f}, now)
		if i >= missed {
			partial.Merge([]Fact{f}, now)
		}
	}
	stamps, facts := repair(partial, full)
	if facts != missed {
		t.Errorf("%d facts were exchanged, want %d", facts, missed)
	}
	if bound := missed * known / Buckets * 2; stamps > bound {
		t.Errorf("%d stamps were exchanged, want at most %d", stamps, bound)
	}
	if partial.Digest() != full.Digest() {
		t.Error("stores differ after the repair")
	}
}

func TestBatchesKeepOrderAndBound(t *testing.T) {
	facts := []Fact{{Body: make([]byte, 6)}, {Body: make([]byte, 4)}, {Body: make([]byte, 20)}, {Body: make([]byte, 1)}}
	var sizes []int
	for _, batch := range Batches(facts, 10) {
		sizes = append(sizes, len(batch))
	}
	if fmt.Sprint(sizes) != "[2 1 1]" {
		t.Errorf("batches of %v, want [2 1 1]", sizes)
	}
}
