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

func region(name string) string {
	return `{"schema":1,"kind":"region","name":"` + name + `","owner":"o"}`
}

// run applies a file against a platform.
func run(url, file string) (string, string, int) {
	var stdout, stderr bytes.Buffer
	e := &env{ctx: context.Background(), opts: &options{}, stdin: strings.NewReader(file), stdout: &stdout, stderr: &stderr, settleTimeout: time.Second}
	code := e.run([]string{"--platform", url, "apply", "-f", "-"})
	return stdout.String(), stderr.String(), code
}

func TestApplySaysWhatWasWrittenWhenItStops(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet:
			_, _ = w.Write([]byte(`{"version": 1, "objects": []}`))
		case strings.HasSuffix(r.URL.Path, "region.a"):
			_, _ = w.Write([]byte(`{"version": 2}`))
		default:
			w.WriteHeader(http.StatusForbidden)
		}
	}))
	defer server.Close()
	stdout, stderr, code := run(server.URL, "["+region("a")+","+region("b")+","+region("c")+"]")
	if code != exitFailed || stdout != "region.a create version 2\n" {
		t.Errorf("got exit code %d and %q", code, stdout)
	}
	if !strings.Contains(stderr, "create region.b: platform answered 403") || !strings.Contains(stderr, "1 written, 2 not written") {
		t.Errorf("got %q", stderr)
	}
}

func TestWriteIsNotRedirected(t *testing.T) {
	followed := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/elsewhere":
			followed = true
		case r.Method == http.MethodPut:
			http.Redirect(w, r, "/elsewhere", http.StatusFound)
		default:
			_, _ = w.Write([]byte(`{"version": 1, "objects": []}`))
		}
	}))
	defer server.Close()
	if _, _, code := run(server.URL, region("a")); code == exitOK || followed {
		t.Errorf("exit code %d, followed %t", code, followed)
	}
}

func TestUnknownOutcomeIsSaidAndNotRepeated(t *testing.T) {
	f := &flaky{}
	server := httptest.NewServer(f)
	defer server.Close()
	stdout, stderr, code := run(server.URL, region("north"))
	if code != exitUnknown || f.writes != 1 || f.reads == 0 {
		t.Errorf("exit code %d after %d writes and %d reads, want %d after 1 write\n%s", code, f.writes, f.reads, exitUnknown, stderr)
	}
	if !strings.Contains(stderr, "create region.north: may have taken effect") {
		t.Errorf("got %q after %q", stderr, stdout)
	}
}
