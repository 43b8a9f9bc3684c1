// Package retry decides how much of a service's traffic may be retries.
//
// A budget grows with each success and pays for each retry, so that retries
// stay a fraction of what succeeds and cannot keep an overload going.
package retry

import "sync"

const (
	// ratio is the retries that one success pays for.
	ratio = 0.2
	// reserve is the budget that a service starts with, and the most it saves.
	reserve = 20.0
)

// Budget is the retry budget of each service. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	left map[string]float64
}

// NewBudget returns budgets that hold their reserve.
func NewBudget() *Budget { return &Budget{left: map[string]float64{}} }

// RecordSuccess records a success.
func (b *Budget) RecordSuccess(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[service] = min(reserve, b.held(service)+ratio)
}

// AllowRetry takes one retry out of the budget, or returns false.
func (b *Budget) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.held(service)
	if held < 1 {
		return false
	}
	b.left[service] = held - 1
	return true
}

func (b *Budget) held(service string) float64 {
	if held, ok := b.left[service]; ok {
		return held
	}
	return reserve
}
