package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
)

var names = HeaderNames{
	AttemptID: "X-Id", DeadlineMs: "X-Left", AffinityKey: "X-Key", ExpectedServerID: "X-Expect", Signature: "X-Signed",
	NotExecuted: "X-Not-Run", Load: "X-Load", ColdMs: "X-Cold",
}

// answers plays a server whose n-th connection gives the n-th script: one
// raw answer for each request, or a close where the text is empty.
func answers(t *testing.T, scripts ...[]string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for _, script := range scripts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go play(c, script)
		}
	}()
	return l.Addr().String()
}

func play(c net.Conn, script []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, text := range script {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !strings.Contains(text, "early") {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if text == "" {
			return
		}
		text = strings.ReplaceAll(text, "{id}", req.Header.Get(names.AttemptID))
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, reader)
}

// good is a whole answer; more are headers, each with its line end.
func good(body string, more ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signed: s\r\n%sContent-Length: %d\r\n\r\n%s", strings.Join(more, ""), len(body), body)
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/x", Host: "h.example", ID: id, ServerID: "i-1",
		Header: http.Header{"X-Id": {id}}, Deadline: time.Now().Add(5 * time.Second), MaxIdleConns: 4,
	}
}

func TestAnswerOfAnEarlierRequestIsPassedOver(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nX-Signed: s\r\nContent-Length: 5\r\n\r\nwrong"
	addr := answers(t, []string{late + good("mine")})
	x := New(names).Run(context.Background(), addr, request("a"))
	if x.Err != nil || string(x.Answer.Body) != "mine" {
		t.Fatalf("got %+v, %v", x.Answer, x.Err)
	}
}

func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signed: s\r\nContent-Length: 5\r\n\r\nagain"
	addr := answers(t, []string{good("one") + extra}, []string{good("two")})
	c := New(names)
	if x := c.Run(context.Background(), addr, request("a")); x.Err != nil {
		t.Fatal(x.Err)
	}
	x := c.Run(context.Background(), addr, request("b"))
	if x.Err != nil || string(x.Answer.Body) != "two" || c.Dials.Load() != 2 {
		t.Fatalf("got %+v, %v after %d dials", x.Answer, x.Err, c.Dials.Load())
	}
}

// TestDoubtfulAnswersAreLost names each answer that must not reach a client
// and leaves open whether the request ran.
func TestDoubtfulAnswersAreLost(t *testing.T) {
	for name, text := range map[string]string{
		"none":             "",
		"cut short":        "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signed: s\r\nContent-Length: 50\r\n\r\nshort",
		"cut chunk":        "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"unsigned success": "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 2\r\n\r\nok",
		"no identity":      "HTTP/1.1 200 OK\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok",
		"other identity":   "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok",
		"encoded":          "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signed: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"no answer at all": "SSH-2.0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l := answers(t, []string{text, ""})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			done := make(chan Exchange, 1)
			go func() { done <- New(names).Run(ctx, l, request("a")) }()
			if text != "" {
				// A server that keeps the connection open is given up by the caller.
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			x := <-done
			if x.Answer != nil || !x.Sent || x.Err == nil {
				t.Fatalf("got %+v", x)
			}
		})
	}
}

// answerOnce serves one request with text and then ends the connection, by a
// reset if asked for. It returns its address.
func answerOnce(t *testing.T, text string, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, text)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}()
	return l.Addr().String()
}

func TestAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	addr := answerOnce(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: s\r\n\r\nall of it", false)
	x := New(names).Run(ctx, addr, request("a"))
	if x.Err != nil || string(x.Answer.Body) != "all of it" {
		t.Fatalf("got %+v, %v", x.Answer, x.Err)
	}
}

