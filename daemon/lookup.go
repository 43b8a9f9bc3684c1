package daemon

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/steer"
	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
)

// lookupIndex is the index that look-ups are answered from, with what it was
// made from.
type lookupIndex struct {
	set   *catalogue.Set
	view  *membership.View
	table *steer.Table
}

// steering returns the index for the catalogue and the view of this moment.
func (d *Daemon) steering() *lookupIndex {
	set, view := d.catalogue.Load(), d.view.Load()
	held := d.cachedLookupIndex.Load()
	if held != nil && held.set == set && held.view == view {
		return held
	}
	made := &lookupIndex{set: set, view: view, table: steer.NewTable(set, view)}
	d.cachedLookupIndex.Store(made)
	return made
}

func (d *Daemon) handleLookup(w http.ResponseWriter, r *http.Request) {
	d.metrics.lookups.Add(1)
	query := r.URL.Query()
	client, err := clientAddress(r, query.Get(callerapi.ParamClient))
	if err != nil {
		d.refuseLookup(w, request.ReasonBadRequest, err.Error())
		return
	}
	st := d.steering()
	service := st.set.Service(query.Get(callerapi.ParamService))
	if service == nil {
		d.refuseLookup(w, request.ReasonUnknownService, query.Get(callerapi.ParamService))
		return
	}
	choice := st.table.Choose(client)
	d.logLookup(client, service, &choice)
	lookup, err := d.lookupResponse(st.set, service, &choice)
	if err != nil {
		d.refuseLookup(w, request.ReasonStopping, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, lookup)
}

func (d *Daemon) refuseLookup(w http.ResponseWriter, reason request.Reason, detail string) {
	writeAnswer(w, d.self.ID, "", "", request.NotRunAnswer(reason, detail))
}

func (d *Daemon) lookupResponse(set *catalogue.Set, service *catalogue.Service, choice *steer.Choice) (callerapi.LookupResponse, error) {
	out := callerapi.LookupResponse{
		Service: service.Name,
		Version: uint64(set.Version),
		TTLMs:   d.settings.LookupTTL.Milliseconds(),
		Hosts:   make([]callerapi.Host, 0, choice.Len()),
	}
	for i := range choice.Len() {
		m := choice.Host(i)
		out.Hosts = append(out.Hosts, callerapi.Host{ID: m.ID, Address: m.Caller.String(), DataCentre: m.DataCentre, Region: m.Region})
	}
	if service.Class.Idempotent || choice.Len() == 0 {
		return out, nil
	}
	key, err := d.keyIssuer.Issue(choice.Host(0).Incarnation, time.Now().Add(d.settings.KeyTTL))
	if err != nil {
		return out, err
	}
	out.Key = key.String()
	out.KeyExpires = key.Expires
	return out, nil
}

func (d *Daemon) logLookup(client netip.Addr, service *catalogue.Service, choice *steer.Choice) {
	event := d.log.Info()
	if !event.Enabled() {
		return
	}
	ids := make([]string, 0, choice.Len())
	for i := range choice.Len() {
		ids = append(ids, choice.Host(i).ID)
	}
	event.Str("event", "lookup.decision").Stringer("client", client).Str("service", service.Name).
		Str("hosts", strings.Join(ids, ",")).Str("reason", string(choice.Reason)).Send()
}

// clientAddress returns the address to steer by: the one a caller names, as a
// caller that asks for others does, or else its own.
func clientAddress(r *http.Request, named string) (netip.Addr, error) {
	if named != "" {
		return netip.ParseAddr(named)
	}
	own, err := netip.ParseAddrPort(r.RemoteAddr)
	return own.Addr(), err
}
