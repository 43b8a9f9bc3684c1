package upstreamhttp

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/coordination/upstream"
)

// TestSignalHeaders covers signals and values that are none, which must neither be
// believed nor lose the answer.
func TestSignalHeaders(t *testing.T) {
	const rejection = "HTTP/1.1 503 Busy\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	const failure = "HTTP/1.1 503 Busy\r\nX-Id: {id}\r\nContent-Length: 0\r\n"
	const misdirected = "HTTP/1.1 421 Other\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	for name, c := range map[string]struct {
		answer, headers string
		want            availability.Signal
	}{
		"none":                     {rejection, "", availability.Signal{}},
		"leaving":                  {failure, "X-Leaving: 1\r\n", availability.Signal{Leaving: true}},
		"leaving twice":            {rejection, "X-Leaving: 1\r\nX-Leaving: 1\r\n", availability.Signal{Leaving: true}},
		"contradictory leaving":    {rejection, "X-Leaving: 1\r\nX-Leaving: 0\r\n", availability.Signal{Unreadable: true}},
		"other leaving":            {rejection, "X-Leaving: true\r\n", availability.Signal{Unreadable: true}},
		"empty leaving":            {rejection, "X-Leaving:\r\n", availability.Signal{Unreadable: true}},
		"another server's leaving": {misdirected, "X-Leaving: 1\r\n", availability.Signal{}},
		"pause":                    {rejection, "X-Pause: 2\r\n", availability.Signal{Pause: 2 * time.Second}},
		"fraction":                 {rejection, "X-Pause: 0.25\r\n", availability.Signal{Pause: 250 * time.Millisecond}},
		"zero":                     {rejection, "X-Pause: 0\r\n", availability.Signal{}},
		"pause in a failure":       {failure, "X-Pause: 2\r\n", availability.Signal{}},
		"another server's pause":   {misdirected, "X-Pause: 2\r\n", availability.Signal{}},
		"huge":                     {rejection, "X-Pause: 1" + strings.Repeat("0", 30) + "\r\n", availability.Signal{Pause: availability.MaxPause}},
		"beyond any float":         {rejection, "X-Pause: 1" + strings.Repeat("0", 400) + "\r\n", availability.Signal{Pause: availability.MaxPause}},
		"exponent":                 {rejection, "X-Pause: 10e30\r\n", availability.Signal{Unreadable: true}},
		"negative":                 {rejection, "X-Pause: -1\r\n", availability.Signal{Unreadable: true}},
		"date":                     {rejection, "X-Pause: Sun, 06 Dec 2026 22:00:00 GMT\r\n", availability.Signal{Unreadable: true}},
		"infinite":                 {rejection, "X-Pause: Inf\r\n", availability.Signal{Unreadable: true}},
		"dots":                     {rejection, "X-Pause: 1.2.3\r\n", availability.Signal{Unreadable: true}},
		"empty":                    {rejection, "X-Pause:\r\n", availability.Signal{Unreadable: true}},
		"twice the same":           {rejection, "X-Pause: 2\r\nX-Pause: 2\r\n", availability.Signal{Pause: 2 * time.Second}},
		"twice":                    {rejection, "X-Pause: 2\r\nX-Pause: 9\r\n", availability.Signal{Unreadable: true}},
		"unreadable and leaving":   {rejection, "X-Pause: soon\r\nX-Leaving: 1\r\n", availability.Signal{Leaving: true, Unreadable: true}},
	} {
		t.Run(name, func(t *testing.T) {
			x := New(testHeaders).Run(context.Background(), startScriptedServer(t, []string{c.answer + c.headers + "\r\n"}), newRequest("a"))
			if x.Err != nil || x.Result.Signal != c.want || x.Answer.Signal.Unreadable != (len(x.Answer.UnreadableSignals) == 1) {
				t.Errorf("got signal %+v, unreadable %v and error %v, want %+v", x.Result.Signal, x.Answer.UnreadableSignals, x.Err, c.want)
			}
		})
	}
}

// TestSignalOfAnotherAnswerIsIgnored guards against a late rejection without an ID, or an
// answer to an earlier request, that empties a server which never asked for it.
func TestSignalOfAnotherAnswerIsIgnored(t *testing.T) {
	anonymous := "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\nX-Pause: 5\r\nContent-Length: 0\r\n\r\n"
	earlier := "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nX-Signed: s\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	addr := startScriptedServer(t, []string{successAnswer("one"), earlier + successAnswer("two"), anonymous}, []string{anonymous})
	c := New(testHeaders)
	for i, want := range []availability.Signal{{}, {}, {}, {Leaving: true, Pause: 5 * time.Second}} {
		x := c.Run(context.Background(), addr, newRequest(string(rune('a'+i))))
		// The third answer may be another request's.
		isLost := errors.Is(x.Err, ErrUnmatchedAnswer)
		if isLost != (i == 2) || !isLost && x.Err != nil || x.Result.Signal != want {
			t.Errorf("request %d: got signal %+v and error %v, want %+v", i, x.Result.Signal, x.Err, want)
		}
	}
}

// TestWithdrawnRequestIsNotSent guards against a send to a server that announced, while
// the request waited for its connection, that it takes none.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	received := make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received <- struct{}{} }))
	defer server.Close()
	r := newRequest("a")
	r.MaySend = func() bool { return false }
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x := New(testHeaders).Run(ctx, server.Listener.Addr().String(), r)
	server.Close()
	if x.Sent || x.Result.Outcome != upstream.Withdrawn || x.Err != ErrWithdrawn || len(received) > 0 {
		t.Errorf("got %+v and %d requests received, want nothing sent", x, len(received))
	}
}
