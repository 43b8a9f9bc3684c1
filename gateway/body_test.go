package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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

// TestManyFieldsAreRefused guards against heads of legal size that take many times their
// size in memory.
func TestManyFieldsAreRefused(t *testing.T) {
	f := newFixture(t, route(true))
	f.addServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Signed", "s") })
	for fields, want := range map[int]int{maxHeaderFields - 10: http.StatusOK, maxHeaderFields + 1: http.StatusRequestHeaderFieldsTooLarge} {
		req, err := http.NewRequest(http.MethodGet, f.url+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "127.0.0.1"
		req.Header.Set("X-Id", "a1")
		for i := range fields {
			req.Header.Set(fmt.Sprint("F-", i), "")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%d fields: got status %d, want %d", fields, resp.StatusCode, want)
		}
	}
}
