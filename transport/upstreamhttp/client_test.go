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

var testHeaders = HeaderNames{
	AttemptID: "X-Id", DeadlineMs: "X-Left", AffinityKey: "X-Key", ExpectedServerID: "X-Expect", Signature: "X-Signed",
	NotExecuted: "X-Not-Run", Load: "X-Load", ColdMs: "X-Cold", RateLimit: "X-Limit",
	Leaving: "X-Leaving", Pause: "X-Pause",
}

// startScriptedServer starts a server and returns its address. Its n-th
// connection follows the n-th script: it sends one raw answer per request and
// closes the connection at an empty one. "{id}" stands for the ID of the request.
func startScriptedServer(t *testing.T, scripts ...[]string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() { l.Close(); close(ended) })
	go func() {
		for _, script := range scripts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveScript(c, script, ended)
		}
	}()
	return l.Addr().String()
}

func serveScript(c net.Conn, script []string, ended <-chan struct{}) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, text := range script {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// An early answer is sent before the body has been read.
		if !strings.Contains(text, "early") {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if text == "" {
			return
		}
		text = strings.ReplaceAll(text, "{id}", req.Header.Get(testHeaders.AttemptID))
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		// The rest of the body stays unread, or the request could be complete before
		// the client has read the answer.
		if strings.Contains(text, "early") {
			<-ended
			return
		}
	}
	_, _ = io.Copy(io.Discard, reader)
}

// successAnswer returns a complete, signed answer. Each of headers ends with CRLF.
func successAnswer(body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signed: s\r\n%sContent-Length: %d\r\n\r\n%s", strings.Join(headers, ""), len(body), body)
}

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/x", Host: "h.example", ID: id, ServerID: "i-1",
		Header: http.Header{"X-Id": {id}}, Deadline: time.Now().Add(5 * time.Second), MaxIdleConns: 4,
	}
}

func TestAnswerToEarlierRequestIsDiscarded(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nX-Signed: s\r\nContent-Length: 5\r\n\r\nwrong"
	addr := startScriptedServer(t, []string{late + successAnswer("mine")})
	x := New(testHeaders).Run(context.Background(), addr, newRequest("a"))
	if x.Err != nil || string(x.Answer.Body) != "mine" {
		t.Fatalf("got answer %+v and error %v, want body \"mine\"", x.Answer, x.Err)
	}
}

// TestInterimAnswersPrecedeAnswer guards against an answer that is lost, although its request
// has run, as its server announces its progress before it.
func TestInterimAnswersPrecedeAnswer(t *testing.T) {
	interim := strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)
	addr := startScriptedServer(t, []string{interim + successAnswer("mine")})
	x := New(testHeaders).Run(context.Background(), addr, newRequest("a"))
	if x.Err != nil || string(x.Answer.Body) != "mine" {
		t.Fatalf("got answer %+v and error %v, want body \"mine\"", x.Answer, x.Err)
	}
}

func TestExtraBytesCloseConnection(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signed: s\r\nContent-Length: 5\r\n\r\nagain"
	addr := startScriptedServer(t, []string{successAnswer("one") + extra}, []string{successAnswer("two")})
	c := New(testHeaders)
	if x := c.Run(context.Background(), addr, newRequest("a")); x.Err != nil {
		t.Fatal(x.Err)
	}
	x := c.Run(context.Background(), addr, newRequest("b"))
	if x.Err != nil || string(x.Answer.Body) != "two" || c.Dials.Load() != 2 {
		t.Fatalf("got answer %+v and error %v after %d dials, want body \"two\" after 2 dials", x.Answer, x.Err, c.Dials.Load())
	}
}

