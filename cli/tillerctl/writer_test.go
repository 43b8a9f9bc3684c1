package tillerctl

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// flaky is a platform that takes a write and then gives no usable answer.
type flaky struct {
	reads, writes int
}

func (f *flaky) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPut:
		f.writes++
		w.WriteHeader(http.StatusBadGateway)
	case f.writes > 0:
		f.reads++
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte(`{"version": 1, "objects": []}`))
	}
}

func TestUnknownOutcomeIsSaidAndNotRepeated(t *testing.T) {
	f := &flaky{}
	server := httptest.NewServer(f)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var stdout, stderr bytes.Buffer
	e := &env{ctx: ctx, opts: &options{}, stdin: strings.NewReader(`{"schema":1,"kind":"region","name":"north","owner":"o"}`), stdout: &stdout, stderr: &stderr, settleTimeout: time.Second}
	code := e.run([]string{"--platform", server.URL, "apply", "-f", "-"})
	if code != exitUnknown || f.writes != 1 || f.reads == 0 {
		t.Errorf("exit code %d after %d writes and %d reads, want %d after 1 write\n%s", code, f.writes, f.reads, exitUnknown, &stderr)
	}
	if !strings.Contains(stderr.String(), "create region.north: may have taken effect") {
		t.Errorf("got %q", &stderr)
	}
}
