package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/shutdown"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/routing"
)

// explainRequest asks the listener for operators.
func explainRequest(t *testing.T, f *fixture, params ...string) (operatorapi.RequestExplanation, int) {
	t.Helper()
	query := url.Values{operatorapi.ParamHost: {"127.0.0.1"}, operatorapi.ParamPath: {"/x?a=1"}}
	for i := 0; i < len(params); i += 2 {
		query.Set(params[i], params[i+1])
	}
	w := httptest.NewRecorder()
	f.operatorHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, operatorapi.PathExplainRequest+"?"+query.Encode(), nil))
	var x operatorapi.RequestExplanation
	if err := json.Unmarshal(w.Body.Bytes(), &x); err != nil {
		t.Fatalf("got %q: %v", w.Body, err)
	}
	return x, w.Code
}

// TestExplanationIsWhatHappens guards against an explanation that differs from what the
// next request on a quiet daemon gets, and against one that uses up what it asks about.
func TestExplanationIsWhatHappens(t *testing.T) {
	r := route(false)
	r.SessionAffinity = true
	f := newQuotaFixture(t, r, 1)
	for range 4 {
		name := fmt.Sprint("i-", f.serverCount+1)
		f.addServer(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Name", name)
			answerSigned(w, r)
		})
	}
	f.saveUnits(1)
	f.RemoveBackend("i-9")
	first, _ := explainRequest(t, f, operatorapi.ParamOrganisation, "shop")
	for range 10 {
		again, _ := explainRequest(t, f, operatorapi.ParamOrganisation, "shop")
		if again.Backend != first.Backend || again.Quota == nil || again.Quota.Units != 1 {
			t.Fatalf("explained %+v, then %+v with quota %+v and nothing in between, want one unit left", first, again, again.Quota)
		}
	}
	if first.Action != operatorapi.ActionSend || first.Route != "r" || first.Service != "pay" || len(first.Servers) != 4 {
		t.Errorf("got %+v, want a request that is sent to one of four servers", first)
	}
	if resp := f.send(t, "k-1"); resp.Header.Get("X-Name") != first.Backend {
		t.Errorf("request with status %d went to %q, explained was %q", resp.StatusCode, resp.Header.Get("X-Name"), first.Backend)
	}
	if after, _ := explainRequest(t, f, operatorapi.ParamOrganisation, "shop"); after.Quota.Units != 0 {
		t.Errorf("got %d units after the only one was used, want none", after.Quota.Units)
	}
	for i := range 5 {
		key := fmt.Sprint(i)
		x, _ := explainRequest(t, f, operatorapi.ParamOrganisation, "free", operatorapi.ParamObject, key, operatorapi.ParamID, "a1")
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host, req.Header = "127.0.0.1", http.Header{"X-Id": {"a1"}, "X-Key": {key}, "Authorization": {"Bearer k-2"}}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.Header.Get("X-Name") != x.Backend {
			t.Errorf("object %s: request went to %q, explained was %q", key, resp.Header.Get("X-Name"), x.Backend)
		}
	}
}

// TestRefusalsAreExplained guards against explanations that name a server for a request
// that would be refused.
func TestRefusalsAreExplained(t *testing.T) {
	f := newQuotaFixture(t, route(false), 10)
	if _, status := explainRequest(t, f, operatorapi.ParamOrganisation, "nobody"); status != http.StatusBadRequest {
		t.Errorf("got status %d for an unknown organisation, want 400", status)
	}
	f.SetConfigurationAge(func() time.Duration { return 1500 * time.Millisecond })
	cases := map[string]struct {
		params []string
		status int
	}{
		"unknown_key": {nil, http.StatusUnauthorized},
		"no_route":    {[]string{operatorapi.ParamHost, "elsewhere.example"}, http.StatusNotFound},
		"no_server":   {[]string{operatorapi.ParamOrganisation, "free"}, http.StatusServiceUnavailable},
		"leaving":     {[]string{operatorapi.ParamOrganisation, "free", operatorapi.ParamDeadlineMs, "900"}, http.StatusServiceUnavailable},
	}
	for _, reason := range []string{"unknown_key", "no_route", "no_server", "leaving"} {
		if reason == "leaving" {
			f.PutBackend(routing.Backend{ID: "i-1", StartedAtMs: 1, Service: "pay", Address: "127.0.0.1:1", Zone: "n1", Slots: 4, Draining: true})
		}
		c := cases[reason]
		x, _ := explainRequest(t, f, c.params...)
		if x.Action != operatorapi.ActionRefuse || x.Reason != reason || x.Status != c.status || x.Backend != "" || x.ConfigurationAgeMs != 1500 {
			t.Errorf("got %+v, want a refusal with reason %s and status %d", x, reason, c.status)
		}
	}
}

// TestSplitRouteIsExplained guards against a public route that seems to need a key, a
// service with a small weight that stands for all, and a list of all servers.
func TestSplitRouteIsExplained(t *testing.T) {
	for _, split := range [][]routing.WeightedService{
		{{Service: "pay", Weight: 3}, {Service: "pay-next", Weight: 2}}, {{Service: "pay-next", Weight: 2}, {Service: "pay", Weight: 3}},
	} {
		r := route(false)
		r.Public, r.TrafficSplit = true, split
		f := newQuotaFixture(t, r, 1)
		const servers = maxExplainedServers + 5
		for i := range 2 * servers {
			f.PutBackend(routing.Backend{
				ID: fmt.Sprint("i-", i), StartedAtMs: 1, Service: "pay", Address: fmt.Sprint("127.0.0.1:", i+1), Zone: "n1", Slots: 4, Draining: i%2 == 1,
			})
		}
		x, _ := explainRequest(t, f)
		if x.Action != operatorapi.ActionSend || x.Service != "pay" || len(x.Services) != 2 {
			t.Errorf("got %+v, want a request that is sent to service pay", x)
		}
		if len(x.Servers) != 2*maxExplainedServers || x.MoreServers["usable"] != 5 || x.MoreServers["draining"] != 5 {
			t.Errorf("got %d servers and %v, want %d and 5 more of each standing", len(x.Servers), x.MoreServers, 2*maxExplainedServers)
		}
	}
	f := newQuotaFixture(t, route(false), 1)
	f.stopPlan.Store(&shutdown.Plan{})
	if x, _ := explainRequest(t, f, operatorapi.ParamOrganisation, "free"); x.Reason != "stopping" {
		t.Errorf("got %+v from a gateway that stops, want a refusal for that", x)
	}
}
