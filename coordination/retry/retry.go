// Package retry limits how much of a service's traffic may be retries.
//
// A budget grows with each success and shrinks with each retry, so that retries
// stay a fraction of the successes and cannot sustain an overload.
package retry

import "sync"

const (
	// tokenRatio is the number of retries that one success allows.
	tokenRatio = 0.2
	// maxTokens is the initial and the largest budget of a service, in retries.
	maxTokens = 20.0
)

// Budget holds the retry budget of each service. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns a budget of maxTokens for every service.
func NewBudget() *Budget { return &Budget{tokens: map[string]float64{}} }

// RecordSuccess adds a success to the budget of a service.
func (b *Budget) RecordSuccess(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(maxTokens, b.available(service)+tokenRatio)
}

// AllowRetry takes one retry out of the budget of a service, or returns false
// if the budget is used up.
func (b *Budget) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	available := b.available(service)
	if available < 1 {
		return false
	}
	b.tokens[service] = available - 1
	return true
}

func (b *Budget) available(service string) float64 {
	if tokens, ok := b.tokens[service]; ok {
		return tokens
	}
	return maxTokens
}
