package gateway

import (
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
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/routing"
)

func headers() Headers {
	h := Headers{RetryAfter: "Retry-After"}
	h.Names.AttemptID, h.Names.DeadlineMs, h.Names.Affinity = "X-Id", "X-Left", "X-Key"
	h.Names.ExpectID, h.Names.Signature, h.Names.NotExecuted = "X-Expect", "X-Signed", "X-Not-Run"
	h.Names.Load, h.Names.ColdMs = "X-Load", "X-Cold"
	return h
}

// fixture is a gateway, its clients' listener and its backend servers.
type fixture struct {
	*Gateway
	url string
	// arrivals counts what reached any server.
	arrivals atomic.Int64
	servers  int
	// last is the server that was added last.
	last *httptest.Server
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

// serve adds a backend server that is answered by h.
func (f *fixture) serve(t *testing.T, h http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.arrivals.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		h(w, r)
	}))
	t.Cleanup(server.Close)
	f.last = server
	f.servers++
	f.PutBackend(routing.Backend{
		ID: fmt.Sprint("i-", f.servers), StartedAtMs: 1, Service: "pay", Address: server.Listener.Addr().String(), Zone: "n1", Slots: 4,
	})
}

func route(idempotent bool) routing.Route {
	return routing.Route{
		Name: "r", Host: "127.0.0.1", PathPrefix: "/", Idempotent: idempotent, Timeout: 2 * time.Second,
		LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2, TrafficSplit: []routing.WeightedService{{Service: "pay", Weight: 1}},
	}
}

// call sends one request and returns its answer and body.
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

func good(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signed", "s")
	_, _ = io.WriteString(w, "done")
}

func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestAnswerIsGivenBackUnchanged(t *testing.T) {
	f := newFixture(t, route(false))
	f.serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Signed", "mark")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s %s", r.Method, r.URL.Path, body, r.Header.Get("X-Expect"))
	})
	resp, text := mustCall(t, f, "order")
	if resp.StatusCode != http.StatusCreated || resp.Header.Get("X-Signed") != "mark" || text != "POST /x order i-1" {
		t.Errorf("got %d %v %q", resp.StatusCode, resp.Header, text)
	}
}

// TestPaymentWhoseAnswerIsLostRunsOnce is what keeps charges single.
func TestPaymentWhoseAnswerIsLostRunsOnce(t *testing.T) {
	f := newFixture(t, route(false))
	f.serve(t, drop)
	f.serve(t, drop)
	resp, _ := mustCall(t, f, "order")
	if resp.StatusCode != http.StatusBadGateway || f.arrivals.Load() != 1 {
		t.Errorf("got %d after %d arrivals, want 502 after 1", resp.StatusCode, f.arrivals.Load())
	}
}

// TestPendingPaymentIsNeverSentAgain plays a daemon that stood still until
// after the deadline: every timer has fired while the first send is pending.
func TestPendingPaymentIsNeverSentAgain(t *testing.T) {
	f := newFixture(t, route(false))
	release := make(chan struct{})
	f.serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	f.serve(t, good)
	defer close(release)
	r := route(false)
	req := &clientRequest{
		id: "a1", route: &r, service: routing.Service{Name: "pay"}, arrived: time.Now(), deadline: time.Now().Add(time.Minute),
	}
	req.message.Method, req.message.Target, req.message.Deadline = http.MethodPost, "/x", req.deadline
	run := &run{g: f.Gateway, req: req, finished: make(chan finished, 8)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if refusal := run.send(ctx); refusal != nil {
		t.Fatal(refusal)
	}
	if refusal := run.again(ctx); refusal == nil {
		t.Error("a payment whose answer is pending was sent to a second server")
	}
}

func TestLookupWhoseAnswerIsLostIsSentAgain(t *testing.T) {
	f := newFixture(t, route(true))
	var first atomic.Bool
	for range 2 {
		f.serve(t, func(w http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				drop(w, r)
			}
			good(w, r)
		})
	}
	if resp, text := mustCall(t, f, ""); resp.StatusCode != http.StatusOK || text != "done" {
		t.Errorf("got %d %q", resp.StatusCode, text)
	}
}

