package tillerctl

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"bilberrytiller.example/tiller/protocol/operatorapi"
)

func TestTargetMissing(t *testing.T) {
	listed := target{version: 6, listVersion: 8, entries: map[string]uint64{"region.a": 4, "region.b": 6}, invalid: map[string]bool{"region.bad": true}}
	a, b := operatorapi.Entry{Entry: "region.a", Version: 4}, operatorapi.Entry{Entry: "region.b", Version: 6}
	cases := []struct {
		name   string
		target target
		held   []operatorapi.Entry
		want   []string
	}{
		{"all in force", listed, []operatorapi.Entry{a, b}, nil},
		{"entry newer than the list", listed, []operatorapi.Entry{a, b, {Entry: "region.c", Version: 9}}, nil},
		{"already deleted", listed, []operatorapi.Entry{a, b, {Entry: "region.c", Version: 8, Deleted: true}}, nil},
		{"earlier valid version of an invalid entry", listed, []operatorapi.Entry{a, b, {Entry: "region.bad", Version: 2}}, nil},
		{"newest entry deleted", listed, []operatorapi.Entry{a, b, {Entry: "region.c", Version: 7}}, []string{"still has deleted entry region.c"}},
		{"one entry behind", listed, []operatorapi.Entry{{Entry: "region.a", Version: 2}, b}, []string{"lacks region.a version 4, it has 2"}},
		{"no entries", listed, nil, []string{"lacks version 6, it has 0"}},
		{"version only", target{version: 6}, []operatorapi.Entry{b, {Entry: "region.c", Version: 1}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.target.missing(c.held); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestTimeoutTellsWhatDaemonsLack guards against a wait that ends during a call to a daemon
// and reports this as the daemon's failure.
func TestTimeoutTellsWhatDaemonsLack(t *testing.T) {
	for name, firstDelay := range map[string]time.Duration{"later answers hang": 0, "first answer outlasts the timeout": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls++; calls > 1 {
					<-r.Context().Done()
					return
				}
				time.Sleep(firstDelay)
				_, _ = w.Write([]byte(`[{"entry":"region.a","version":8}]`))
			}))
			defer server.Close()
			var stderr bytes.Buffer
			e := &env{ctx: context.Background(), opts: &options{}, stdin: strings.NewReader(""), stdout: &stderr, stderr: &stderr}
			code := e.run([]string{"--secret", "test", "--daemon", strings.TrimPrefix(server.URL, "http://"), "wait", "99", "--timeout", "300ms"})
			if code != exitTimeout || !strings.Contains(stderr.String(), "lacks version 99, it has 8") {
				t.Errorf("got exit code %d and %q, want what the daemon lacks", code, stderr.String())
			}
		})
	}
}
