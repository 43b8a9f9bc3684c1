package routing

import (
	"slices"
	"time"
)

// RankedObjective is a rank that requests for a service have, with the latency
// objective of their route.
type RankedObjective struct {
	Rank      int
	Objective time.Duration
}

// RankedObjectives returns the ranks that requests for each service may have, by
// their routes and organisations.
func (c *Configuration) RankedObjectives() map[string][]RankedObjective {
	ofOrganisations, someWithout := c.organisationRanks()
	out := map[string][]RankedObjective{}
	for _, routes := range c.byHost {
		for i := range routes {
			ranks := ofOrganisations
			if someWithout || routes[i].Public {
				ranks = append(slices.Clone(ranks), routes[i].Priority)
			}
			for _, service := range routes[i].servicesInUse() {
				for _, rank := range ranks {
					out[service] = append(out[service], RankedObjective{rank, routes[i].LatencyObjective})
				}
			}
		}
	}
	return out
}

// organisationRanks returns the ranks of the organisations that have one, and
// whether requests may come without such an organisation.
func (c *Configuration) organisationRanks() (ranks []int, someWithout bool) {
	someWithout = !c.HasOrganisations()
	for _, o := range c.organisations {
		switch {
		case o.Priority == nil:
			someWithout = true
		case !slices.Contains(ranks, *o.Priority):
			ranks = append(ranks, *o.Priority)
		}
	}
	return ranks, someWithout
}

// servicesInUse returns the services that PickService may return.
func (r *Route) servicesInUse() []string {
	var weighted, all []string
	for _, s := range r.TrafficSplit {
		all = append(all, s.Service)
		if s.Weight > 0 {
			weighted = append(weighted, s.Service)
		}
	}
	if len(weighted) == 0 {
		return all[:min(1, len(all))]
	}
	return weighted
}