func TestOwnFailureOfAServerIsGivenBackWithItsSignature(t *testing.T) {
	f := newFixture(t, route(true))
	for range 2 {
		f.serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "mark")
			w.WriteHeader(http.StatusInternalServerError)
		})
	}
	resp, _ := mustCall(t, f, "")
	if resp.StatusCode != http.StatusInternalServerError || resp.Header.Get("X-Signed") != "mark" || f.arrivals.Load() != 2 {
		t.Errorf("got %d %v after %d arrivals", resp.StatusCode, resp.Header, f.arrivals.Load())
	}
}

// TestRefusalsPromiseThatNothingRan names each way to a 503.
func TestRefusalsPromiseThatNothingRan(t *testing.T) {
	for name, build := range map[string]func(t *testing.T) *fixture{
		"no configuration": func(t *testing.T) *fixture { return newFixture(t) },
		"no server":        func(t *testing.T) *fixture { return newFixture(t, route(false)) },
		"every server sheds": func(t *testing.T) *fixture {
			f := newFixture(t, route(false))
			f.serve(t, shed)
			f.serve(t, shed)
			return f
		},
		"no server listens": func(t *testing.T) *fixture {
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
			resp, _ := mustCall(t, build(t), "order")
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 {
				t.Errorf("got %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
			}
		})
	}
}

// TestShedWithRoomIsOfferedToTheSameServerOnceMore has the object's server
// refuse one request although it is empty. Another one is cold for the object.
func TestShedWithRoomIsOfferedToTheSameServerOnceMore(t *testing.T) {
	r := route(false)
	r.SessionAffinity = true
	f := newFixture(t, r)
	asked := make(chan string, 2)
	for range 2 {
		f.serve(t, func(w http.ResponseWriter, r *http.Request) {
			asked <- r.Header.Get("X-Expect")
			if f.arrivals.Load() == 1 {
				shed(w, r)
				return
			}
			good(w, r)
		})
	}
	resp, _ := mustCall(t, f, "pay")
	if resp.StatusCode != http.StatusOK || f.arrivals.Load() != 2 {
		t.Fatalf("got %d after %d sends, want 200 after 2", resp.StatusCode, f.arrivals.Load())
	}
	if first, second := <-asked, <-asked; first != second {
		t.Errorf("asked %s, then %s", first, second)
	}
}

func TestClientOfAServerThatShedsWithRoomComesBackAtOnce(t *testing.T) {
	f := newFixture(t, route(true))
	f.serve(t, shed)
	resp, _ := mustCall(t, f, "look")
	if after := resp.Header.Get("Retry-After"); resp.StatusCode != http.StatusServiceUnavailable || after != "0.01" {
		t.Errorf("got %d with Retry-After %q, want 503 with 0.01", resp.StatusCode, after)
	}
}

// crashOn serves requests until one with the given body comes, which ends the
// server.
func (f *fixture) crashOn(t *testing.T, body string) {
	t.Helper()
	var server *httptest.Server
	f.serve(t, func(w http.ResponseWriter, r *http.Request) {
		if text, err := io.ReadAll(r.Body); err != nil || string(text) == body {
			server.Listener.Close()
			drop(w, r)
		}
		good(w, r)
	})
	server = f.last
}

func TestRequestThatCrashesServersIsStoppedByAllDaemons(t *testing.T) {
	f, other := newFixture(t, route(true)), newFixture(t, route(true))
	for range 3 {
		f.crashOn(t, "poison")
	}
	other.crashOn(t, "poison")
	if resp, _ := mustCall(t, f, "poison"); resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("the first time: %d", resp.StatusCode)
	}
	// Another request finds both servers down and is answered by the third.
	if resp, _ := mustCall(t, f, "harmless"); resp.StatusCode != http.StatusOK {
		t.Fatalf("another request: %d", resp.StatusCode)
	}
	other.MergeCrashes(f.Crashes())
	for _, at := range []*fixture{f, other} {
		before := at.arrivals.Load()
		resp, _ := mustCall(t, at, "poison")
		if resp.StatusCode != http.StatusServiceUnavailable || at.arrivals.Load() != before {
			t.Errorf("again: got %d after %d sends, want 503 and none", resp.StatusCode, at.arrivals.Load()-before)
		}
		if resp, _ := mustCall(t, at, "harmless"); resp.StatusCode != http.StatusOK {
			t.Errorf("another request: %d", resp.StatusCode)
		}
	}
}

