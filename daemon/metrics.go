package daemon

import (
	"expvar"

	"bilberrytiller.example/tiller/state/request"
)

// metrics are the daemon's counters and gauges. docs/OPERATIONS.md lists
// them with their units.
type metrics struct {
	vars               *expvar.Map
	lookups            *expvar.Int
	requestsByOutcome  map[request.Outcome]*expvar.Int
	catalogueVersion   *expvar.Int
	catalogueInvalid   *expvar.Int
	members            *expvar.Int
	poisonCharged      *expvar.Int
	neighbours         *expvar.Int
	isolated           *expvar.Int
	relay              *expvar.Int
	factRepairs        *expvar.Int
	heartbeatsAnswered *expvar.Int
	heartbeatsFailed   *expvar.Int
	// loadReportsDropped counts load reports out of range, stale or from the
	// future.
	loadReportsDropped *expvar.Int
	// limitRefused counts requests over a limit, unitsBorrowed what peers lent.
	limitRefused  *expvar.Int
	unitsBorrowed *expvar.Int
	// linkRefused counts requests that found no room on a link.
	linkRefused *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map), requestsByOutcome: map[request.Outcome]*expvar.Int{}}
	m.lookups = m.counter("lookups")
	m.catalogueVersion = m.counter("catalogue_version")
	m.catalogueInvalid = m.counter("catalogue_invalid")
	m.members = m.counter("members")
	m.limitRefused = m.counter("limit_refused")
	m.unitsBorrowed = m.counter("units_borrowed")
	m.linkRefused = m.counter("link_refused")
	m.poisonCharged = m.counter("poison_charged")
	m.neighbours = m.counter("neighbours")
	m.isolated = m.counter("isolated")
	m.relay = m.counter("relay")
	m.factRepairs = m.counter("fact_repairs")
	m.heartbeatsAnswered = m.counter("heartbeats_answered")
	m.heartbeatsFailed = m.counter("heartbeats_failed")
	m.loadReportsDropped = m.counter("load_reports_dropped")
	for outcome, name := range map[request.Outcome]string{
		request.OutcomeDone:     "requests_done",
		request.OutcomeNotRun:   "requests_not_run",
		request.OutcomeUnknown:  "requests_unknown",
		request.OutcomeAccepted: "requests_accepted",
	} {
		m.requestsByOutcome[outcome] = m.counter(name)
	}
	return m
}

func (m *metrics) counter(name string) *expvar.Int {
	v := new(expvar.Int)
	m.vars.Set(name, v)
	return v
}
