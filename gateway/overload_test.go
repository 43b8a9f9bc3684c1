package gateway

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/routing"
)

// rankedFixture returns a gateway with one server, which two routes of different
// rank use: /x and the less urgent /low/. The server holds the requests to /held
// until release is called. It says that it has 16 requests, but one to /first and
// 1000 to /peak.
func rankedFixture(t *testing.T, objective time.Duration) (f *fixture, release func()) {
	t.Helper()
	urgent, low := route(true), route(true)
	low.Name, low.PathPrefix, low.Priority = "low", "/low/", 1
	urgent.LatencyObjective, low.LatencyObjective = objective, objective
	f = newFixture(t, urgent, low)
	released := make(chan struct{})
	f.addServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", "16,0,4")
		switch r.URL.Path {
		case "/held":
			<-released
			w.Header().Set("X-Load", "0,0,4")
		case "/first":
			w.Header().Set("X-Load", "1,0,4")
		case "/peak":
			w.Header().Set("X-Load", "1000,0,4")
		}
		answerSigned(w, r)
	})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	return f, release
}

func get(t *testing.T, f *fixture, path string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.url+path, http.NoBody)
	if err != nil {
		t.Error(err)
		return nil
	}
	req.Host = "127.0.0.1"
	req.Header.Set("X-Id", "a"+path)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not after 10 s: %s", what)
		}
	}
}

// TestLessUrgentRequestWaitsForRoom guards against refusing a request that a server
// has room for a moment later.
func TestLessUrgentRequestWaitsForRoom(t *testing.T) {
	f, release := rankedFixture(t, 40*time.Second)
	done := make(chan struct{}, 2)
	go func() { get(t, f, "/held"); done <- struct{}{} }()
	waitUntil(t, "the server holds a request", func() bool { return f.received.Load() == 1 })
	get(t, f, "/first")
	get(t, f, "/peak")
	var low *http.Response
	go func() { low = get(t, f, "/low/x"); done <- struct{}{} }()
	waitUntil(t, "the less urgent request waits", func() bool { return f.waitingByRank().(map[string]int)["rank_1"] == 1 })
	release()
	<-done
	<-done
	if low == nil || low.StatusCode != http.StatusOK {
		t.Errorf("got %+v, want an answer once the server had room", low)
	}
	if n := f.waitingByRank().(map[string]int)["rank_1"]; n != 0 {
		t.Errorf("%d requests wait, want none", n)
	}
}

// TestLessUrgentRequestYields guards against a refusal without the time to return,
// and against one that is not counted by reason and rank.
func TestLessUrgentRequestYields(t *testing.T) {
	f, release := rankedFixture(t, 10*time.Millisecond)
	release()
	get(t, f, "/x")
	resp := get(t, f, "/low/x")
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("got %+v, want 503 with Retry-After", resp)
	}
	if n := f.metrics.refusals.Get("yields.rank_1"); n == nil || n.String() != "1" {
		t.Errorf("counted %v, want one refusal", n)
	}
}

// TestOneRankDoesNotYield guards deployments whose routes do not compete.
func TestOneRankDoesNotYield(t *testing.T) {
	f, release := rankedFixture(t, 10*time.Millisecond)
	release()
	one := route(true)
	f.ApplyConfiguration(routing.New(2, []routing.Route{one}, map[string]routing.Service{"pay": {Name: "pay"}}, routing.ClientLimits{}))
	get(t, f, "/x")
	get(t, f, "/low/x")
	if n := f.metrics.refusals.Get("yields.rank_0"); n != nil {
		t.Errorf("%v requests yielded to none", n)
	}
}

// TestReturningRequestIsKnownByItsBudget guards against taking first attempts of
// clients with different time budgets for returning requests, since some client has
// more, and a returning request for a first attempt.
func TestReturningRequestIsKnownByItsBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		// first is the budget of the i-th first attempt. Each third one returns with
		// the given fraction of it.
		first func(i int) time.Duration
		rest  float64
	}{
		{"one budget", func(int) time.Duration { return 4 * time.Second }, 0.98},
		{"one budget and an odd one", func(i int) time.Duration {
			if i%100 == 50 {
				return time.Hour
			}
			return 4 * time.Second
		}, 0.98},
		{"budgets that differ by 15 in 100", func(i int) time.Duration { return 4*time.Second - time.Duration(i*7%60)*10*time.Millisecond }, 0.67},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b timeBudgets
			firstAsReturning, returning, known := 0, 0, 0
			for i := range 600 {
				if b.returning("r", c.first(i), now) {
					firstAsReturning++
				}
				if i%3 == 0 && i > 2*budgetsPerUpdate {
					returning++
					if b.returning("r", time.Duration(c.rest*float64(c.first(i))), now) {
						known++
					}
				}
			}
			if firstAsReturning > 6 || known < returning*9/10 {
				t.Errorf("%d of 600 first attempts are taken for returning requests, want at most 6; %d of %d returning requests are known", firstAsReturning, known, returning)
			}
			if b.returning("other", 3*time.Second, now) || b.returning("r", 3*time.Second, now.Add(4*budgetInterval)) {
				t.Error("budgets of another route or of long ago count")
			}
		})
	}
}

// TestWaitEndsWhenServerMayBeAvailable guards against a request that waits for room although
// the pause of another server has ended.
func TestWaitEndsWhenServerMayBeAvailable(t *testing.T) {
	f := newFixture(t, route(false))
	f.addServer(t, answerSigned)
	w := wait{g: f.Gateway}
	defer w.end()
	began := time.Now()
	w.await(t.Context(), &upstream.Refusal{
		RetryAfter: 20 * time.Second, MaxWait: 20 * time.Second, Recheck: 30 * time.Millisecond,
		Waiter: &upstream.Waiter{Server: "i-1", Ready: make(chan struct{}, 1)},
	})
	if took := time.Since(began); took < 30*time.Millisecond || took > 10*time.Second || w.mustEnd {
		t.Errorf("decided on again after %s, must end %t, want 30 ms", took, w.mustEnd)
	}
}
