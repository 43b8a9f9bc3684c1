package upstreamhttp

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"testing"
)

// fixedInputConn is a connection that reads from a fixed input and discards
// writes.
type fixedInputConn struct {
	net.Conn
	in *bytes.Reader
}

func (c fixedInputConn) Read(p []byte) (int, error)  { return c.in.Read(p) }
func (c fixedInputConn) Write(p []byte) (int, error) { return len(p), nil }
func (c fixedInputConn) Close() error                { return nil }

// FuzzAnswer looks for server output that is accepted although it is not a
// complete, signed answer to the request.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 503 No\r\nX-Not-Run: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nshort",
		"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\nmore",
		"HTTP/1.1 500 Failed\r\nX-Id: a\r\nX-Signed: s\r\nX-Load: 1,2\r\nX-Cold: -1\r\nContent-Encoding: gzip\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 204 None\r\nX-Id: a\r\nX-Signed: s\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c := New(testHeaders).newConn(fixedInputConn{in: bytes.NewReader(text)})
		a, keep, err := c.exchange(context.Background(), testHeaders, newRequest("a"))
		if err != nil {
			if a != nil || keep {
				t.Errorf("got answer %v and keep %t together with error %v", a, keep, err)
			}
			return
		}
		checkAnswer(t, a)
		if keep && c.reader.Buffered() > 0 {
			t.Error("a connection with unread bytes is kept for reuse")
		}
	})
}

func checkAnswer(t *testing.T, a *Answer) {
	t.Helper()
	id := a.Header.Get(testHeaders.AttemptID)
	if id != "a" && (id != "" || !a.NotRun) {
		t.Errorf("answer with ID %q was accepted, want ID \"a\"", id)
	}
	if a.Status/100 == 2 && (!a.Signed || a.Header.Get("Content-Encoding") != "") {
		t.Errorf("accepted a 2xx answer that is unsigned or encoded: %v", a.Header)
	}
	if text := a.Header.Get("Content-Length"); text != "" {
		if n, err := strconv.Atoi(text); err != nil || n != len(a.Body) {
			t.Errorf("got %d body bytes with Content-Length %q", len(a.Body), text)
		}
	}
	if a.Load != nil && (a.Load.Running < 0 || a.Load.Waiting < 0 || a.Load.Slots < 0) || a.ColdLeft < 0 {
		t.Errorf("got negative values: load %+v, cold left %s", a.Load, a.ColdLeft)
	}
}
