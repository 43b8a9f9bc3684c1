package bench

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bilberrytiller.example/tiller/state/request"
)

const (
	// maxLatency and latencyDigits are the range and the precision of the latency
	// histograms.
	maxLatency    = time.Minute
	latencyDigits = 3
	// requestTimeout is the deadline of each request.
	requestTimeout = 2 * time.Second
)

// Sender sends one request of a service and returns its outcome.
type Sender func(ctx context.Context, service string) request.Outcome

// Flow is a stream of requests of one service.
type Flow struct {
	Service string
	// Rate is the average number of requests per second. Arrivals are random.
	Rate float64
}

// FlowStats are the results of a flow.
type FlowStats struct {
	mu   sync.Mutex
	Sent int
	Done int
	// InTime counts the answers received while requests were still being sent.
	InTime  int
	end     time.Time
	latency *hdrhistogram.Histogram
}

func newFlowStats() *FlowStats {
	return &FlowStats{latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// Quantile returns a percentile, from 0 to 100, of the latency of answered
// requests.
func (s *FlowStats) Quantile(percent float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(percent)) * time.Microsecond
}

func (s *FlowStats) record(outcome request.Outcome, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Sent++
	if outcome == request.OutcomeDone {
		s.Done++
		if time.Now().Before(s.end) {
			s.InTime++
		}
		_ = s.latency.RecordValue(min(took, maxLatency).Microseconds())
	}
}

// openLoop sends the flows for a time at their rates, independently of the
// answers, and waits for all answers.
func openLoop(r *Run, flows []Flow, length time.Duration, send Sender) map[string]*FlowStats {
	byService := map[string]*FlowStats{}
	var wg sync.WaitGroup
	for _, f := range flows {
		stats := newFlowStats()
		byService[f.Service] = stats
		stats.end = time.Now().Add(length)
		arrivalTimes := arrivals(r, f.Rate, length)
		wg.Go(func() {
			start := time.Now()
			for _, at := range arrivalTimes {
				time.Sleep(time.Until(start.Add(at)))
				wg.Go(func() { stats.sendOne(f.Service, send) })
			}
		})
	}
	wg.Wait()
	return byService
}

// arrivals returns the arrival times of a Poisson process with the given rate.
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

func (s *FlowStats) sendOne(service string, send Sender) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	started := time.Now()
	outcome := send(ctx, service)
	s.record(outcome, time.Since(started))
}

// closedLoop sends requests from a number of clients, each of which waits for
// an answer before its next request.
func closedLoop(clients, requests int, service string, send Sender) *FlowStats {
	stats := newFlowStats()
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for range requests / clients {
				stats.sendOne(service, send)
			}
		})
	}
	wg.Wait()
	return stats
}
