package bench

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bilberrytiller.example/tiller/state/request"
)

const (
	// maxLatency and latencyDigits bound what a histogram keeps.
	maxLatency    = time.Minute
	latencyDigits = 3
	// requestTimeout is the deadline of a request.
	requestTimeout = 2 * time.Second
)

// Sender sends one request of a service to its end.
type Sender func(ctx context.Context, service string) request.Outcome

// Flow is a flow of requests of one service.
type Flow struct {
	Service string
	// Rate is in requests a second, with random times between them.
	Rate float64
}

// FlowStats is what became of a flow.
type FlowStats struct {
	mu   sync.Mutex
	Sent int
	Done int
	// InTime counts the answers that came while requests were being sent.
	InTime  int
	end     time.Time
	latency *hdrhistogram.Histogram
}

func newTally() *FlowStats {
	return &FlowStats{latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// Quantile returns a quantile of the latencies of answered requests.
func (t *FlowStats) Quantile(percent float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(percent)) * time.Microsecond
}

func (t *FlowStats) note(outcome request.Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Sent++
	if outcome == request.OutcomeDone {
		t.Done++
		if time.Now().Before(t.end) {
			t.InTime++
		}
		_ = t.latency.RecordValue(min(took, maxLatency).Microseconds())
	}
}

// open sends flows for a time whatever the answers do, and waits for them.
func open(r *Run, flows []Flow, length time.Duration, send Sender) map[string]*FlowStats {
	tallies := map[string]*FlowStats{}
	var all sync.WaitGroup
	for _, f := range flows {
		tally := newTally()
		tallies[f.Service] = tally
		tally.end = time.Now().Add(length)
		gaps := arrivals(r, f.Rate, length)
		all.Go(func() {
			start := time.Now()
			for _, at := range gaps {
				time.Sleep(time.Until(start.Add(at)))
				all.Go(func() { tally.one(f.Service, send) })
			}
		})
	}
	all.Wait()
	return tallies
}

// arrivals returns the times of a Poisson process.
func arrivals(r *Run, rate float64, length time.Duration) []time.Duration {
	var out []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(r.Random.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return out
		}
		out = append(out, at)
	}
}

func (t *FlowStats) one(service string, send Sender) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	started := time.Now()
	outcome := send(ctx, service)
	t.note(outcome, time.Since(started))
}

// closed sends requests one after the other from a number of clients.
func closed(clients, requests int, service string, send Sender) *FlowStats {
	tally := newTally()
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for range requests / clients {
				tally.one(service, send)
			}
		})
	}
	all.Wait()
	return tally
}
