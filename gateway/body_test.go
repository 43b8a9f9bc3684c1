package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/memory"
)

// TestLargestBodyFitsOnSmallestMachine guards against a budget that refuses a body inside
// the limits in calm.
func TestLargestBodyFitsOnSmallestMachine(t *testing.T) {
	const smallestMachine, largestBody = 136 << 20, 64 << 20
	now := time.Unix(1000, 0)
	if err := memory.New(budgetBytes(smallestMachine)).Hold(now, func() {}).Grow(largestBody, now); err != nil {
		t.Error(err)
	}
}

// TestBodyThatStandsStillGivesUpItsMemory guards against bodies that stop short of their
// end and keep others out, and against refusals that do not promise that nothing ran.
func TestBodyThatStandsStillGivesUpItsMemory(t *testing.T) {
	patient := route(false)
	patient.Timeout = defaultDeadline
	f := newFixture(t, patient)
	f.addServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Signed", "s") })
	f.memory = memory.New(16 << 10)
	stalled, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Close()
	if _, err := io.WriteString(stalled, "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: s1\r\nContent-Length: 1000\r\n\r\nbody"); err != nil {
		t.Fatal(err)
	}
	answered := make(chan *http.Response, 1)
	go func() {
		resp, _ := http.ReadResponse(bufio.NewReader(stalled), nil)
		answered <- resp
	}()
	for f.memory.Usage().UsedBytes == 0 {
		time.Sleep(time.Millisecond)
	}
	hold := f.memory.Hold(time.Now(), func() {})
	if err := hold.Grow(12<<10, time.Now()); err != nil {
		t.Fatal(err)
	}
	hold.Keep()
	refused := 0
	for ; ; refused++ {
		resp, _ := mustCall(t, f, strings.Repeat("b", 900))
		if resp.StatusCode == http.StatusOK {
			break
		}
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("request without memory: got %+v, want 503 with Retry-After", resp)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := f.received.Load(); refused == 0 || n != 1 {
		t.Errorf("%d requests were refused, %d reached a server, want some and 1", refused, n)
	}
	if resp := <-answered; resp == nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("body that stands still: got %+v, want 408", resp)
	}
}

// TestManyFieldsNeedMemory guards against heads of legal size that take many times their
// size in memory, and against a refusal of one that comes in calm.
func TestManyFieldsNeedMemory(t *testing.T) {
	f := newFixture(t, route(true))
	f.addServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Signed", "s") })
	const fields = 3000
	call := func() *http.Response {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Host = "127.0.0.1"
		r.Header.Set("X-Id", "a1")
		for i := range fields {
			r.Header.Set(fmt.Sprint("F-", i), "")
		}
		f.serveClient(w, r)
		return w.Result()
	}
	for name, c := range map[string]struct {
		budget int64
		want   int
	}{"calm": {8 * fields * headerFieldBytes, http.StatusOK}, "shortage": {fields * headerFieldBytes / 2, http.StatusServiceUnavailable}} {
		f.memory = memory.New(c.budget)
		resp := call()
		if resp.StatusCode != c.want || (resp.Header.Get("Retry-After") != "") != (c.want == http.StatusServiceUnavailable) {
			t.Errorf("%s: got status %d and Retry-After %q, want %d", name, resp.StatusCode, resp.Header.Get("Retry-After"), c.want)
		}
		if used := f.memory.Usage().UsedBytes; used != 0 {
			t.Errorf("%s: %d bytes are still reserved", name, used)
		}
	}
	if n := f.received.Load(); n != 1 {
		t.Errorf("%d requests reached the server, want the one in calm", n)
	}
}

// TestLargeHeadsAreServedInTurn guards against places for large heads that are not given up
// when the request is served, and against a refusal that does not promise that nothing ran.
func TestLargeHeadsAreServedInTurn(t *testing.T) {
	g := newTestGateway(t)
	g.heads = memory.NewHeads(memory.New(1), 0)
	c := newClientServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		release, _ := g.holdHeader(r)
		release()
	}), g)
	address := startClientServer(t, c)
	large := strings.Repeat("a:\r\n", 2*memory.FreeHeadFields)
	kept := dial(t, address)
	for i := range 3 {
		if status := exchange(t, kept, large); status != http.StatusOK {
			t.Errorf("large head %d in calm: got status %d, want 200", i, status)
		}
	}
	other := g.heads.Enter(time.Now(), func() {})
	if status := exchange(t, kept, ""); status != http.StatusOK {
		t.Errorf("ordinary head: got status %d, want 200", status)
	}
	if _, err := io.WriteString(kept, "GET / HTTP/1.1\r\nHost: x\r\n"+large+"\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(kept), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("large head without a place: got %+v, %v, want 503 with Retry-After", resp, err)
	}
	other.Leave(time.Now())
	if status := exchange(t, dial(t, address), large); status != http.StatusOK {
		t.Errorf("large head after the shortage: got status %d, want 200", status)
	}
}
