package upstreamhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
)

// startLateCopyServer starts a server that rejects the first request of the first
// connection, and sends a second copy of the rejection as soon as the next request
// arrives on the same connection. It answers all other requests, and counts those
// that it runs.
func startLateCopyServer(t *testing.T, rejection string) (addr string, runs func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	rejected, ran := false, 0
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		late := ""
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := req.Header.Get(testHeaders.AttemptID)
			mu.Lock()
			reject := !rejected
			rejected = true
			if !reject {
				ran++
			}
			mu.Unlock()
			answer := late + fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok", id)
			if reject {
				late = fmt.Sprintf(rejection, id)
				answer = late
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return ran
	}
}

const (
	rejectionWithID    = "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	rejectionWithoutID = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: %.0s1\r\nContent-Length: 0\r\n\r\n"
)

// TestLateCopyOfRejectionIsNoAnswer guards against a second copy of a rejection that
// arrives after the request was sent to the same server again: the request ran, and its
// client was told that it did not.
func TestLateCopyOfRejectionIsNoAnswer(t *testing.T) {
	for name, c := range map[string]struct{ rejection, secondID string }{
		"the same request again":                       {rejectionWithID, "a"},
		"the same request again, rejection without ID": {rejectionWithoutID, "a"},
		"another request, rejection without ID":        {rejectionWithoutID, "b"},
		"another request":                              {rejectionWithID, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, runs := startLateCopyServer(t, c.rejection)
			client := New(testHeaders)
			if x := client.Run(context.Background(), addr, newRequest("a")); x.Answer == nil || !x.Answer.NotRun {
				t.Fatalf("first send: got %+v, want an answer that says not run", x)
			}
			x := client.Run(context.Background(), addr, newRequest(c.secondID))
			if x.Answer == nil || x.Answer.NotRun || x.Answer.Status != http.StatusOK {
				t.Errorf("second send: got answer %+v and error %v after %d runs, want status 200", x.Answer, x.Err, runs())
			}
		})
	}
}

// TestRejectionKeepsConnectionForOtherRequests guards against a new connection for
// each rejection with an ID: a server that rejects is short of connections too.
func TestRejectionKeepsConnectionForOtherRequests(t *testing.T) {
	rejection := fmt.Sprintf(rejectionWithID, "{id}")
	addr := startScriptedServer(t, []string{rejection, rejection, successAnswer("one"), successAnswer("two")}, []string{successAnswer("again"), successAnswer("more")})
	client := New(testHeaders)
	for _, id := range []string{"a", "b", "c"} {
		if x := client.Run(context.Background(), addr, newRequest(id)); x.Err != nil {
			t.Fatalf("request %s: %v", id, x.Err)
		}
	}
	if n := client.Dials.Load(); n != 1 {
		t.Errorf("got %d connections for different requests, want 1", n)
	}
	if x := client.Run(context.Background(), addr, newRequest("a")); x.Err != nil || string(x.Answer.Body) != "again" {
		t.Errorf("request a again: got %+v and error %v, want an answer on a new connection", x.Answer, x.Err)
	}
	if x := client.Run(context.Background(), addr, newRequest("d")); x.Err != nil || client.Dials.Load() != 2 {
		t.Errorf("request d: got error %v after %d connections, want an answer on one of the 2", x.Err, client.Dials.Load())
	}
}

// TestConnectionEndsAfterManyRejections checks the bound of the IDs that a connection
// remembers.
func TestConnectionEndsAfterManyRejections(t *testing.T) {
	script := make([]string, maxRejectedIDs)
	for i := range script {
		script[i] = fmt.Sprintf(rejectionWithID, "{id}")
	}
	addr := startScriptedServer(t, script, []string{successAnswer("new")})
	client := New(testHeaders)
	for i := range script {
		if x := client.Run(context.Background(), addr, newRequest(fmt.Sprint(i))); x.Err != nil {
			t.Fatalf("request %d: %v", i, x.Err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if x := client.Run(ctx, addr, newRequest("next")); x.Err != nil || client.Dials.Load() != 2 {
		t.Errorf("got error %v after %d connections, want an answer on the second", x.Err, client.Dials.Load())
	}
}

// TestRejectionWithoutIDCountsOnlyOnNewConnection guards against an earlier rejection that a
// server writes once more on a connection in use: the request ran, and its client was told
// that it did not.
func TestRejectionWithoutIDCountsOnlyOnNewConnection(t *testing.T) {
	rejection := fmt.Sprintf(rejectionWithoutID, "")
	for name, c := range map[string]struct {
		script  []string
		outcome upstream.Outcome
	}{
		"on a new connection":  {[]string{rejection}, upstream.Shed},
		"after another answer": {[]string{successAnswer("one"), rejection + successAnswer("two")}, upstream.Lost},
		"in place of answer":   {[]string{successAnswer("one"), rejection}, upstream.Lost},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startScriptedServer(t, c.script)
			client := New(testHeaders)
			var last Exchange
			for i := range c.script {
				last = client.Run(context.Background(), addr, newRequest(fmt.Sprint("r", i)))
			}
			if last.Result.Outcome != c.outcome || !last.Sent || client.Dials.Load() != 1 {
				t.Errorf("got %+v, %v on %d connections, want outcome %v on one", last.Answer, last.Err, client.Dials.Load(), c.outcome)
			}
		})
	}
}
