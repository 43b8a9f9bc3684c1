package daemon

import (
	"expvar"

	"bilberrytiller.example/tiller/state/request"
)

// metrics holds the daemon's counters and gauges. docs/OPERATIONS.md lists
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
	// loadReportsDropped counts load reports that were out of range, stale or
	// from the future.
	loadReportsDropped *expvar.Int
	// limitRefused counts requests that exceeded a limit, unitsBorrowed the
	// units that peers lent.
	limitRefused  *expvar.Int
	unitsBorrowed *expvar.Int
	// linkRefused counts requests that got no bandwidth on a link in time.
	linkRefused *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map), requestsByOutcome: map[request.Outcome]*expvar.Int{}}
	m.lookups = m.newInt("lookups")
	m.catalogueVersion = m.newInt("catalogue_version")
	m.catalogueInvalid = m.newInt("catalogue_invalid")
	m.members = m.newInt("members")
	m.limitRefused = m.newInt("limit_refused")
	m.unitsBorrowed = m.newInt("units_borrowed")
	m.linkRefused = m.newInt("link_refused")
	m.poisonCharged = m.newInt("poison_charged")
	m.neighbours = m.newInt("neighbours")
	m.isolated = m.newInt("isolated")
	m.relay = m.newInt("relay")
	m.factRepairs = m.newInt("fact_repairs")
	m.heartbeatsAnswered = m.newInt("heartbeats_answered")
	m.heartbeatsFailed = m.newInt("heartbeats_failed")
	m.loadReportsDropped = m.newInt("load_reports_dropped")
	for outcome, name := range map[request.Outcome]string{
		request.OutcomeDone:     "requests_done",
		request.OutcomeNotRun:   "requests_not_run",
		request.OutcomeUnknown:  "requests_unknown",
		request.OutcomeAccepted: "requests_accepted",
	} {
		m.requestsByOutcome[outcome] = m.newInt(name)
	}
	return m
}

func (m *metrics) newInt(name string) *expvar.Int {
	v := new(expvar.Int)
	m.vars.Set(name, v)
	return v
}
