package upstreamhttp

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"testing"
)

// scripted is a connection on which given bytes come, whatever is sent.
type scripted struct {
	net.Conn
	in *bytes.Reader
}

func (s scripted) Read(p []byte) (int, error)  { return s.in.Read(p) }
func (s scripted) Write(p []byte) (int, error) { return len(p), nil }
func (s scripted) Close() error                { return nil }

// FuzzAnswer looks for bytes of a server that pass for an answer although they
// are not the whole, signed answer to the request.
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
		c := newConn(scripted{in: bytes.NewReader(text)})
		a, keep, err := c.exchange(context.Background(), names, request("a"))
		if err != nil {
			if a != nil || keep {
				t.Errorf("answer %v, keep %t beside the error %v", a, keep, err)
			}
			return
		}
		checkAnswer(t, a)
		if keep && c.reader.Buffered() > 0 {
			t.Error("a connection with bytes that belong to no request is kept")
		}
	})
}

func checkAnswer(t *testing.T, a *Answer) {
	t.Helper()
	id := a.Header.Get(names.AttemptID)
	if id != "a" && (id != "" || !a.NotRun) {
		t.Errorf("answer with the id %q was taken", id)
	}
	if a.Status/100 == 2 && (!a.Signed || a.Header.Get("Content-Encoding") != "") {
		t.Errorf("success without a signature or with an encoding: %v", a.Header)
	}
	if text := a.Header.Get("Content-Length"); text != "" {
		if n, err := strconv.Atoi(text); err != nil || n != len(a.Body) {
			t.Errorf("%d bytes of %q", len(a.Body), text)
		}
	}
	if a.Load != nil && (a.Load.Running < 0 || a.Load.Waiting < 0 || a.Load.Slots < 0) || a.ColdLeft < 0 {
		t.Errorf("load %+v, cold %s", a.Load, a.ColdLeft)
	}
}
