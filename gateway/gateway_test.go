package gateway

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/budget"
	"bilberrytiller.example/tiller/coordination/shutdown"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/routing"
)

func headers() Headers {
	h := Headers{RetryAfter: "Retry-After"}
	h.HeaderNames.AttemptID, h.HeaderNames.DeadlineMs, h.HeaderNames.AffinityKey = "X-Id", "X-Left", "X-Key"
	h.HeaderNames.ExpectedServerID, h.HeaderNames.Signature, h.HeaderNames.NotExecuted = "X-Expect", "X-Signed", "X-Not-Run"
	h.HeaderNames.Organisation = "X-Org"
	h.HeaderNames.Load, h.HeaderNames.ColdMs, h.HeaderNames.RateLimit = "X-Load", "X-Cold", "X-Limit"
	h.HeaderNames.Leaving, h.HeaderNames.Pause = "X-Leaving", "X-Pause"
	return h
}

// fixture is a gateway with its client listener and backend servers.
type fixture struct {
	*Gateway
	url string
	// received counts the requests received by all servers.
	received    atomic.Int64
	serverCount int
	// lastServer is the most recently added server.
	lastServer *httptest.Server
}

func newTestGateway(t testing.TB) *Gateway {
	t.Helper()
	g, err := New(Settings{
		HostID: "host-1", Locality: upstream.Locality{Zone: "n1", Region: "north"}, Regions: map[string]string{"n1": "north"},
		StopTimeout: 5 * time.Second, MaxDirectoryTTL: 5 * time.Second,
		RetryLimits: budget.Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 100},
	}, headers(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func newFixture(t *testing.T, routes ...routing.Route) *fixture {
	t.Helper()
	g := newTestGateway(t)
	f := &fixture{Gateway: g}
	server := httptest.NewServer(http.HandlerFunc(g.serveClient))
	t.Cleanup(server.Close)
	f.url = server.URL
	if len(routes) > 0 {
		g.ApplyConfiguration(routing.New(1, routes, map[string]routing.Service{"pay": {Name: "pay", ColdRate: 22}}, routing.ClientLimits{BodyBytes: 1000}))
	}
	return f
}

// addServer adds a backend server with handler h.
func (f *fixture) addServer(t *testing.T, h http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.received.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		h(w, r)
	}))
	t.Cleanup(server.Close)
	f.lastServer = server
	f.serverCount++
	f.PutBackend(routing.Backend{
		ID: fmt.Sprint("i-", f.serverCount), StartedAtMs: 1, Service: "pay", Address: server.Listener.Addr().String(), Zone: "n1", Slots: 4,
	})
}

func route(idempotent bool) routing.Route {
	return routing.Route{
		Name: "r", Host: "127.0.0.1", PathPrefix: "/", Idempotent: idempotent, Timeout: 2 * time.Second,
		LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2, TrafficSplit: []routing.WeightedService{{Service: "pay", Weight: 1}},
	}
}

// call sends a request and returns the response and its body.
func (f *fixture) call(t *testing.T, ctx context.Context, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "127.0.0.1"
	req.Header.Set("X-Id", "a1")
	req.Header.Set("X-Key", "7")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

func mustCall(t *testing.T, f *fixture, body string) (*http.Response, string) {
	t.Helper()
	resp, text, err := f.call(t, context.Background(), body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, text
}

func answerSigned(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signed", "s")
	_, _ = io.WriteString(w, "done")
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func shedRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestResponseIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t, route(false))
	f.addServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Signed", "mark")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s %s", r.Method, r.URL.Path, body, r.Header.Get("X-Expect"))
	})
	resp, text := mustCall(t, f, "order")
	if resp.StatusCode != http.StatusCreated || resp.Header.Get("X-Signed") != "mark" || text != "POST /x order i-1" {
		t.Errorf("got status %d, header %v, body %q", resp.StatusCode, resp.Header, text)
	}
}

