package tillerctl

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
)

// TestGatewaySumsOrganisations guards against an organisation whose refusals at one
// gateway hide those at another.
func TestGatewaySumsOrganisations(t *testing.T) {
	var addresses []string
	for _, body := range []string{
		`{"store_era": 2, "daemons": 2, "quota_parts": 0.5, "waiting": {"rank_1": 3, "rank_0": 0}, "refusals": {"yields.rank_1": 4},
		  "organisations": {"shop": {"admitted": 5, "refused": 1, "rank": 0, "rate_per_second": 2.5, "burst": 3}, "": {"admitted": 9}}}`,
		`{"store_era": 1, "quota_parts": 0, "organisations": {"shop": {"admitted": 6, "refused": 2, "rate_per_second": 2.5, "burst": 3}, "free": {"admitted": 1}}}`,
		`{"error": "no metrics"}`,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		defer s.Close()
		addresses = append(addresses, s.Listener.Addr().String())
	}
	var out bytes.Buffer
	e := &env{ctx: t.Context(), opts: &options{}, stdout: &out}
	c := &gatewayCommand{env: e}
	c.Args.Addresses = addresses[:2]
	if err := c.Execute(nil); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	for _, want := range [][]string{
		{addresses[0], "2", "2", "0", "rank_1=3", "yields.rank_1=4", "0", "0.500"}, {"shop", "2.5", "3", "11", "3"}, {"free", "-", "-", "-", "1", "0"}, {"(others)", "9"},
	} {
		if !hasRow(lines, want) {
			t.Errorf("no row with %v in\n%s", want, out.String())
		}
	}
	for range 20 {
		first := out.String()
		out.Reset()
		if err := c.Execute(nil); err != nil || out.String() != first {
			t.Fatalf("got error %v and\n%s\nat first\n%s", err, out.String(), first)
		}
	}
	c.Args.Addresses = addresses[2:]
	if err := c.Execute(nil); !errors.Is(err, ErrNotGateway) {
		t.Errorf("got error %v for an address without a gateway's metrics, want ErrNotGateway", err)
	}
}

// hasRow reports whether a line begins with the first field and has the others in order.
func hasRow(lines, fields []string) bool {
	for _, line := range lines {
		rest, found := strings.CutPrefix(line, fields[0]+" ")
		for _, f := range fields[1:] {
			if found {
				_, rest, found = strings.Cut(rest, f)
			}
		}
		if found {
			return true
		}
	}
	return false
}

// TestExplainRequestSaysWhatHappens guards against a refusal that reads like a send, and
// against parameters that do not reach the gateway.
func TestExplainRequestSaysWhatHappens(t *testing.T) {
	answers := map[string]string{
		"/free": `{"gateway": "edge-1", "action": "send", "backend": "i-7", "reason": "room", "servers": [{"backend": "i-7", "standing": "chosen"}], "more_servers": {"paused": 3}}`,
		"/full": `{"gateway": "edge-1", "action": "refuse", "backend": "i-7", "status": 503, "reason": "yields", "retry_after_ms": 90}`,
		"/peak": `{"gateway": "edge-1", "action": "wait", "backend": "i-7", "reason": "yields", "max_wait_ms": 40}`,
	}
	var query url.Values
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.Query()
		_, _ = w.Write([]byte(answers[query.Get("path")]))
	}))
	defer s.Close()
	for path, want := range map[string][]string{
		"/free": {"would be sent to i-7 (room)", "chosen", "and 3 more: paused"},
		"/full": {"would be answered 503 (yields) and asked to return after 90 ms", "cause: the room that was left"},
		"/peak": {"would wait up to 40 ms for room at i-7"},
	} {
		var out bytes.Buffer
		e := &env{ctx: t.Context(), opts: &options{}, stdout: &out, stderr: &out}
		if code := e.run([]string{"explain-request", s.Listener.Addr().String(), "pay.example", path, "--organisation", "shop", "--object", "42", "--deadline", "2s"}); code != 0 {
			t.Errorf("%s: got exit code %d and %s, want 0", path, code, out.String())
		}
		for _, line := range want {
			if !strings.Contains(out.String(), line) {
				t.Errorf("%s: no %q in\n%s", path, line, out.String())
			}
		}
		if query.Get("organisation") != "shop" || query.Get("object") != "42" || query.Get("deadline_ms") != "2000" || query.Get("host") != "pay.example" {
			t.Errorf("%s: the gateway got %v", path, query)
		}
	}
	// A gateway takes a deadline that it cannot read for none, which means 30 s.
	for _, deadline := range []string{"0s", "-1s", "999us"} {
		e := &env{ctx: t.Context(), opts: &options{}, stdout: io.Discard, stderr: io.Discard}
		if code := e.run([]string{"explain-request", s.Listener.Addr().String(), "pay.example", "/free", "--deadline=" + deadline}); code != exitUsage {
			t.Errorf("deadline %s: got exit code %d, want %d", deadline, code, exitUsage)
		}
	}
}