func TestAnswerResetBeforeItsEndIsLost(t *testing.T) {
	addr := answerOnce(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: s\r\n\r\npart", true)
	if x := New(names).Run(context.Background(), addr, request("a")); x.Answer != nil || x.Result.Outcome != upstream.Lost {
		t.Fatalf("got %+v", x)
	}
}

func TestRefusalsOfServersSayWhatRan(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		outcome upstream.Outcome
		notRun  bool
	}{
		"shed":        {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", upstream.Shed, true},
		"misdirected": {"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", upstream.Misdirected, true},
		"own failure": {"HTTP/1.1 500 No\r\nX-Id: {id}\r\nX-Signed: s\r\nContent-Length: 0\r\n\r\n", upstream.Failed, false},
		"own 503":     {"HTTP/1.1 503 No\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n", upstream.Failed, false},
	} {
		t.Run(name, func(t *testing.T) {
			x := New(names).Run(context.Background(), answers(t, []string{c.text}), request("a"))
			if x.Err != nil || x.Result.Outcome != c.outcome || x.Answer.NotRun != c.notRun {
				t.Fatalf("got %+v, %v", x, x.Err)
			}
		})
	}
}

func TestEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	early := strings.Replace(good("no thanks", "X-Note: early\r\n"), "200 OK", "400 No", 1)
	addr := answers(t, []string{early}, []string{good("two")})
	c := New(names)
	long := request("a")
	long.Method, long.Body = http.MethodPost, make([]byte, 24<<20)
	x := c.Run(context.Background(), addr, long)
	if x.Err != nil || x.Answer.Status != 400 {
		t.Fatalf("got %+v, %v", x.Answer, x.Err)
	}
	if x := c.Run(context.Background(), addr, request("b")); x.Err != nil || c.Dials.Load() != 2 {
		t.Fatalf("got %v after %d dials", x.Err, c.Dials.Load())
	}
}

func TestRequestNamesItsServerAndWhatIsLeft(t *testing.T) {
	r := request("a")
	r.Header.Set(names.DeadlineMs, "99999")
	text := string(names.appendRequest(nil, r, r.Deadline.Add(-500*time.Millisecond)))
	if !strings.Contains(text, "X-Left: 500\r\n") || strings.Contains(text, "99999") || !strings.Contains(text, "X-Expect: i-1\r\n") {
		t.Errorf("head:\n%s", text)
	}
}

func TestAbandonedRequestClosesItsConnection(t *testing.T) {
	closed := make(chan error, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		cancel()
		_, err = r.ReadByte()
		closed <- err
	}()
	x := New(names).Run(ctx, l.Addr().String(), request("a"))
	if x.Result.Outcome != upstream.Abandoned {
		t.Errorf("outcome %s", x.Result.Outcome)
	}
	if err := <-closed; err == nil {
		t.Error("the server's connection stays open")
	}
}

func TestConnectionThatClosedWhileIdleIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	gone := make(chan struct{})
	go func() {
		for i := range 2 {
			c, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(good(fmt.Sprint(i)), "{id}", req.Header.Get("X-Id")))
			c.Close()
			if i == 0 {
				close(gone)
			}
		}
	}()
	c := New(names)
	if x := c.Run(context.Background(), l.Addr().String(), request("a")); x.Err != nil {
		t.Fatal(x.Err)
	}
	<-gone
	var x Exchange
	for range 100 {
		// The end of the connection may still be on its way.
		if idle := c.take(l.Addr().String()); idle != nil && idle.alive() {
			c.put(l.Addr().String(), idle, 4)
			time.Sleep(time.Millisecond)
			continue
		}
		break
	}
	if x = c.Run(context.Background(), l.Addr().String(), request("b")); x.Err != nil {
		t.Fatal(x.Err)
	}
}

func TestKeepAliveBoundsIdleConnections(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                  defaultIdle,
		"timeout=10":        10*time.Second - idleMargin,
		"timeout=1, max=50": 500 * time.Millisecond,
		"timeout=x":         defaultIdle,
	} {
		if got := idleLimitOf(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}

func TestUnreachableServerWasSentNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	x := New(names).Run(context.Background(), addr, request("a"))
	var opErr *net.OpError
	if x.Sent || x.Result.Outcome != upstream.Unreachable || !errors.As(x.Err, &opErr) {
		t.Errorf("got %+v", x)
	}
}

func TestLoadIsReadOrNamedAsUnreadable(t *testing.T) {
	for value, readable := range map[string]bool{"3,0,8": true, "3, 0, 8": true, "3,0": false, "3,x,8": false, "-1,0,8": false} {
		a := &Answer{Header: http.Header{"X-Load": {value}, "X-Cold": {"soon"}}}
		a.readLoad(names)
		a.readCold(names)
		if (a.Load != nil) != readable || (len(a.UnreadableHeaders) == 1) != readable {
			t.Errorf("%q: load %v, unreadable %v", value, a.Load, a.UnreadableHeaders)
		}
	}
}

func TestIdleConnectionsAreKeptUpToTheirLimit(t *testing.T) {
	c := New(names)
	for range 3 {
		near, far := net.Pipe()
		defer far.Close()
		c.put("10.0.0.1:1", newConn(near), 2)
	}
	if n := len(c.idle["10.0.0.1:1"]); n != 2 {
		t.Errorf("%d idle connections are kept, want 2", n)
	}
}