// TestPaymentWithLostAnswerIsNotRetried guards against double charges: a
// payment whose response is lost may have run and must not be sent to a second
// server.
func TestPaymentWithLostAnswerIsNotRetried(t *testing.T) {
	f := newFixture(t, route(false))
	f.addServer(t, abortConnection)
	f.addServer(t, abortConnection)
	resp, _ := mustCall(t, f, "order")
	if resp.StatusCode != http.StatusBadGateway || f.received.Load() != 1 {
		t.Errorf("got status %d after %d sends, want 502 after 1", resp.StatusCode, f.received.Load())
	}
}

// TestPendingPaymentIsNotRetried guards against a double charge by a daemon
// that was suspended until after the deadline, so that every timer has fired
// while the first send is still pending.
func TestPendingPaymentIsNotRetried(t *testing.T) {
	f := newFixture(t, route(false))
	release := make(chan struct{})
	f.addServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	f.addServer(t, answerSigned)
	defer close(release)
	r := route(false)
	req := &clientRequest{
		id: "a1", route: &r, service: routing.Service{Name: "pay"}, arrived: time.Now(), deadline: time.Now().Add(time.Minute),
	}
	req.message.Method, req.message.Target, req.message.Deadline = http.MethodPost, "/x", req.deadline
	d := newDispatcher(f.Gateway, req)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if refusal := d.send(ctx); refusal != nil {
		t.Fatal(refusal)
	}
	if refusal := d.retry(ctx); refusal == nil {
		t.Error("a pending payment was sent to a second server")
	}
}

// TestSplitHoldsWhenPartIsShortOfRoom guards against moving the requests of one
// part of a split to another: they are refused instead.
func TestSplitHoldsWhenPartIsShortOfRoom(t *testing.T) {
	r := route(true)
	r.TrafficSplit = []routing.WeightedService{{Service: "pay", Weight: 1}, {Service: "none", Weight: 1}}
	f := newFixture(t, r)
	f.addServer(t, answerSigned)
	statuses := map[int]int{}
	const requests = 400
	for i := range requests {
		req, err := http.NewRequest(http.MethodPost, f.url+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "127.0.0.1"
		req.Header.Set("X-Id", fmt.Sprint("a", i))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		statuses[resp.StatusCode]++
	}
	if ok, refused := statuses[http.StatusOK], statuses[http.StatusServiceUnavailable]; ok < 160 || ok > 240 || ok+refused != requests || f.received.Load() != int64(ok) {
		t.Errorf("got statuses %v and %d sends, want 200 and 503 for about half each and one send for each 200", statuses, f.received.Load())
	}
}

func TestLookupWithLostAnswerIsRetried(t *testing.T) {
	f := newFixture(t, route(true))
	var first atomic.Bool
	for range 2 {
		f.addServer(t, func(w http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				abortConnection(w, r)
			}
			answerSigned(w, r)
		})
	}
	if resp, text := mustCall(t, f, ""); resp.StatusCode != http.StatusOK || text != "done" {
		t.Errorf("got status %d, body %q", resp.StatusCode, text)
	}
}

func TestServerErrorIsForwardedWithSignature(t *testing.T) {
	f := newFixture(t, route(true))
	for range 2 {
		f.addServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "mark")
			w.WriteHeader(http.StatusInternalServerError)
		})
	}
	resp, _ := mustCall(t, f, "")
	if resp.StatusCode != http.StatusInternalServerError || resp.Header.Get("X-Signed") != "mark" || f.received.Load() != 2 {
		t.Errorf("got status %d, header %v after %d sends, want a signed 500 after 2", resp.StatusCode, resp.Header, f.received.Load())
	}
}

