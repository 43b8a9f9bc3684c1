package daemon

import (
	"net/http"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/steer"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/catalogue"
)

// handleExplain reports where a caller of a service would be sent now.
func (d *Daemon) handleExplain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	index := d.currentLookupIndex()
	service := index.set.Service(query.Get(operatorapi.ParamService))
	if service == nil {
		writeOperatorError(w, http.StatusNotFound, operatorapi.ParamService, "unknown service "+query.Get(operatorapi.ParamService))
		return
	}
	caller, err := clientAddress(r, query.Get(operatorapi.ParamCaller))
	if err != nil {
		writeOperatorError(w, http.StatusBadRequest, operatorapi.ParamCaller, err.Error())
		return
	}
	choice := index.table.Choose(caller)
	writeJSON(w, http.StatusOK, operatorapi.Explanation{
		Host:             d.self.ID,
		CatalogueVersion: uint64(index.set.Version),
		Service:          service.Name,
		Rank:             service.Class.Rank.String(),
		Caller:           caller.String(),
		Hosts:            explainHosts(index.set, index.view, &choice),
		Upstreams:        d.explainUpstreams(index.set, service.Name),
	})
}

// explainHosts lists the chosen hosts in the order in which callers are given
// them, then the other hosts.
func explainHosts(set *catalogue.Set, view *membership.View, choice *steer.Choice) []operatorapi.HostChoice {
	out := []operatorapi.HostChoice{}
	chosen := map[string]bool{}
	for i := range choice.Len() {
		m := choice.Host(i)
		chosen[m.ID] = true
		out = append(out, newHostChoice(*m, i+1, string(choice.Reason)+","+proximity(view.Self, *m)))
	}
	for _, m := range view.Members() {
		if !chosen[m.ID] {
			out = append(out, newHostChoice(m, 0, exclusionReason(set, m)))
		}
	}
	return out
}

func newHostChoice(m membership.Member, order int, reason string) operatorapi.HostChoice {
	return operatorapi.HostChoice{
		Order: order, Host: m.ID, DataCentre: m.DataCentre, Region: m.Region, State: m.State.String(), Reason: reason,
	}
}

// proximity returns how near a member is to this daemon.
func proximity(self, m membership.Member) string {
	switch {
	case m.DataCentre == self.DataCentre:
		return "same-datacentre"
	case m.Region == self.Region:
		return "same-region"
	}
	return "other-region"
}

// exclusionReason returns why callers are not sent to a member.
func exclusionReason(set *catalogue.Set, m membership.Member) string {
	if set.HostDraining(m.ID, m.DataCentre) {
		return "drained"
	}
	if m.State == membership.Alive {
		return "further-than-others"
	}
	return m.State.String()
}

// explainUpstreams lists the candidates in order, then the upstreams that
// receive no new requests.
func (d *Daemon) explainUpstreams(set *catalogue.Set, service string) []operatorapi.UpstreamChoice {
	out := []operatorapi.UpstreamChoice{}
	isCandidate := map[string]bool{}
	for i, c := range d.candidates(set, service) {
		isCandidate[c.Upstream.Name] = true
		holder, _ := d.holderOf(c.Upstream)
		out = append(out, operatorapi.UpstreamChoice{
			Order: i + 1, Upstream: c.Upstream.Name, DataCentre: c.Upstream.DataCentre, Holder: holder.ID, Distance: c.Distance,
			Slots: c.Upstream.Slots, InUse: c.Load.InUse, Waiting: c.Load.Waiting, CostMs: c.Cost.Milliseconds(), Reason: c.Reason(),
		})
	}
	for _, u := range set.Upstreams(service) {
		if !isCandidate[u.Name] {
			out = append(out, operatorapi.UpstreamChoice{Upstream: u.Name, DataCentre: u.DataCentre, Slots: u.Slots, Reason: "drained"})
		}
	}
	return out
}
