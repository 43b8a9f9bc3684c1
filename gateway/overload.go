package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
)

const (
	// countedRanks is the number of ranks that metrics tell apart. Less urgent ones
	// count as the last.
	countedRanks = 8
	// minDecisionInterval is the least time between two decisions about a waiting
	// request, unless it is woken.
	minDecisionInterval = 25 * time.Millisecond
)

// choose chooses a server for the request. Where ranks compete and room is
// expected soon, it waits for it.
func (d *dispatcher) choose(ctx context.Context) (*upstream.Choice, *upstream.Refusal) {
	began := time.Now()
	w := wait{g: d.g, mustEnd: d.pending > 0}
	defer w.end()
	for {
		choice, refusal := d.g.balancer.Choose(d.upstreamRequest(&w), time.Now())
		if refusal == nil || refusal.Waiter == nil || ctx.Err() != nil {
			if w.until.After(began) {
				d.waited += time.Since(began)
			}
			return choice, refusal
		}
		w.await(ctx, refusal)
	}
}

// upstreamRequest returns the inputs for choosing a server.
func (d *dispatcher) upstreamRequest(w *wait) upstream.Request {
	now := time.Now()
	return upstream.Request{
		Service: d.req.service.Name, Key: d.req.key, Route: d.req.route, Organisation: d.req.organisation, Rank: d.req.rank, Tried: d.tried,
		BodyBytes:     int64(d.req.body.size()),
		ObjectiveLeft: d.req.route.LatencyObjective - now.Sub(d.req.arrived), TimeLeft: d.req.deadline.Sub(now),
		ClientTimeLeft: d.req.clientDeadline.Sub(now), Returning: d.req.returning,
		ColdRate: d.req.service.ColdRate, DaemonCount: d.g.daemonCount(), Waiter: w.waiter, MustNotWait: w.mustEnd,
	}
}

// wait is the wait of one request for room at a server.
type wait struct {
	g      *Gateway
	waiter *upstream.Waiter
	// until is the end of the wait, set when it begins.
	until time.Time
	// mustEnd is set once the request may not wait any longer.
	mustEnd bool
}

// await waits until the request should be decided about again.
func (w *wait) await(ctx context.Context, refusal *upstream.Refusal) {
	now := time.Now()
	if w.until.IsZero() {
		w.until = now.Add(refusal.MaxWait)
	}
	if refusal.Waiter != w.waiter {
		w.end()
		if !w.g.balancer.Wait(refusal.Waiter) {
			w.mustEnd = true
			return
		}
		w.waiter = refusal.Waiter
	}
	timer := time.NewTimer(min(max(minDecisionInterval, refusal.Recheck), w.until.Sub(now)))
	defer timer.Stop()
	select {
	case <-w.waiter.Ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	w.mustEnd = w.waiter.Displaced() || !time.Now().Before(w.until)
}

func (w *wait) end() {
	if w.waiter != nil {
		w.g.balancer.EndWait(w.waiter)
		w.waiter = nil
	}
}

const (
	// budgetInterval is how long the largest time budget of a route's clients is
	// remembered at least.
	budgetInterval = 30 * time.Second
	// maxTimeBudget is the largest time budget that is recorded, so that a single
	// odd one does not make all others look like the rest of it.
	maxTimeBudget = 5 * time.Minute
	// returningFraction is the fraction of the largest time budget below which a
	// request is taken for one that was refused before.
	returningFraction = 0.985
)

// timeBudgets holds the largest time budgets that clients gave requests on each
// route. A client gives a returning request the rest of its budget.
type timeBudgets struct {
	mu sync.Mutex
	// latest and previous are the largest of the current interval and of the one
	// before it, by route.
	latest, previous map[string]time.Duration
	began            time.Time
}

// returning records a time budget and reports whether it is the rest of one.
func (b *timeBudgets) returning(route string, budget time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.began) > budgetInterval {
		b.previous, b.latest, b.began = b.latest, map[string]time.Duration{}, now
	}
	if budget <= maxTimeBudget {
		b.latest[route] = max(b.latest[route], budget)
	}
	return float64(budget) < returningFraction*float64(max(b.latest[route], b.previous[route]))
}

// rankName returns the name of a rank in metrics.
func rankName(rank int) string {
	if rank >= countedRanks-1 {
		return fmt.Sprintf("rank_%d_up", countedRanks-1)
	}
	return fmt.Sprintf("rank_%d", max(0, rank))
}

// waitingByRank returns the number of waiting requests by rank.
func (g *Gateway) waitingByRank() any {
	out := map[string]int{}
	for rank, n := range g.balancer.QueueLengths(countedRanks) {
		out[rankName(rank)] = n
	}
	return out
}

// BackendLoads returns the latest loads of the servers for which ranks compete, for
// the exchange with other daemons.
func (g *Gateway) BackendLoads(all bool, now time.Time) []upstream.SharedLoad {
	return g.balancer.SharedLoads(all, now)
}

// ApplyBackendLoads applies loads of servers that another daemon told.
func (g *Gateway) ApplyBackendLoads(loads []upstream.SharedLoad, fromRelay bool, now time.Time) {
	g.balancer.ApplySharedLoads(loads, fromRelay, now)
}