func TestDaemonsKeepAServersConnectionsWithinItsBound(t *testing.T) {
	for _, c := range []struct{ bound, daemons, most int }{{330, 9, 18}, {1560, 77, 10}, {40, 100, 1}, {0, 9, maxIdleConns}} {
		if got := maxIdle(routing.Service{MaxConnections: c.bound}, c.daemons); got != c.most {
			t.Errorf("%d connections among %d daemons: %d idle ones each, want %d", c.bound, c.daemons, got, c.most)
		}
	}
}

func TestUnknownPathAndLongBodyAreRefused(t *testing.T) {
	r := route(false)
	r.PathPrefix = "/known/"
	if resp, _ := mustCall(t, newFixture(t, r), "order"); resp.StatusCode != http.StatusNotFound {
		t.Errorf("unknown path: %d", resp.StatusCode)
	}
	f := newFixture(t, route(false))
	f.serve(t, good)
	if resp, _ := mustCall(t, f, strings.Repeat("x", 1001)); resp.StatusCode != http.StatusRequestEntityTooLarge || f.arrivals.Load() != 0 {
		t.Errorf("long body: %d after %d arrivals", resp.StatusCode, f.arrivals.Load())
	}
}

func TestRouteTimeoutEndsTheRequest(t *testing.T) {
	r := route(false)
	r.Timeout = 50 * time.Millisecond
	f := newFixture(t, r)
	ended := make(chan struct{})
	f.serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(ended)
	})
	resp, _ := mustCall(t, f, "order")
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("got %d", resp.StatusCode)
	}
	<-ended
}

func TestServerStopsWorkWhenTheClientHasGone(t *testing.T) {
	f := newFixture(t, route(true))
	started, ended := make(chan struct{}), make(chan struct{})
	var once sync.Once
	f.serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		once.Do(func() { close(started) })
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	if _, _, err := f.call(t, ctx, ""); err == nil {
		t.Error("a client that left got an answer")
	}
	<-ended
	if f.arrivals.Load() != 1 {
		t.Errorf("%d arrivals", f.arrivals.Load())
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFixture(t, route(false))
	old := route(false)
	old.PathPrefix = "/old/"
	f.ApplyConfiguration(routing.New(0, []routing.Route{old}, nil, routing.ClientLimits{}))
	f.serve(t, good)
	if resp, _ := mustCall(t, f, ""); resp.StatusCode != http.StatusOK {
		t.Errorf("got %d", resp.StatusCode)
	}
}

func TestLeavingGatewayIsNotReadyAndNamedByNobody(t *testing.T) {
	f := newFixture(t, route(false))
	if f.Ready() {
		t.Error("ready without knowing the servers")
	}
	f.ReplaceBackends(nil)
	if addresses, _ := f.Resolve(); !f.Ready() || len(addresses) != 1 {
		t.Error("not ready with a configuration and the servers")
	}
	f.leaving.Store(true)
	if addresses, _ := f.Resolve(); f.Ready() || len(addresses) != 0 {
		t.Error("ready while leaving")
	}
}

func TestEntriesThatRanOutDuringAnOutageAreKeptForAWhile(t *testing.T) {
	f := newFixture(t, route(false))
	f.serve(t, good)
	now := time.Now()
	f.SetStoreUnavailable()
	f.backends.remove("i-1", now)
	f.backends.expireAt(now.Add(time.Hour))
	if resp, _ := mustCall(t, f, ""); resp.StatusCode != http.StatusOK {
		t.Errorf("during the outage: %d", resp.StatusCode)
	}
	f.backends.storeRegained(now)
	f.backends.expireAt(now.Add(returnPeriod + time.Second))
	if resp, _ := mustCall(t, f, ""); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("after the time to return: %d", resp.StatusCode)
	}
}

func TestEveryMetricOfAGatewayIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/operations/gateway.md")
	if err != nil {
		t.Fatal(err)
	}
	newTestGateway(t).metrics.all.Do(func(v expvar.KeyValue) {
		if !strings.Contains(string(page), "| `"+v.Key+"` |") {
			t.Errorf("docs/operations/gateway.md has no row for metric %s", v.Key)
		}
	})
}
