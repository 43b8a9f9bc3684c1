package gateway

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyFloor, latencyCeiling and latencyDigits are the range in
	// microseconds and the precision of latency histograms.
	latencyFloor   = 100
	latencyCeiling = 60_000_000
	latencyDigits  = 2
)

// metrics are the counters and histograms of a gateway.
type metrics struct {
	all *expvar.Map
	// outcomes counts requests by how they ended.
	outcomes *expvar.Map
	// sends counts sends to backend servers by their outcome.
	sends *expvar.Map

	mu      sync.Mutex
	latency map[string]*hdrhistogram.Histogram
}

func newMetrics(g *Gateway) *metrics {
	m := &metrics{
		all: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), sends: new(expvar.Map).Init(),
		latency: map[string]*hdrhistogram.Histogram{},
	}
	m.all.Set("requests", m.outcomes)
	m.all.Set("sends", m.sends)
	m.all.Set("requests_in_flight", expvar.Func(func() any { return g.requests.Count() }))
	m.all.Set("connections_opened", expvar.Func(func() any { return g.client.Dials.Load() }))
	m.all.Set("connections_reused", expvar.Func(func() any { return g.client.Reuses.Load() }))
	m.all.Set("latency_ms", expvar.Func(m.quantiles))
	m.all.Set("daemons", expvar.Func(func() any { return g.daemonCount() }))
	return m
}

// observe records how a request of a service ended.
func (m *metrics) observe(service, outcome string, latency time.Duration) {
	m.outcomes.Add(outcome, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latency[service]
	if h == nil {
		h = hdrhistogram.New(latencyFloor, latencyCeiling, latencyDigits)
		m.latency[service] = h
	}
	_ = h.RecordValue(min(latencyCeiling, max(latencyFloor, latency.Microseconds())))
}

// quantiles returns the latency quantiles of each service in milliseconds.
func (m *metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]map[string]float64{}
	for service, h := range m.latency {
		out[service] = map[string]float64{
			"p50": float64(h.ValueAtQuantile(50)) / 1000, "p90": float64(h.ValueAtQuantile(90)) / 1000,
			"p99": float64(h.ValueAtQuantile(99)) / 1000, "count": float64(h.TotalCount()),
		}
	}
	return out
}

func (m *metrics) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(m.all.String()))
	})
}
