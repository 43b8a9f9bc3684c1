package gateway

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatencyMicros and maxLatencyMicros are the range and
	// latencySignificantDigits the precision of the latency histograms.
	minLatencyMicros         = 100
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 2
)

// metrics are the counters and histograms of a gateway.
type metrics struct {
	root *expvar.Map
	// outcomes counts requests by outcome.
	outcomes *expvar.Map
	// sends counts sends to backend servers by outcome.
	sends *expvar.Map
	// announced counts the starts of servers' leavings and pauses.
	announced *expvar.Map
	// refusals counts refused requests by reason and rank.
	refusals *expvar.Map

	mu      sync.Mutex
	latency map[string]*hdrhistogram.Histogram
}

func newMetrics(g *Gateway) *metrics {
	m := &metrics{
		root: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), sends: new(expvar.Map).Init(),
		refusals: new(expvar.Map).Init(), announced: new(expvar.Map).Init(),
		latency: map[string]*hdrhistogram.Histogram{},
	}
	m.root.Set("requests", m.outcomes)
	m.root.Set("sends", m.sends)
	m.root.Set("backend_announcements", m.announced)
	m.root.Set("refusals", m.refusals)
	m.root.Set("waiting", expvar.Func(g.waitingByRank))
	m.root.Set("requests_in_flight", expvar.Func(func() any { return g.inFlight.Count() }))
	m.root.Set("connections_opened", expvar.Func(func() any { return g.upstreamClient.Dials.Load() }))
	m.root.Set("connections_reused", expvar.Func(func() any { return g.upstreamClient.Reuses.Load() }))
	m.root.Set("connections_to_servers", expvar.Func(func() any { return g.upstreamClient.OpenConns() }))
	m.root.Set("memory", expvar.Func(func() any { return g.memory.Usage() }))
	for _, name := range []string{"accept_errors", "connections_displaced", "connections_refused", "answers_unread", "heads_refused"} {
		m.root.Add(name, 0)
	}
	m.root.Set("latency_ms", expvar.Func(m.quantiles))
	m.root.Add("directory_answers_large", 0)
	m.root.Set("link_utilisation", expvar.Func(func() any { return g.directory.load.utilisation() }))
	m.root.Set("store_era", expvar.Func(func() any { return g.storeEra() }))
	m.root.Set("copies", expvar.Func(func() any { return g.feedStats() }))
	m.root.Set("daemons", expvar.Func(func() any { return g.daemonCount() }))
	m.root.Set("organisations", expvar.Func(func() any { return g.shownOrganisations() }))
	m.root.Set("quota_refused", expvar.Func(func() any { return g.quotas.refused.Load() }))
	m.root.Set("quota_units_held", expvar.Func(func() any { return g.quotas.ledger.Stock(time.Now()) }))
	m.root.Set("quota_units_lent", expvar.Func(func() any { return g.quotas.ledger.Granted() }))
	m.root.Set("quota_parts", expvar.Func(func() any { return g.quotas.ledger.Held(time.Now()) }))
	return m
}

// observe records the outcome and latency of a request. The service is "" for a
// request refused before a service was chosen.
func (m *metrics) observe(service, outcome string, latency time.Duration) {
	m.outcomes.Add(outcome, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latency[service]
	if h == nil {
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
		m.latency[service] = h
	}
	_ = h.RecordValue(min(maxLatencyMicros, max(minLatencyMicros, latency.Microseconds())))
}

// quantiles returns the latency quantiles of each service in milliseconds, and
// its number of requests.
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
		_, _ = w.Write([]byte(m.root.String()))
	})
}
