package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/poison"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/state/routing"
)

// A crash must be recognised although this daemon sends no further request to the
// server.
func TestCrashIsRecognisedWithoutFurtherRequest(t *testing.T) {
	f := newFixture(t, route(false))
	f.addCrashingServer(t, "poison")
	if resp, _ := mustCall(t, f, "poison"); resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("got status %d, want 502", resp.StatusCode)
	}
	select {
	case <-f.CrashesChanged():
	case <-time.After(5 * time.Second):
		t.Fatal("the crash was not recognised")
	}
	if crashes := f.Crashes(); len(crashes) != 1 || !crashes[0].At.After(crashes[0].Began) {
		t.Errorf("got crashes %+v, want one that ends a run", crashes)
	}
}

func (f *fixture) hasUnjudgedLoss() bool {
	f.crashes.mu.Lock()
	defer f.crashes.mu.Unlock()
	return !f.crashes.detector.Empty()
}

// After a crash with a large body, the service's servers must not get several at once.
func TestCrashWithLargeBodyLimitsBodies(t *testing.T) {
	f := newFixture(t)
	services := map[string]routing.Service{"pay": {Name: "pay", ColdRate: 22}}
	f.ApplyConfiguration(routing.New(1, []routing.Route{route(false)}, services, routing.ClientLimits{BodyBytes: 4 << 20}))
	crashing, large := strings.Repeat("c", 2<<20), strings.Repeat("l", 1<<20)
	f.addCrashingServer(t, crashing)
	mustCall(t, f, crashing)
	<-f.CrashesChanged()
	f.RemoveBackend("i-1")
	entered, release := make(chan struct{}, 2), make(chan struct{})
	f.addServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == int64(len(large)) {
			entered <- struct{}{}
			<-release
		}
		answerSigned(w, r)
	})
	first := make(chan int, 1)
	go func() { resp, _ := mustCall(t, f, large); first <- resp.StatusCode }()
	<-entered
	if resp, _ := mustCall(t, f, large); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("second large body: got %+v, want 503 with Retry-After", resp)
	}
	if resp, _ := mustCall(t, f, "small"); resp.StatusCode != http.StatusOK {
		t.Errorf("small body: got status %d, want 200", resp.StatusCode)
	}
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("first large body: got status %d, want 200", status)
	}
}

// A server that closes a connection and goes on must not count as crashed.
func TestClosedConnectionIsNoCrash(t *testing.T) {
	f := newFixture(t, route(false))
	f.addServer(t, abortConnection)
	mustCall(t, f, "order")
	for deadline := time.Now().Add(5 * time.Second); f.hasUnjudgedLoss(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the server was not checked")
		}
	}
	if crashes := f.Crashes(); len(crashes) != 0 {
		t.Errorf("got crashes %+v, want none", crashes)
	}
}

// A request that was blocked wrongly must be served again after one trial run, by
// all daemons.
func TestTrialRunEndsBlockAtAllDaemons(t *testing.T) {
	f, other := newFixture(t, route(false)), newFixture(t, route(false))
	f.addServer(t, answerSigned)
	other.addServer(t, answerSigned)
	digest := request.Digest([]byte("common"), "pay", http.MethodPost, "127.0.0.1", "/x", "")
	for i, id := range []string{"i-1/1", "i-2/1"} {
		at := time.Now().Add(time.Duration(i-5) * time.Minute)
		crash := poison.Crash{Digest: digest, ID: id, Began: at.Add(-time.Second), At: at, Expires: time.Now().Add(time.Minute)}
		f.MergeCrashes([]poison.Crash{crash})
		crash.At = time.Now().Add(time.Duration(i-2) * 2 * time.Second)
		other.MergeCrashes([]poison.Crash{crash})
	}
	if resp, _ := mustCall(t, other, "common"); resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("soon after the crashes: got status %d, want 503", resp.StatusCode)
	}
	if resp, _ := mustCall(t, f, "common"); resp.StatusCode != http.StatusOK {
		t.Fatalf("trial run: got status %d, want 200", resp.StatusCode)
	}
	<-f.CrashesChanged()
	other.MergeCrashes(f.Crashes())
	if resp, _ := mustCall(t, other, "common"); resp.StatusCode != http.StatusOK {
		t.Errorf("after a trial run elsewhere: got status %d, want 200", resp.StatusCode)
	}
}