// TestInvalidAnswersAreRejected checks answers that must not reach the client and
// leave open whether the request ran.
func TestInvalidAnswersAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":             "",
		"short body":            "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signed: s\r\nContent-Length: 50\r\n\r\nshort",
		"missing last chunk":    "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"unsigned 2xx":          "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 2\r\n\r\nok",
		"no ID":                 "HTTP/1.1 200 OK\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok",
		"ID of another request": "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok",
		"content encoding":      "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signed: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"not HTTP":              "SSH-2.0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := startScriptedServer(t, []string{text, ""})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			done := make(chan Exchange, 1)
			go func() { done <- New(testHeaders).Run(ctx, addr, newRequest("a")) }()
			if text != "" {
				// Ends the wait for servers that keep the connection open.
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			x := <-done
			if x.Answer != nil || !x.Sent || x.Err == nil {
				t.Fatalf("got %+v, want an error and no answer after a sent request", x)
			}
		})
	}
}

// startSingleAnswerServer starts a server that answers one request with text and
// then closes the connection, with a TCP reset if reset is set. It returns the
// address of the server.
func startSingleAnswerServer(t *testing.T, text string, reset bool) string {
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

// TestAnswerWithoutLengthIsLost guards against a part of an answer that is passed on as all
// of it, since its end is that of the connection: a server that ends closes it too. What the
// head says, such as that the request was not run, is complete.
func TestAnswerWithoutLengthIsLost(t *testing.T) {
	for name, c := range map[string]struct {
		method, text string
		outcome      upstream.Outcome
	}{
		"success":             {http.MethodGet, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: s\r\n\r\nall of it", upstream.Lost},
		"HTTP/1.0":            {http.MethodGet, "HTTP/1.0 200 OK\r\nX-Id: a\r\nX-Signed: s\r\n\r\nall of it", upstream.Lost},
		"failure":             {http.MethodGet, "HTTP/1.1 500 No\r\nX-Id: a\r\n\r\n", upstream.Lost},
		"not run":             {http.MethodGet, "HTTP/1.1 503 No\r\nX-Id: a\r\nX-Not-Run: 1\r\n\r\nbusy", upstream.Shed},
		"status without body": {http.MethodGet, "HTTP/1.1 204 No\r\nX-Id: a\r\nX-Signed: s\r\n\r\n", upstream.Answered},
		"answer to HEAD":      {http.MethodHead, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: s\r\n\r\n", upstream.Answered},
	} {
		r := newRequest("a")
		r.Method = c.method
		x := New(testHeaders).Run(context.Background(), startSingleAnswerServer(t, c.text, false), r)
		if x.Result.Outcome != c.outcome || (x.Answer == nil) != (c.outcome == upstream.Lost) {
			t.Errorf("%s: got %+v, want outcome %s", name, x, c.outcome)
		}
	}
}

func TestResetDuringAnswerIsLost(t *testing.T) {
	addr := startSingleAnswerServer(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: s\r\n\r\npart", true)
	if x := New(testHeaders).Run(context.Background(), addr, newRequest("a")); x.Answer != nil || x.Result.Outcome != upstream.Lost {
		t.Fatalf("got %+v, want outcome lost and no answer", x)
	}
}

func TestErrorAnswersReportWhetherRequestRan(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		outcome upstream.Outcome
		notRun  bool
	}{
		"503 with not-executed header":    {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", upstream.Shed, true},
		"421":                             {"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", upstream.Misdirected, true},
		"500":                             {"HTTP/1.1 500 No\r\nX-Id: {id}\r\nX-Signed: s\r\nContent-Length: 0\r\n\r\n", upstream.Failed, false},
		"503 without not-executed header": {"HTTP/1.1 503 No\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n", upstream.Failed, false},
	} {
		t.Run(name, func(t *testing.T) {
			x := New(testHeaders).Run(context.Background(), startScriptedServer(t, []string{c.text}), newRequest("a"))
			if x.Err != nil || x.Result.Outcome != c.outcome || x.Answer.NotRun != c.notRun {
				t.Fatalf("got %+v, want outcome %s and NotRun %t", x, c.outcome, c.notRun)
			}
		})
	}
}

func TestEarlyAnswerToLongBodyClosesConnection(t *testing.T) {
	early := strings.Replace(successAnswer("no thanks", "X-Note: early\r\n"), "200 OK", "400 No", 1)
	addr := startScriptedServer(t, []string{early}, []string{successAnswer("two")})
	c := New(testHeaders)
	long := newRequest("a")
	long.Method, long.Body = http.MethodPost, [][]byte{make([]byte, 24<<20)}
	x := c.Run(context.Background(), addr, long)
	if x.Err != nil || x.Answer.Status != 400 {
		t.Fatalf("got answer %+v and error %v, want status 400", x.Answer, x.Err)
	}
	if x := c.Run(context.Background(), addr, newRequest("b")); x.Err != nil || c.Dials.Load() != 2 {
		t.Fatalf("got error %v after %d dials, want none after 2 dials", x.Err, c.Dials.Load())
	}
}

func TestRequestCarriesServerIDAndRemainingTime(t *testing.T) {
	r := newRequest("a")
	r.Header.Set(testHeaders.DeadlineMs, "99999")
	text := string(testHeaders.appendHead(nil, r, r.Deadline.Add(-500*time.Millisecond)))
	if !strings.Contains(text, "X-Left: 500\r\n") || strings.Contains(text, "99999") || !strings.Contains(text, "X-Expect: i-1\r\n") {
		t.Errorf("got request:\n%s\nwant \"X-Left: 500\", \"X-Expect: i-1\" and no X-Left of the client", text)
	}
}

func TestCancelledRequestClosesConnection(t *testing.T) {
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
	x := New(testHeaders).Run(ctx, l.Addr().String(), newRequest("a"))
	if x.Result.Outcome != upstream.Abandoned {
		t.Errorf("got outcome %s, want abandoned", x.Result.Outcome)
	}
	if err := <-closed; err == nil {
		t.Error("connection is still open after the request was cancelled")
	}
}

func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan struct{})
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
			_, _ = io.WriteString(c, strings.ReplaceAll(successAnswer(fmt.Sprint(i)), "{id}", req.Header.Get("X-Id")))
			c.Close()
			if i == 0 {
				close(closed)
			}
		}
	}()
	c := New(testHeaders)
	if x := c.Run(context.Background(), l.Addr().String(), newRequest("a")); x.Err != nil {
		t.Fatal(x.Err)
	}
	<-closed
	var x Exchange
	for range 100 {
		// Waits until the server's FIN has arrived.
		if idle := c.popIdle(l.Addr().String(), newRequest("b")); idle != nil && idle.alive() {
			c.putIdle(l.Addr().String(), idle, 4)
			time.Sleep(time.Millisecond)
			continue
		}
		break
	}
	if x = c.Run(context.Background(), l.Addr().String(), newRequest("b")); x.Err != nil {
		t.Fatal(x.Err)
	}
}

func TestKeepAliveHeaderSetsIdleTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                  defaultIdleTimeout,
		"timeout=10":        10*time.Second - idleTimeoutMargin,
		"timeout=1, max=50": 500 * time.Millisecond,
		"timeout=x":         defaultIdleTimeout,
	} {
		if got := parseIdleTimeout(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("Keep-Alive %q: got idle timeout %s, want %s", value, got, want)
		}
	}
}

func TestUnreachableServerReportsNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	x := New(testHeaders).Run(context.Background(), addr, newRequest("a"))
	var opErr *net.OpError
	if x.Sent || x.Result.Outcome != upstream.Unreachable || !errors.As(x.Err, &opErr) {
		t.Errorf("got %+v, want outcome unreachable with nothing sent and a *net.OpError", x)
	}
}

func TestUnreadableLoadHeaderIsReported(t *testing.T) {
	for value, readable := range map[string]bool{
		"3,0,8": true, "3, 0, 8": true, "3,0,8,250": true, "3,0,8,100,7": true, "3,0,8,100,x": true,
		"3": false, "3,0": false, "3,x,8": false, "-1,0,8": false, "+1,0,8": false, "3,,8": false, ",,": false,
		"3,0,8,": false, "3,0,8,0": false, "3,0,8,-100": false, "3,0,1" + strings.Repeat("0", 30): false, "3,0,8,1" + strings.Repeat("0", 30): false,
	} {
		a := &Answer{Header: http.Header{"X-Load": {value}, "X-Cold": {"soon"}}}
		a.parseLoad(testHeaders)
		a.parseColdLeft(testHeaders)
		if (a.Load != nil) != readable || (len(a.UnreadableHeaders) == 1) != readable {
			t.Errorf("X-Load %q: got load %v and unreadable headers %v", value, a.Load, a.UnreadableHeaders)
		}
	}
}