// TestServiceUnavailableCases covers the causes of a 503, which promises that
// the request has not run.
func TestServiceUnavailableCases(t *testing.T) {
	// The only servers that get the request reject it, so that it runs nowhere.
	received := map[string]int64{"all servers shed": 2}
	for name, setup := range map[string]func(t *testing.T) *fixture{
		"no configuration": func(t *testing.T) *fixture { return newFixture(t) },
		"no server":        func(t *testing.T) *fixture { return newFixture(t, route(false)) },
		"all servers shed": func(t *testing.T) *fixture {
			f := newFixture(t, route(false))
			f.addServer(t, shedRequest)
			f.addServer(t, shedRequest)
			return f
		},
		"connection refused": func(t *testing.T) *fixture {
			f := newFixture(t, route(false))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l.Close()
			f.PutBackend(routing.Backend{ID: "i-9", Service: "pay", Address: l.Addr().String(), Zone: "n1", Slots: 4})
			return f
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := setup(t)
			resp, _ := mustCall(t, f, "order")
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 {
				t.Errorf("got status %d, Retry-After %q, want 503 and a positive delay", resp.StatusCode, resp.Header.Get("Retry-After"))
			}
			if got := f.received.Load(); got != received[name] {
				t.Errorf("servers got the request %d times, want %d", got, received[name])
			}
		})
	}
}

// TestUnexpectedShedIsRetriedOnTheSameServer has the server that is warm for
// the object shed one request although it is idle. The other server is cold for
// the object.
func TestUnexpectedShedIsRetriedOnTheSameServer(t *testing.T) {
	r := route(false)
	r.SessionAffinity = true
	f := newFixture(t, r)
	receivedBy := make(chan string, 2)
	for range 2 {
		f.addServer(t, func(w http.ResponseWriter, r *http.Request) {
			receivedBy <- r.Header.Get("X-Expect")
			if f.received.Load() == 1 {
				shedRequest(w, r)
				return
			}
			answerSigned(w, r)
		})
	}
	resp, _ := mustCall(t, f, "pay")
	if resp.StatusCode != http.StatusOK || f.received.Load() != 2 {
		t.Fatalf("got status %d after %d sends, want 200 after 2", resp.StatusCode, f.received.Load())
	}
	if first, second := <-receivedBy, <-receivedBy; first != second {
		t.Errorf("sent to %s, then to %s, want the same server twice", first, second)
	}
}

func TestUnexpectedShedHasShortRetryAfter(t *testing.T) {
	f := newFixture(t, route(true))
	f.addServer(t, shedRequest)
	resp, _ := mustCall(t, f, "look")
	if after := resp.Header.Get("Retry-After"); resp.StatusCode != http.StatusServiceUnavailable || after != "0.01" {
		t.Errorf("got status %d with Retry-After %q, want 503 with 0.01", resp.StatusCode, after)
	}
}

// addCrashingServer adds a server that answers requests until it receives one
// with the given body, and then goes down.
func (f *fixture) addCrashingServer(t *testing.T, body string) {
	t.Helper()
	var server *httptest.Server
	f.addServer(t, func(w http.ResponseWriter, r *http.Request) {
		if text, err := io.ReadAll(r.Body); err != nil || string(text) == body {
			server.Listener.Close()
			abortConnection(w, r)
		}
		answerSigned(w, r)
	})
	server = f.lastServer
}

func TestCrashingRequestIsBlockedByAllDaemons(t *testing.T) {
	f, other := newFixture(t, route(true)), newFixture(t, route(true))
	for range 3 {
		f.addCrashingServer(t, "poison")
	}
	other.addCrashingServer(t, "poison")
	if resp, _ := mustCall(t, f, "poison"); resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("crashing request, first time: got status %d, want 502", resp.StatusCode)
	}
	// This request finds two servers down and is answered by the third.
	if resp, _ := mustCall(t, f, "harmless"); resp.StatusCode != http.StatusOK {
		t.Fatalf("harmless request: got status %d, want 200", resp.StatusCode)
	}
	other.MergeCrashes(f.Crashes())
	for _, at := range []*fixture{f, other} {
		before := at.received.Load()
		resp, _ := mustCall(t, at, "poison")
		if resp.StatusCode != http.StatusServiceUnavailable || at.received.Load() != before {
			t.Errorf("crashing request, second time: got status %d after %d sends, want 503 without a send", resp.StatusCode, at.received.Load()-before)
		}
		if resp, _ := mustCall(t, at, "harmless"); resp.StatusCode != http.StatusOK {
			t.Errorf("harmless request, second time: got status %d, want 200", resp.StatusCode)
		}
	}
}

