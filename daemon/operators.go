package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/transport/peer"
)

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operatorapi.PathStatus, d.handleStatus)
	mux.HandleFunc("GET "+operatorapi.PathEntries, d.handleEntries)
	mux.HandleFunc("GET "+operatorapi.PathExplain, d.handleExplain)
	mux.HandleFunc("GET "+operatorapi.PathMetrics, d.handleMetrics)
	mux.HandleFunc("POST "+operatorapi.PathAccepted, d.handleAccepted)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeOperatorError(w, http.StatusNotFound, "path", "unknown: "+r.Method+" "+r.URL.Path)
	})
	return d.requireAuth(mux)
}

// requireAuth refuses requests that are not authenticated with the shared
// secret.
func (d *Daemon) requireAuth(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := d.auth.Check(r.Header.Get(peer.HeaderAuth), time.Now()); err != nil {
			writeOperatorError(w, http.StatusUnauthorized, peer.HeaderAuth, err.Error())
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Daemon) handleStatus(w http.ResponseWriter, _ *http.Request) {
	view := d.view.Load()
	status := operatorapi.Status{
		Host:             d.self.ID,
		Incarnation:      d.self.Incarnation,
		DataCentre:       d.self.DataCentre,
		Region:           d.self.Region,
		Leaving:          d.withdrawn(),
		CatalogueVersion: uint64(d.catalogue.Load().Version),
		Standing:         d.fleetStatus(),
		Invalid:          d.invalid.newerThan(d.catalogue.Load()),
	}
	for _, m := range view.Members() {
		status.Members = append(status.Members, operatorapi.Member{
			Host: m.ID, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Region: m.Region, State: m.State.String(),
		})
	}
	writeJSON(w, http.StatusOK, status)
}

func (d *Daemon) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintln(w, d.metrics.vars.String())
}

// handleEntries lists the catalogue entries in force.
func (d *Daemon) handleEntries(w http.ResponseWriter, _ *http.Request) {
	out := []operatorapi.Entry{}
	for _, r := range d.catalogue.Load().Records() {
		out = append(out, operatorapi.Entry{Entry: r.ID.String(), Version: uint64(r.Version), Deleted: r.Deleted})
	}
	writeJSON(w, http.StatusOK, out)
}

// handleAccepted receives a change that the platform has accepted, from the
// operator who wrote it. The change therefore takes effect even if the
// platform fails before a relay has read it. The answer is sent when the
// change is in force at this daemon.
func (d *Daemon) handleAccepted(w http.ResponseWriter, r *http.Request) {
	var in operatorapi.AcceptedChange
	body := http.MaxBytesReader(w, r.Body, platform.MaxObjectBytes)
	if err := json.NewDecoder(body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := in.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	event := platform.Event{
		Object:  platform.Object{Kind: platform.KindCatalogue, Name: in.Name, Version: in.Version, Data: in.Data},
		Deleted: in.Deleted,
	}
	f := d.factFromEvent(event)
	if f.ID.Kind == factInvalid {
		http.Error(w, "object is not a valid catalogue entry", http.StatusUnprocessableEntity)
		return
	}
	d.log.Info().Str("event", "catalogue.accepted").Str("object", in.Name).Uint64("version", in.Version).Send()
	d.publish(f)
	w.WriteHeader(http.StatusNoContent)
}

// writeOperatorError writes an error and the field of the request that it is
// about.
func writeOperatorError(w http.ResponseWriter, status int, field, text string) {
	writeJSON(w, status, operatorapi.ErrorResponse{Field: field, Error: text})
}
