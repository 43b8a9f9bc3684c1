package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/quota"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/routing"
	"bilberrytiller.example/tiller/transport/peer"
)

// newQuotaFixture returns a fixture of the only daemon of a fleet, whose organisation
// "shop" has a quota of one request in a long time and a burst.
func newQuotaFixture(t *testing.T, r routing.Route, burst float64) *fixture {
	t.Helper()
	f := newFixture(t)
	f.quotas = newQuotaKeeper(f.self, quota.Bounds{Window: time.Hour}, f.quotaOf, f.peerClient, f.requestLog)
	c := routing.New(1, []routing.Route{r}, map[string]routing.Service{"pay": {Name: "pay"}}, routing.ClientLimits{BodyBytes: 1000})
	organisations := []routing.Organisation{{Name: "shop", RatePerSecond: 0.001, Burst: burst}, {Name: "free"}}
	if err := c.SetOrganisations(organisations, map[string][]string{"shop": {"k-1"}, "free": {"k-2"}}); err != nil {
		t.Fatal(err)
	}
	f.ApplyConfiguration(c)
	f.SetMembers([]Member{{ID: f.self.ID, Region: "north"}})
	return f
}

func (f *fixture) send(t *testing.T, key string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Header = "127.0.0.1", http.Header{"X-Id": {"a1"}, "Authorization": {"Bearer " + key}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp
}

// saveUnits gives the fixture's ledger units of the quota.
func (f *fixture) saveUnits(units int) {
	now := time.Now()
	reply := &quota.Reply{Grants: []quota.Grant{{Organisation: "shop", Units: units, Life: time.Hour}}}
	f.quotas.ledger.Apply(&quota.Call{}, reply, now, now)
}

// TestRequestsAboveQuotaDoNotRun guards against an organisation that exceeds its quota,
// and against one that is limited because of another.
func TestRequestsAboveQuotaDoNotRun(t *testing.T) {
	f := newQuotaFixture(t, route(true), 10)
	f.addServer(t, answerSigned)
	f.saveUnits(2)
	for i, want := range []int{200, 200, 429, 429} {
		resp := f.send(t, "k-1")
		if resp.StatusCode != want {
			t.Errorf("request %d: status %d, want %d", i, resp.StatusCode, want)
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if want == 429 && (err != nil || after <= 0) {
			t.Errorf("request %d: Retry-After %q, want a time above 0", i, resp.Header.Get("Retry-After"))
		}
	}
	if n := f.received.Load(); n != 2 {
		t.Errorf("servers received %d requests, want 2", n)
	}
	if resp := f.send(t, "k-2"); resp.StatusCode != http.StatusOK {
		t.Errorf("organisation without a quota: status %d, want 200", resp.StatusCode)
	}
}

// TestRequestThatDidNotRunKeepsQuota guards against units lost to requests that servers
// shed.
func TestRequestThatDidNotRunKeepsQuota(t *testing.T) {
	f := newQuotaFixture(t, route(false), 10)
	var serving atomic.Bool
	f.addServer(t, func(w http.ResponseWriter, r *http.Request) {
		if !serving.Load() {
			shedRequest(w, r)
			return
		}
		answerSigned(w, r)
	})
	f.saveUnits(1)
	if resp := f.send(t, "k-1"); resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("shed request: status %d, want 503", resp.StatusCode)
	}
	serving.Store(true)
	if resp := f.send(t, "k-1"); resp.StatusCode != http.StatusOK {
		t.Errorf("request after one that did not run: status %d, want 200", resp.StatusCode)
	}
}

// TestSecondRunTakesUnit guards against retries of requests that may have run, which
// would exceed the quota.
func TestSecondRunTakesUnit(t *testing.T) {
	for units, want := range map[int]int64{1: 1, 2: 2} {
		f := newQuotaFixture(t, route(true), 10)
		f.addServer(t, abortConnection)
		f.addServer(t, abortConnection)
		f.saveUnits(units)
		f.send(t, "k-1")
		if n := f.received.Load(); n != want {
			t.Errorf("%d units: servers received %d requests, want %d", units, n, want)
		}
	}
}

// TestCopyThatDidNotRunKeepsQuota guards against units lost to copies of a request that
// a server shed, or for which no connection was opened.
func TestCopyThatDidNotRunKeepsQuota(t *testing.T) {
	for _, c := range []string{"shed", "not connected"} {
		f := newQuotaFixture(t, route(true), 10)
		var listeners []net.Listener
		server := func(w http.ResponseWriter, r *http.Request) {
			if f.received.Load() > 1 {
				shedRequest(w, r)
				return
			}
			if c == "not connected" {
				for _, l := range listeners {
					_ = l.Close()
				}
			}
			abortConnection(w, r)
		}
		for range 2 {
			f.addServer(t, server)
			listeners = append(listeners, f.lastServer.Listener)
		}
		f.saveUnits(2)
		f.send(t, "k-1")
		if n := f.quotas.ledger.Stock(time.Now()); n != 1 {
			t.Errorf("%s: %d units left of 2, want 1", c, n)
		}
	}
}

// countingListener counts the connections that are open.
type countingListener struct {
	net.Listener
	open *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{c, sync.OnceFunc(func() { l.open.Add(-1) })}, nil
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error { c.closed(); return c.Conn.Close() }

// TestDaemonsShareQuota guards against calls between daemons that do not carry the
// parts and the units of quotas, and against daemons that start together and do not
// release each other, or keep connections for that.
func TestDaemonsShareQuota(t *testing.T) {
	root, child := newQuotaFixture(t, route(true), 4), newQuotaFixture(t, route(true), 4)
	root.self.Region, child.self.ID, child.self.Region = "north", "host-2", "north"
	var members []Member
	var servers []*httptest.Server
	var open [2]atomic.Int64
	for i, f := range []*fixture{root, child} {
		bounds := quota.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
		f.peerServer = peer.NewServer(peer.NewAuth(f.self.ID, nil), f.log)
		f.peerClient = peer.NewClient(peer.NewAuth(f.self.ID, nil), netip.IPv4Unspecified())
		f.quotas = newQuotaKeeper(f.self, bounds, f.quotaOf, f.peerClient, f.requestLog)
		f.quotas.active.Store(true)
		f.quotas.serve(f.peerServer)
		server := httptest.NewUnstartedServer(f.peerServer)
		server.Listener = countingListener{server.Listener, &open[i]}
		server.Start()
		servers = append(servers, server)
		t.Cleanup(server.Close)
		t.Cleanup(f.peerClient.Close)
		members = append(members, Member{ID: f.self.ID, Region: "north", PeerAddress: server.Listener.Addr().String(), Capacity: float64(2 - i)})
	}
	for _, f := range []*fixture{root, child} {
		f.SetMembers(members)
		f.quotas.ledger.EarlierProcessEnded(time.Now().Add(time.Hour))
		go f.quotas.runStart(t.Context())
		go f.quotas.run(t.Context())
	}
	child.addServer(t, answerSigned)
	waitFor(t, "the root to hold all parts", func() bool { return root.quotas.ledger.Held(time.Now()) == 1 })
	waitFor(t, "the end of the connection for the start", func() bool { return open[0].Load() == 1 })
	waitFor(t, "units of the root", func() bool { return child.send(t, "k-1").StatusCode == http.StatusOK })
	if held := child.quotas.ledger.Held(time.Now()); held != 0 {
		t.Errorf("child issues from %v parts, want 0", held)
	}
	if root.quotas.ledger.Granted() == 0 {
		t.Error("root gave no units")
	}
	for _, s := range servers {
		s.Close()
	}
	_ = root.peerServer.Shutdown(t.Context())
	waitFor(t, "the child's own part", func() bool { return child.quotas.ledger.Held(time.Now()) == 0.5 })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if held := child.quotas.ledger.Held(time.Now()); held != 0.5 {
			t.Fatalf("child issues from %v parts after its parent was lost, want its own half", held)
		}
	}
}

// TestOwnPartWaitsForEarlierProcess guards against a gateway that waits for the addresses
// of an earlier process, and uses a part that this one has handed over.
func TestOwnPartWaitsForEarlierProcess(t *testing.T) {
	f := newQuotaFixture(t, route(true), 10)
	settings := *f.settings.Load()
	for _, address := range []*string{&settings.ClientListen, &settings.ReadyListen, &settings.DirectoryListen, &settings.PeerListen, &settings.MetricsListen} {
		*address = "127.0.0.1:0"
	}
	f.settings.Store(&settings)
	past := time.Now().Add(-time.Minute)
	f.quotas.ledger = quota.New("a", settings.QuotaBounds, f.quotaOf, past)
	f.quotas.ledger.SetDaemons(1, true, past)
	if held := f.quotas.ledger.Held(time.Now()); held != 1 {
		t.Fatalf("issues from %v parts before the start, want 1", held)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- f.Run(ctx, Handlers{Ready: http.NotFoundHandler(), Directory: http.NotFoundHandler()})
	}()
	waitFor(t, "the part to be unused", func() bool { return f.quotas.ledger.Held(time.Now()) == 0 })
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestLowerQuotaIsAppliedAtOnce guards against a gateway that does not pass changed quotas
// on.
func TestLowerQuotaIsAppliedAtOnce(t *testing.T) {
	f := newQuotaFixture(t, route(true), 10)
	f.saveUnits(2)
	c := *f.configuration.Load()
	c.Version++
	if err := c.SetOrganisations([]routing.Organisation{{Name: "shop", RatePerSecond: 0.0005, Burst: 10}}, map[string][]string{"shop": {"k-1"}}); err != nil {
		t.Fatal(err)
	}
	f.ApplyConfiguration(&c)
	if n := f.quotas.ledger.Stock(time.Now()); n != 0 {
		t.Errorf("%d units of the higher quota left, want 0", n)
	}
}

// TestUnreadBodyKeepsQuota guards against units lost to requests whose body was not read.
func TestUnreadBodyKeepsQuota(t *testing.T) {
	f := newQuotaFixture(t, route(true), 10)
	f.saveUnits(1)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/x", strings.NewReader(strings.Repeat("x", 1001)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Header = "127.0.0.1", http.Header{"X-Id": {"a1"}, "Authorization": {"Bearer k-1"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if n := f.quotas.ledger.Stock(time.Now()); resp.StatusCode != http.StatusRequestEntityTooLarge || n != 1 {
		t.Errorf("status %d and %d units left, want 413 and 1", resp.StatusCode, n)
	}
}

// addParents gives a fixture, whose daemon is in the given region, parents in the region
// "a" that accept connections and do not answer, and then those given.
func (f *fixture) addParents(t *testing.T, region string, silent int, others ...Member) {
	t.Helper()
	members := append([]Member{{ID: f.self.ID, Region: region}}, others...)
	if region > "c" {
		members = append(members, Member{ID: "b", Region: "b"}, Member{ID: "c", Region: "c"})
	}
	for i := range silent {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		members = append(members, Member{ID: fmt.Sprint("silent-", i), Region: "a", PeerAddress: listener.Addr().String(), Capacity: 9})
	}
	f.SetMembers(members)
}

// servePeers returns the address of a fixture's server for other daemons, which answers
// after a delay.
func (f *fixture) servePeers(t *testing.T, delay time.Duration) string {
	t.Helper()
	f.peerServer = peer.NewServer(peer.NewAuth("root", nil), f.log)
	peer.Handle(f.peerServer, wire.TypeQuota, func(ctx context.Context, from string, call *quota.Call) (*quota.Reply, error) {
		time.Sleep(delay)
		return f.quotas.handleCall(ctx, from, call)
	})
	server := httptest.NewServer(f.peerServer)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestSilentParentLeavesTimeForNext guards against a daemon whose parent hangs, and that
// does not reach the next one in the same round, in its region or another. A parent that
// takes longer than expected, and is the only one, is still used.
func TestSilentParentLeavesTimeForNext(t *testing.T) {
	for _, c := range []struct {
		region string
		silent int
		delay  time.Duration
	}{{"a", 1, 0}, {"d", 1, 0}, {"d", 0, 150 * time.Millisecond}} {
		root, child := newQuotaFixture(t, route(true), 4), newQuotaFixture(t, route(true), 4)
		child.addParents(t, c.region, c.silent, Member{ID: "root", Region: "a", PeerAddress: root.servePeers(t, c.delay), Capacity: 8})
		root.saveUnits(1)
		child.quotas.ledger.Take("shop", true, time.Now())
		child.quotas.callParent(t.Context())
		if n := child.quotas.ledger.Stock(time.Now()); n != 1 {
			t.Errorf("%+v: got %d units, want 1", c, n)
		}
	}
}

// TestWaitingRequestsShareCall guards against a call to the parent for each of several
// requests, and against a request that waits for the call of a more patient one.
func TestWaitingRequestsShareCall(t *testing.T) {
	for _, c := range []struct{ first, second, least time.Duration }{
		{100 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond}, {time.Hour, 0, 0},
	} {
		f := newQuotaFixture(t, route(true), 4)
		latest := time.Now()
		f.quotas.next, f.quotas.roundAt = newQuotaRound(time.Hour), latest
		go f.quotas.run(t.Context())
		first, second := f.quotas.callAfter(c.first), f.quotas.callAfter(c.second)
		if first != second {
			t.Error("two requests wait for different calls")
		}
		<-first.done
		if took := time.Since(latest); took < c.least {
			t.Errorf("%+v: the call was made %s after the latest, want at least %s", c, took, c.least)
		}
	}
}

// TestFailedRoundIsRemembered guards against requests that wait again and again for
// parents that do not answer.
func TestFailedRoundIsRemembered(t *testing.T) {
	for _, silent := range []int{1, 3} {
		f := newQuotaFixture(t, route(true), 4)
		f.addParents(t, "a", silent)
		f.quotas.callParent(t.Context())
		now := time.Now()
		if f.quotas.ledger.Take("shop", true, now).Ask {
			t.Errorf("%d parents: a request asks right after none answered", silent)
		}
		if !f.quotas.ledger.Take("shop", true, now.Add(time.Second)).Ask {
			t.Errorf("%d parents: a request does not ask a second later", silent)
		}
	}
}

// TestRefusalIsEarly guards against requests that are refused only when little of their
// latency objective is left.
func TestRefusalIsEarly(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ objective, left, want time.Duration }{
		{80 * time.Millisecond, time.Minute, 10 * time.Millisecond}, {0, time.Minute, quotaWait},
		{time.Minute, time.Minute, quotaWait}, {time.Minute, time.Millisecond, time.Millisecond},
	} {
		got := quotaWaitFor(&routing.Route{LatencyObjective: c.objective}, now.Add(c.left), now)
		if got != c.want {
			t.Errorf("%+v: a request waits for %s", c, got)
		}
		if spacing := quotaSpacingFor(got); spacing > got/3 {
			t.Errorf("%+v: a request that waits for %s is held back for %s", c, got, spacing)
		}
	}
}

// TestCopyDoesNotAsk guards against an answer that waits while a unit for another copy is
// asked for.
func TestCopyDoesNotAsk(t *testing.T) {
	f := newQuotaFixture(t, route(true), 4)
	f.addParents(t, "a", 1)
	o := f.configuration.Load().Organisation("shop")
	if _, admitted := f.quotas.admitCopy(o); admitted || len(f.quotas.kick) > 0 {
		t.Errorf("copy without a unit: admitted %v, %d calls asked for, want neither", admitted, len(f.quotas.kick))
	}
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited too long for %s", what)
		}
	}
}
