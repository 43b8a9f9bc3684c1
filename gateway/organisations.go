package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"bilberrytiller.example/tiller/state/routing"
)

const (
	// maxCountedOrganisations bounds the organisations whose requests are counted.
	maxCountedOrganisations = 1000
	// maxShownOrganisations bounds the organisations in the metrics.
	maxShownOrganisations = 50
)

// organisationUse counts the requests of organisations.
type organisationUse struct {
	mu     sync.Mutex
	counts map[string]*requestCounts
	// others are the requests of organisations beyond maxCountedOrganisations.
	others requestCounts
}

// requestCounts are the requests that a quota admitted and refused since the start.
// Those of an organisation without a quota are all admitted.
type requestCounts struct {
	Admitted int64 `json:"admitted"`
	Refused  int64 `json:"refused"`
}

func newOrganisationUse() *organisationUse {
	return &organisationUse{counts: map[string]*requestCounts{}}
}

// record counts a request. An organisation of nil is not counted.
func (u *organisationUse) record(o *routing.Organisation, admitted bool) {
	if o == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.counts[o.Name]
	switch {
	case n != nil:
	case len(u.counts) < maxCountedOrganisations:
		n = &requestCounts{}
		u.counts[o.Name] = n
	default:
		n = &u.others
	}
	if admitted {
		n.Admitted++
	} else {
		n.Refused++
	}
}

// keep forgets the counts of organisations that a configuration does not have.
func (u *organisationUse) keep(organisations map[string]*routing.Organisation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.counts, func(name string, _ *requestCounts) bool { return organisations[name] == nil })
}

// shownOrganisation is an organisation in the metrics.
type shownOrganisation struct {
	requestCounts
	// Rank replaces those of the routes, if the organisation has one.
	Rank *int `json:"rank,omitempty"`
	// RatePerSecond and Burst are the organisation's quota over all daemons. A rate of 0
	// is no quota.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
}

// show returns the organisations with the most refused requests, then those with the
// most requests, by name. "" stands for all that are not counted one by one.
func (u *organisationUse) show(organisations map[string]*routing.Organisation) map[string]shownOrganisation {
	u.mu.Lock()
	defer u.mu.Unlock()
	names := slices.SortedFunc(maps.Keys(u.counts), func(a, b string) int {
		x, y := u.counts[a], u.counts[b]
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(y.Admitted, x.Admitted), cmp.Compare(a, b))
	})
	out := map[string]shownOrganisation{}
	for _, name := range names[:min(len(names), maxShownOrganisations)] {
		s := shownOrganisation{requestCounts: *u.counts[name]}
		if o := organisations[name]; o != nil {
			s.Rank, s.RatePerSecond, s.Burst = o.Priority, o.RatePerSecond, o.Burst
		}
		out[name] = s
	}
	if u.others != (requestCounts{}) {
		out[""] = shownOrganisation{requestCounts: u.others}
	}
	return out
}

func (g *Gateway) shownOrganisations() map[string]shownOrganisation {
	c := g.configuration.Load()
	if c == nil {
		return nil
	}
	return g.organisationUse.show(c.Organisations())
}
