package gateway

import (
	"fmt"
	"testing"

	"bilberrytiller.example/tiller/state/routing"
)

// TestOrganisationsInMetrics guards against an organisation above its quota that the
// metrics hide among many others, and against their growth with the names.
func TestOrganisationsInMetrics(t *testing.T) {
	f := newQuotaFixture(t, routing.Route{Name: "r", Host: "127.0.0.1", PathPrefix: "/", TrafficSplit: []routing.WeightedService{{Service: "pay", Weight: 1}}}, 0)
	f.send(t, "k-1")
	f.send(t, "k-2")
	all := f.configuration.Load().Organisations()
	for i := range 2 * maxCountedOrganisations {
		o := &routing.Organisation{Name: fmt.Sprint("many-", i)}
		all[o.Name] = o
		f.organisationUse.record(o, true)
		f.organisationUse.record(o, true)
	}
	shown := f.shownOrganisations()
	if got := shown["shop"]; got.Refused != 1 || got.Admitted != 0 || got.RatePerSecond != 0.001 {
		t.Errorf("got %+v for the organisation above its quota, want one refused request", got)
	}
	if len(shown) != maxShownOrganisations+1 || shown[""].Admitted != 2*(maxCountedOrganisations+2) {
		t.Errorf("got %d organisations and %d other requests, want %d and %d", len(shown), shown[""].Admitted, maxShownOrganisations+1, 2*(maxCountedOrganisations+2))
	}
	f.organisationUse.keep(map[string]*routing.Organisation{"shop": all["shop"]})
	if got := f.organisationUse.show(all); len(got) != 2 {
		t.Errorf("got %d organisations after the others were removed, want shop and the others' sum", len(got))
	}
}
