package retry

import "testing"

func TestRetriesStayAFractionOfSuccesses(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 10_000 {
		if b.AllowRetry("lookups") {
			retries++
		}
		if b.AllowRetry("lookups") {
			retries++
		}
		b.RecordSuccess("lookups")
	}
	if most := 10_000*ratio + reserve; float64(retries) > most {
		t.Fatalf("%d retries for 10000 successes, want at most %g", retries, most)
	}
	if retries < 10_000*ratio-1 {
		t.Fatalf("%d retries for 10000 successes", retries)
	}
}

func TestRetriesEndWhenNothingSucceeds(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 1000 {
		if b.AllowRetry("lookups") {
			retries++
		}
	}
	if retries != reserve {
		t.Fatalf("%d retries, want %g", retries, reserve)
	}
	if !b.AllowRetry("payments") {
		t.Fatal("another service's budget was spent")
	}
}