func TestIdleConnLimit(t *testing.T) {
	for _, c := range []struct{ limit, daemons, want int }{{330, 9, 18}, {1560, 77, 10}, {40, 100, 1}, {0, 9, maxIdleConns}} {
		if got := idleConnLimit(routing.Service{MaxConnections: c.limit}, c.daemons); got != c.want {
			t.Errorf("limit of %d connections shared by %d daemons: got %d idle connections each, want %d", c.limit, c.daemons, got, c.want)
		}
	}
}

func TestUnknownPathAndOversizedBodyAreRefused(t *testing.T) {
	r := route(false)
	r.PathPrefix = "/known/"
	if resp, _ := mustCall(t, newFixture(t, r), "order"); resp.StatusCode != http.StatusNotFound {
		t.Errorf("unknown path: got status %d, want 404", resp.StatusCode)
	}
	f := newFixture(t, route(false))
	f.addServer(t, answerSigned)
	if resp, _ := mustCall(t, f, strings.Repeat("x", 1001)); resp.StatusCode != http.StatusRequestEntityTooLarge || f.received.Load() != 0 {
		t.Errorf("oversized body: got status %d after %d sends, want 413 without a send", resp.StatusCode, f.received.Load())
	}
}

func TestRouteTimeoutCancelsRequest(t *testing.T) {
	r := route(false)
	r.Timeout = 50 * time.Millisecond
	f := newFixture(t, r)
	ended := make(chan struct{})
	f.addServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(ended)
	})
	resp, _ := mustCall(t, f, "order")
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("got status %d, want 504", resp.StatusCode)
	}
	<-ended
}

func TestClientDisconnectCancelsBackendRequest(t *testing.T) {
	f := newFixture(t, route(true))
	started, ended := make(chan struct{}), make(chan struct{})
	var once sync.Once
	f.addServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		once.Do(func() { close(started) })
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	if _, _, err := f.call(t, ctx, ""); err == nil {
		t.Error("the cancelled call returned a response")
	}
	<-ended
	if f.received.Load() != 1 {
		t.Errorf("got %d sends, want 1", f.received.Load())
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFixture(t, route(false))
	old := route(false)
	old.PathPrefix = "/old/"
	f.ApplyConfiguration(routing.New(0, []routing.Route{old}, nil, routing.ClientLimits{}))
	f.addServer(t, answerSigned)
	if resp, _ := mustCall(t, f, ""); resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", resp.StatusCode)
	}
}

func TestStoppingGatewayIsNotReadyOrListed(t *testing.T) {
	f := newFixture(t, route(false))
	if f.Ready() {
		t.Error("ready before the backend servers are known")
	}
	f.ReplaceBackends(nil)
	if addresses, _ := f.Resolve(); !f.Ready() || len(addresses) != 1 {
		t.Error("not ready or not listed with a configuration and backend servers")
	}
	f.stopPlan.Store(&shutdown.Plan{})
	if addresses, _ := f.Resolve(); f.Ready() || len(addresses) != 0 {
		t.Error("ready or listed while stopping")
	}
}

func TestEntriesExpiredDuringStoreOutageAreKept(t *testing.T) {
	f := newFixture(t, route(false))
	f.addServer(t, answerSigned)
	now := time.Now()
	f.SetStoreUnavailable()
	f.backends.remove("i-1", now)
	f.backends.removeExpired(now.Add(time.Hour))
	if resp, _ := mustCall(t, f, ""); resp.StatusCode != http.StatusOK {
		t.Errorf("during the outage: got status %d, want 200", resp.StatusCode)
	}
	f.backends.setStoreAvailable(now)
	f.backends.removeExpired(now.Add(reregisterTimeout + time.Second))
	if resp, _ := mustCall(t, f, ""); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("after the re-registration period: got status %d, want 503", resp.StatusCode)
	}
}

