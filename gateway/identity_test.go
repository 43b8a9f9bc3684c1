package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/routing"
)

// newKeyedFixture returns a fixture with one organisation, whose key is "k-1".
func newKeyedFixture(t *testing.T, r routing.Route) *fixture {
	t.Helper()
	f := newFixture(t)
	c := routing.New(1, []routing.Route{r}, map[string]routing.Service{"pay": {Name: "pay"}}, routing.ClientLimits{BodyBytes: 1000})
	if err := c.SetOrganisations([]routing.Organisation{{Name: "shop"}}, map[string][]string{"shop": {"k-1"}}); err != nil {
		t.Fatal(err)
	}
	f.ApplyConfiguration(c)
	return f
}

// callWith sends a request with the given header and returns the status.
func (f *fixture) callWith(t *testing.T, h http.Header) int {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.url+"/x", strings.NewReader("order"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Header = "127.0.0.1", h
	req.Header["X-Id"] = []string{"a1"}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestOnlyOrganisationOfKeyReachesServer guards against a server that gets a client's
// key, or an organisation that the client has named itself.
func TestOnlyOrganisationOfKeyReachesServer(t *testing.T) {
	public := route(true)
	public.Public = true
	bearer := func(values ...string) http.Header { return http.Header{"Authorization": values} }
	claim := func(h http.Header) http.Header { h["X-Org"] = []string{"other", "another"}; return h }
	hop := func(h http.Header) http.Header { h["Connection"] = []string{"X-Org"}; return h }
	for name, c := range map[string]struct {
		route  routing.Route
		header http.Header
		status int
		want   []string
	}{
		"key":                       {route(true), bearer("Bearer k-1"), 200, []string{"shop"}},
		"other case, more blanks":   {route(true), bearer("bEARER   k-1"), 200, []string{"shop"}},
		"claims another":            {route(true), claim(bearer("Bearer k-1")), 200, []string{"shop"}},
		"claims in connection":      {route(true), hop(claim(bearer("Bearer k-1"))), 200, []string{"shop"}},
		"unknown key":               {route(true), bearer("Bearer k-2"), 401, nil},
		"no key":                    {route(true), bearer(), 401, nil},
		"empty key":                 {route(true), bearer("Bearer "), 401, nil},
		"other scheme":              {route(true), bearer("Basic k-1"), 401, nil},
		"two headers":               {route(true), bearer("Bearer k-1", "Bearer k-1"), 401, nil},
		"public without key":        {public, claim(http.Header{}), 200, nil},
		"public with key":           {public, bearer("Bearer k-1"), 200, []string{"shop"}},
		"public with a foreign key": {public, claim(bearer("Bearer k-2")), 200, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := newKeyedFixture(t, c.route)
			var got http.Header
			f.addServer(t, func(w http.ResponseWriter, r *http.Request) { got = r.Header; answerSigned(w, r) })
			if status := f.callWith(t, c.header); status != c.status {
				t.Fatalf("got status %d, want %d", status, c.status)
			}
			if ran := f.received.Load() > 0; ran != (c.status == http.StatusOK) {
				t.Errorf("request reached a server: %t", ran)
			}
			if strings.Join(got["X-Org"], ",") != strings.Join(c.want, ",") || got["Authorization"] != nil {
				t.Errorf("server got organisation %q and key %q, want %q and none", got["X-Org"], got["Authorization"], c.want)
			}
		})
	}
}

// TestDenialNeedsCurrentConfiguration guards against a daemon that is cut off from the
// store and denies requests that a later configuration allows.
func TestDenialNeedsCurrentConfiguration(t *testing.T) {
	f := newKeyedFixture(t, route(true))
	settings := *f.settings.Load()
	settings.MaxDenialAge = time.Second
	f.settings.Store(&settings)
	for _, c := range []struct {
		age    time.Duration
		host   string
		status int
	}{
		{time.Second, "127.0.0.1", http.StatusUnauthorized}, {time.Second + 1, "127.0.0.1", http.StatusServiceUnavailable},
		{time.Second, "unknown", http.StatusNotFound}, {time.Second + 1, "unknown", http.StatusServiceUnavailable},
	} {
		f.SetConfigurationAge(func() time.Duration { return c.age })
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		r.Host = c.host
		f.serveClient(w, r)
		if asked := w.Header().Get("WWW-Authenticate") == "Bearer"; asked != (c.status == http.StatusUnauthorized) {
			t.Errorf("status %d: asked for a key is %t", w.Code, asked)
		}
		if w.Code != c.status || (w.Header().Get("Retry-After") != "") != (c.status == http.StatusServiceUnavailable) {
			t.Errorf("configuration is %s old, host %s: got status %d and Retry-After %q, want %d", c.age, c.host, w.Code, w.Header().Get("Retry-After"), c.status)
		}
	}
}

// TestMissingRouteIsDeniedAtAnyAge guards deployments without organisations against a
// change of the answer to unknown paths.
func TestMissingRouteIsDeniedAtAnyAge(t *testing.T) {
	f := newFixture(t, route(true))
	settings := *f.settings.Load()
	settings.MaxDenialAge = time.Second
	f.settings.Store(&settings)
	f.SetConfigurationAge(func() time.Duration { return time.Hour })
	deny := func() int {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", nil)
		r.Host = "unknown"
		f.serveClient(w, r)
		return w.Code
	}
	if got := deny(); got != http.StatusNotFound {
		t.Errorf("got status %d, want 404", got)
	}
	f.SetStoreEra(func() int64 { return 1 })
	if got := deny(); got != http.StatusServiceUnavailable {
		t.Errorf("after the store was restored: got status %d, want 503", got)
	}
}

// TestRegionsOfRouteAndOrganisationBothBind guards against a request that runs in a
// region which only one of them allows.
func TestRegionsOfRouteAndOrganisationBothBind(t *testing.T) {
	for _, c := range []struct {
		route, organisation []string
		status              int
	}{
		{[]string{"north"}, []string{"north", "south"}, http.StatusOK},
		{[]string{"north"}, []string{"south"}, http.StatusServiceUnavailable},
		{nil, []string{"south"}, http.StatusServiceUnavailable},
	} {
		r := route(true)
		r.Regions = c.route
		f := newKeyedFixture(t, r)
		f.configuration.Load().Organisation("shop").Regions = c.organisation
		f.addServer(t, answerSigned)
		if got := f.callWith(t, http.Header{"Authorization": {"Bearer k-1"}}); got != c.status {
			t.Errorf("route %v and organisation %v: got status %d from a server in north, want %d", c.route, c.organisation, got, c.status)
		}
	}
}

// TestPriorityOfOrganisationComesFirst guards against requests that are ranked by their
// route although their organisation has a priority.
func TestPriorityOfOrganisationComesFirst(t *testing.T) {
	r := route(true)
	r.Priority = 5
	f := newKeyedFixture(t, r)
	urgent := 0
	for _, c := range []struct {
		priority *int
		want     int
	}{{nil, 5}, {&urgent, 0}} {
		f.configuration.Load().Organisation("shop").Priority = c.priority
		h := httptest.NewRequest(http.MethodPost, "/x", nil)
		h.Host, h.Header = "127.0.0.1", http.Header{"X-Id": {"a1"}, "Authorization": {"Bearer k-1"}}
		req, refusal := f.parseRequest(httptest.NewRecorder(), h)
		if refusal != nil || req.rank != c.want {
			t.Errorf("got request %+v and refusal %+v, want rank %d", req, refusal, c.want)
		}
	}
}
