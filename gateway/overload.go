package gateway

import (
	"context"
	"fmt"
	"slices"
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
		if !w.g.balancer.Wait(refusal.Waiter, now) {
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
	// budgetInterval is how long the time budgets of a route without requests are
	// remembered at least.
	budgetInterval = 30 * time.Second
	// recentBudgets is the number of time budgets of a route that are remembered, and
	// budgetsPerUpdate the number after which the least budget of a first attempt is
	// estimated anew.
	recentBudgets    = 128
	budgetsPerUpdate = 16
	// usualQuantile and largeQuantile are quantiles of the budgets that are expected
	// among those of first attempts, although some requests return and a few clients
	// have much larger budgets. First attempts have budgets down to budgetSpread times
	// the distance of the two below the usual one.
	usualQuantile = 0.75
	largeQuantile = 0.95
	budgetSpread  = 5
	// returningFraction is the fraction of the usual budget below which a request is
	// taken for one that returns if all clients have the same budget.
	returningFraction = 0.985
)

// timeBudgets holds recent time budgets that clients gave requests on each route. A
// client gives a returning request the rest of its budget.
type timeBudgets struct {
	mu sync.Mutex
	// latest holds the routes used in the current interval, and previous those used
	// in the one before it.
	latest, previous map[string]*routeBudgets
	began            time.Time
}

// returning records a time budget and reports whether it is the rest of one.
func (b *timeBudgets) returning(route string, budget time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.began) > 2*budgetInterval {
		b.latest = nil
	}
	if now.Sub(b.began) > budgetInterval {
		b.previous, b.latest, b.began = b.latest, map[string]*routeBudgets{}, now
	}
	r := b.latest[route]
	if r == nil {
		if r = b.previous[route]; r == nil {
			r = &routeBudgets{}
		}
		b.latest[route] = r
	}
	r.record(budget)
	return budget < r.leastOfFirst
}

// routeBudgets are the time budgets of requests on one route.
type routeBudgets struct {
	recent [recentBudgets]time.Duration
	count  int
	// leastOfFirst is the least budget that a first attempt is expected to have, or 0
	// if it is not known yet.
	leastOfFirst time.Duration
}

func (r *routeBudgets) record(budget time.Duration) {
	r.recent[r.count%recentBudgets] = budget
	if r.count++; r.count%budgetsPerUpdate != 0 {
		return
	}
	sorted := slices.Clone(r.recent[:min(r.count, recentBudgets)])
	slices.Sort(sorted)
	quantile := func(q float64) time.Duration { return sorted[int(q*float64(len(sorted)-1))] }
	usual := quantile(usualQuantile)
	r.leastOfFirst = min(time.Duration(returningFraction*float64(usual)), usual-budgetSpread*(quantile(largeQuantile)-usual))
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
