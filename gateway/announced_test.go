package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/routing"
	"bilberrytiller.example/tiller/transport/upstreamhttp"
)

// announcingServer is a backend server that answers with a script and counts.
type announcingServer struct {
	received atomic.Int64
	answer   atomic.Pointer[http.HandlerFunc]
}

func (f *fixture) addAnnouncing(t *testing.T, h http.HandlerFunc) *announcingServer {
	t.Helper()
	s := &announcingServer{}
	s.answer.Store(&h)
	f.addServer(t, func(w http.ResponseWriter, r *http.Request) {
		s.received.Add(1)
		(*s.answer.Load())(w, r)
	})
	return s
}

func (s *announcingServer) play(h http.HandlerFunc) { s.answer.Store(&h) }

func answerLeaving(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Leaving", "1")
	answerSigned(w, r)
}

func rejectFor(seconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Pause", seconds)
		shedRequest(w, r)
	}
}

// TestLeavingServerGetsNoRequest guards against sends to a server after an answer with its
// announcement, whatever its entry and its later answers say.
func TestLeavingServerGetsNoRequest(t *testing.T) {
	f := newFixture(t, route(true))
	leaving := f.addAnnouncing(t, answerLeaving)
	if resp, _ := mustCall(t, f, ""); resp.StatusCode != http.StatusOK {
		t.Fatalf("got status %d, want 200", resp.StatusCode)
	}
	leaving.play(answerSigned)
	f.PutBackend(routing.Backend{ID: "i-1", StartedAtMs: 1, Service: "pay", Address: f.lastServer.Listener.Addr().String(), Zone: "n1", Slots: 4})
	resp, _ := mustCall(t, f, "")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d and Retry-After %q, want 503 with one", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	f.addServer(t, answerSigned)
	for range 10 {
		if resp, _ := mustCall(t, f, ""); resp.StatusCode != http.StatusOK {
			t.Errorf("got status %d with another server, want 200", resp.StatusCode)
		}
	}
	if n := leaving.received.Load(); n != 1 {
		t.Errorf("the leaving server received %d requests, want 1", n)
	}
}

// TestPausedServerGetsNoRequest guards against sends within a pause, and against a payment
// that is refused although another server takes it.
func TestPausedServerGetsNoRequest(t *testing.T) {
	f := newFixture(t, route(false))
	one, other := f.addAnnouncing(t, rejectFor("30")), f.addAnnouncing(t, answerSigned)
	for range 20 {
		if resp, _ := mustCall(t, f, ""); resp.StatusCode != http.StatusOK {
			t.Fatalf("got status %d, want 200", resp.StatusCode)
		}
	}
	other.play(rejectFor("20"))
	before := one.received.Load()
	for range 5 {
		resp, _ := mustCall(t, f, "")
		after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after < 18*time.Second || after > 21*time.Second {
			t.Fatalf("got status %d and Retry-After %s while all servers pause, want 503 and 20 s to 21 s", resp.StatusCode, after)
		}
	}
	if one.received.Load() > 1 || one.received.Load() != before || other.received.Load() != 21 {
		t.Errorf("the servers received %d and %d requests, want at most 1 and 21", one.received.Load(), other.received.Load())
	}
}

// TestLastAttemptHasTrueRetryAfter guards against the short delay of a usual rejection if
// the last server that a request may be sent to asks for a pause too.
func TestLastAttemptHasTrueRetryAfter(t *testing.T) {
	f := newFixture(t, route(false))
	f.addAnnouncing(t, rejectFor("30"))
	f.addAnnouncing(t, rejectFor("30"))
	resp, _ := mustCall(t, f, "")
	after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after < 28*time.Second {
		t.Errorf("got status %d and Retry-After %s, want 503 and 30 s", resp.StatusCode, after)
	}
}

// TestServerIsUsedAgainAfterPause guards against a pause that does not end.
func TestServerIsUsedAgainAfterPause(t *testing.T) {
	f := newFixture(t, route(false))
	s := f.addAnnouncing(t, rejectFor("0.1"))
	mustCall(t, f, "")
	s.play(answerSigned)
	end := time.Now().Add(10 * time.Second)
	for {
		if resp, _ := mustCall(t, f, ""); resp.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the server is not used 10 s after a pause of 0.1 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestAnnouncementDuringConnectWithdrawsRequest guards against a request whose server was
// chosen before the announcement and that is sent after it.
func TestAnnouncementDuringConnectWithdrawsRequest(t *testing.T) {
	for name, signal := range map[string]availability.Signal{"leaving": {Leaving: true}, "pause": {Pause: 30 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route(false))
			first := f.addAnnouncing(t, answerSigned)
			now := time.Now()
			r := upstream.Request{Service: "pay", ObjectiveLeft: time.Second, TimeLeft: time.Second, DaemonCount: 1}
			choice, refusal := f.balancer.Choose(r, now)
			if refusal != nil {
				t.Fatalf("refused: %+v", refusal)
			}
			var second *announcingServer
			var connects atomic.Int64
			ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{ConnectDone: func(string, string, error) {
				if connects.Add(1) == 1 {
					second = f.addAnnouncing(t, answerSigned)
					choice.Done(upstream.Result{Outcome: upstream.Shed, Signal: signal}, time.Now())
				}
			}})
			req := &clientRequest{id: "a1", key: "7", service: routing.Service{Name: "pay"}, arrived: now, deadline: now.Add(5 * time.Second)}
			rt := route(false)
			req.route = &rt
			req.message = upstreamhttp.Request{Method: http.MethodGet, Target: "/x", Host: "h", ID: "a1", Deadline: req.deadline, Header: http.Header{"X-Id": {"a1"}}}
			d := newDispatcher(f.Gateway, req)
			res := d.serve(ctx)
			if res.answer == nil || string(res.answer.Body) != "done" || first.received.Load() != 0 || second.received.Load() != 1 {
				t.Errorf("got %+v, %d requests at the first server, want the second server's answer and none", res.local, first.received.Load())
			}
		})
	}
}

// TestSecondCopyAvoidsAnnouncedServers guards against hedges and retries to a server that
// announced its leaving in an answer to another request.
func TestSecondCopyAvoidsAnnouncedServers(t *testing.T) {
	f := newFixture(t, route(true))
	var hanging atomic.Bool
	script := func(w http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); string(body) == "slow" && hanging.CompareAndSwap(false, true) {
			<-r.Context().Done()
			return
		}
		answerSigned(w, r)
	}
	leaving := f.addAnnouncing(t, answerLeaving)
	mustCall(t, f, "")
	f.addAnnouncing(t, script)
	f.addAnnouncing(t, script)
	if resp, _ := mustCall(t, f, "slow"); resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want that of the second copy", resp.StatusCode)
	}
	if n := leaving.received.Load(); n != 1 {
		t.Errorf("the leaving server received %d requests, want 1", n)
	}
}
