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

// lossyPlatform is a platform that answers no write, nor any read after the first
// write, in a usable way.
type lossyPlatform struct {
	reads, writes int
}

func (p *lossyPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPut:
		p.writes++
		w.WriteHeader(http.StatusBadGateway)
	case p.writes > 0:
		p.reads++
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte(`{"version": 1, "objects": []}`))
	}
}

func regionJSON(name string) string {
	return `{"schema":1,"kind":"region","name":"` + name + `","owner":"o"}`
}

// runApply runs apply with the given file contents against a platform. It returns
// the standard output, the standard error and the exit code.
func runApply(url, file string) (string, string, int) {
	var stdout, stderr bytes.Buffer
	e := &env{ctx: context.Background(), opts: &options{}, stdin: strings.NewReader(file), stdout: &stdout, stderr: &stderr, resolveTimeout: time.Second}
	code := e.run([]string{"--platform", url, "apply", "-f", "-"})
	return stdout.String(), stderr.String(), code
}

func TestStoppedApplyReportsWrittenEntries(t *testing.T) {
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
	stdout, stderr, code := runApply(server.URL, "["+regionJSON("a")+","+regionJSON("b")+","+regionJSON("c")+"]")
	if code != exitFailed || stdout != "region.a create version 2\n" {
		t.Errorf("got exit code %d and output %q, want 1 and the created entry region.a", code, stdout)
	}
	if !strings.Contains(stderr, "create region.b: platform answered 403") || !strings.Contains(stderr, "1 written, 2 not written") {
		t.Errorf("got errors %q, want the failed write of region.b and the counts", stderr)
	}
}

func TestWriteDoesNotFollowRedirects(t *testing.T) {
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
	if _, _, code := runApply(server.URL, regionJSON("a")); code == exitOK || followed {
		t.Errorf("got exit code %d, redirect followed: %t", code, followed)
	}
}

func TestUnknownOutcomeIsReportedAndNotRetried(t *testing.T) {
	p := &lossyPlatform{}
	server := httptest.NewServer(p)
	defer server.Close()
	stdout, stderr, code := runApply(server.URL, regionJSON("north"))
	if code != exitUnknown || p.writes != 1 || p.reads == 0 {
		t.Errorf("got exit code %d after %d writes and %d reads, want %d after 1 write and at least 1 read\n%s", code, p.writes, p.reads, exitUnknown, stderr)
	}
	if !strings.Contains(stderr, "create region.north: may have taken effect") {
		t.Errorf("got errors %q after output %q, want the write that may have taken effect", stderr, stdout)
	}
}
