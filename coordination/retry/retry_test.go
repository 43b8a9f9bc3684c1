package retry

import "testing"

func TestRetriesStayFractionOfSuccesses(t *testing.T) {
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
	if maximum := 10_000*tokenRatio + maxTokens; float64(retries) > maximum {
		t.Fatalf("%d retries for 10000 successes, want at most %g", retries, maximum)
	}
	if retries < 10_000*tokenRatio-1 {
		t.Fatalf("%d retries for 10000 successes, want nearly all that the successes allow", retries)
	}
}

func TestRetriesStopWithoutSuccesses(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 1000 {
		if b.AllowRetry("lookups") {
			retries++
		}
	}
	if retries != maxTokens {
		t.Fatalf("%d retries, want %g", retries, maxTokens)
	}
	if !b.AllowRetry("payments") {
		t.Fatal("retries of one service used the budget of another")
	}
}
