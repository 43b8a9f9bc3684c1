package daemon

import (
	"fmt"
	"net/http"
	"time"

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

// requireAuth lets only those through who know the secret.
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