// TestEntriesAreKeptAfterLongStoreOutage guards against dropping an entry that expired
// early in an outage as soon as the store answers, before its server can register again.
func TestEntriesAreKeptAfterLongStoreOutage(t *testing.T) {
	f := newFixture(t, route(false))
	f.addServer(t, answerSigned)
	now := time.Now()
	f.SetStoreUnavailable()
	f.backends.remove("i-1", now)
	regained := now.Add(time.Hour)
	f.backends.setStoreAvailable(regained)
	f.backends.removeExpired(regained.Add(reregisterTimeout - time.Millisecond))
	if len(f.balancer.ServerIDs()) != 1 {
		t.Error("the server was dropped within its time to register again")
	}
	f.backends.removeExpired(regained.Add(reregisterTimeout + time.Millisecond))
	if len(f.balancer.ServerIDs()) != 0 {
		t.Error("the server that did not register again was kept")
	}
}

// TestServerThatRegistersAgainIsKept guards against dropping a server whose entry was
// missing and came back, of the same or of a later start.
func TestServerThatRegistersAgainIsKept(t *testing.T) {
	for _, startedAt := range []int64{1, 1000} {
		f := newFixture(t, route(false))
		f.addServer(t, answerSigned)
		entry := routing.Backend{
			ID: "i-1", StartedAtMs: startedAt, Service: "pay", Address: f.lastServer.Listener.Addr().String(), Zone: "n1", Slots: 4,
		}
		now := time.Now()
		f.SetStoreUnavailable()
		f.backends.remove("i-1", now)
		f.backends.put(entry, now.Add(time.Second))
		f.backends.setStoreAvailable(now.Add(time.Second))
		f.backends.removeExpired(now.Add(time.Hour))
		if resp, _ := mustCall(t, f, ""); resp.StatusCode != http.StatusOK {
			t.Errorf("started at %d ms: got status %d, want 200", startedAt, resp.StatusCode)
		}
	}
}

// TestRefusalCountsWithItsLatency guards against refusals that count as latency 0, also
// if the client took long to send the body.
func TestRefusalCountsWithItsLatency(t *testing.T) {
	r := route(false)
	r.Timeout = 50 * time.Millisecond
	f := newFixture(t, r)
	conn := dial(t, strings.TrimPrefix(f.url, "http://"))
	if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Fatalf("got %+v, %v, want status 408", resp, err)
	}
	var latency map[string]float64
	for end := time.Now().Add(20 * time.Second); latency["count"] == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		latency = f.metrics.quantiles().(map[string]map[string]float64)[""]
	}
	if latency["count"] != 1 || latency["p50"] < 49 {
		t.Errorf("got %v, want one request of 50 ms or more", latency)
	}
}

func TestEveryGatewayMetricIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/operations/gateway.md")
	if err != nil {
		t.Fatal(err)
	}
	newTestGateway(t).metrics.root.Do(func(v expvar.KeyValue) {
		if !strings.Contains(string(page), "| `"+v.Key+"` |") {
			t.Errorf("docs/operations/gateway.md has no row for metric %s", v.Key)
		}
	})
}

// TestHugeDeadlineIsTheLongest guards against a client's deadline that overflows and counts
// as passed.
func TestHugeDeadlineIsTheLongest(t *testing.T) {
	for _, c := range []struct {
		value string
		want  time.Duration
	}{
		{"250", 250 * time.Millisecond}, {"0", defaultDeadline}, {"-1", defaultDeadline}, {"86400001", maxClientBudget},
		{"9223372036855", maxClientBudget}, {"9223372036854775807", maxClientBudget}, {"1" + strings.Repeat("0", 30), defaultDeadline},
	} {
		if got := clientBudget(c.value); got != c.want {
			t.Errorf("%s ms: got %v, want %v", c.value, got, c.want)
		}
	}
}
