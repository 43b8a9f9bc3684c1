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

// lookupIndex is the index that look-ups are answered from, with the catalogue
// and the view that it was built from.
type lookupIndex struct {
	set   *catalogue.Set
	view  *membership.View
	table *steer.Table
}

// currentLookupIndex returns the index for the current catalogue and view.
func (d *Daemon) currentLookupIndex() *lookupIndex {
	set, view := d.catalogue.Load(), d.view.Load()
	cached := d.cachedLookupIndex.Load()
	if cached != nil && cached.set == set && cached.view == view {
		return cached
	}
	built := &lookupIndex{set: set, view: view, table: steer.NewTable(set, view)}
	d.cachedLookupIndex.Store(built)
	return built
}

func (d *Daemon) handleLookup(w http.ResponseWriter, r *http.Request) {
	d.metrics.lookups.Add(1)
	query := r.URL.Query()
	client, err := clientAddress(r, query.Get(callerapi.ParamClient))
	if err != nil {
		d.refuseLookup(w, request.ReasonBadRequest, err.Error())
		return
	}
	index := d.currentLookupIndex()
	service := index.set.Service(query.Get(callerapi.ParamService))
	if service == nil {
		d.refuseLookup(w, request.ReasonUnknownService, query.Get(callerapi.ParamService))
		return
	}
	choice := index.table.Choose(client)
	d.logLookup(client, service, &choice)
	response, err := d.lookupResponse(index.set, service, &choice)
	if err != nil {
		d.refuseLookup(w, request.ReasonStopping, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, response)
}

func (d *Daemon) refuseLookup(w http.ResponseWriter, reason request.Reason, detail string) {
	writeAnswer(w, d.self.ID, "", "", request.NotRunAnswer(reason, detail))
}

// lookupResponse returns the response with the chosen hosts and, for a service
// that is not idempotent, a key owned by the first of them.
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

// clientAddress returns the address to steer by: the named one, for a caller
// that looks up on behalf of another client, or else the caller's own.
func clientAddress(r *http.Request, named string) (netip.Addr, error) {
	if named != "" {
		return netip.ParseAddr(named)
	}
	own, err := netip.ParseAddrPort(r.RemoteAddr)
	return own.Addr(), err
}