func TestLoadHeaderStatesWorkFactor(t *testing.T) {
	for value, want := range map[string]upstream.Load{
		"3,1,8":     {Running: 3, Waiting: 1, Slots: 8},
		"3,1,8,250": {Running: 3, Waiting: 1, Slots: 8, WorkFactor: 2.5},
	} {
		if got, ok := readLoad(value); !ok || got != want {
			t.Errorf("X-Load %q: got %+v, want %+v", value, got, want)
		}
	}
}

func TestIdleConnectionsAreLimited(t *testing.T) {
	c := New(testHeaders)
	for range 3 {
		clientEnd, serverEnd := net.Pipe()
		defer serverEnd.Close()
		c.putIdle("10.0.0.1:1", c.newConn(clientEnd), 2)
	}
	if n := len(c.idle["10.0.0.1:1"]); n != 2 {
		t.Errorf("got %d idle connections, want 2", n)
	}
}

// TestRateLimitHeader checks decimal limits and values that are none.
func TestRateLimitHeader(t *testing.T) {
	for value, want := range map[string]float64{"17.8": 17.8, "0": 0, "1e3": 1000, "-1": -1, "NaN": -1, "Inf": -1, "1,2": -1, "some": -1} {
		a := &Answer{Header: http.Header{"X-Limit": {value}}}
		a.parseRateLimit(testHeaders)
		got := -1.0
		if a.RateLimit != nil {
			got = float64(*a.RateLimit)
		}
		if got != want || (len(a.UnreadableHeaders) == 0) != (want >= 0) {
			t.Errorf("X-Limit %q: got limit %v and unreadable headers %v, want limit %v", value, got, a.UnreadableHeaders, want)
		}
	}
}

// TestAnswerWithoutItsEndIsLost guards against an answer that stops anywhere in its head or
// body and is passed on as complete, or as a rejection that promises more than arrived.
func TestAnswerWithoutItsEndIsLost(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n"
	rejection := "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	interim := "HTTP/1.1 102 Processing\r\n\r\n"
	for name, whole := range map[string]string{
		"length": strings.ReplaceAll(successAnswer("mine"), "{id}", "a"), "empty": strings.ReplaceAll(successAnswer(""), "{id}", "a"),
		"chunks": chunked, "rejection": rejection, "after an interim answer": interim + strings.ReplaceAll(successAnswer("mine"), "{id}", "a"),
	} {
		t.Run(name, func(t *testing.T) {
			for end := 1; end < len(whole); end++ {
				x := New(testHeaders).Run(context.Background(), startEndingServer(t, whole[:end]), newRequest("a"))
				if x.Answer != nil || !x.Sent || x.Result.Outcome != upstream.Lost {
					t.Errorf("answer ends with %q: got %+v, %v, want it lost", whole[max(0, end-12):end], x.Answer, x.Result.Outcome)
				}
			}
		})
	}
}

// startEndingServer starts a server that sends some bytes as the answer to a request and
// closes the connection.
func startEndingServer(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
		}
	}()
	return l.Addr().String()
}
