package upstreamhttp

import (
	"context"
	"errors"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/internal/httpstatus"
)

// TestStatusOutsideProtocolIsNoAnswer guards against a client that gets bytes which are
// no answer in the protocol, such as the status 000 of a server in trouble.
func TestStatusOutsideProtocolIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Early", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Late", "HTTP/1.1 999 Late",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 200OK", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			addr := startSingleAnswerServer(t, line+"\r\nX-Id: a\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok", false)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			c := New(testHeaders)
			x := c.Run(ctx, addr, newRequest("a"))
			if x.Answer != nil || !x.Sent || x.Result.Outcome != upstream.Lost {
				t.Fatalf("got %+v, want a lost answer to a sent request", x)
			}
			if len(c.idle[addr]) != 0 {
				t.Error("the connection was kept")
			}
		})
	}
}

// TestUnusualStatusIsAnAnswer guards the statuses of the protocol against the check, and
// an answer without a reason phrase or of a later minor version.
func TestUnusualStatusIsAnAnswer(t *testing.T) {
	for line, status := range map[string]int{
		"HTTP/1.1 299 Other": 299, "HTTP/1.1 599 Other": 599, "HTTP/1.1 200 ": 200, "HTTP/1.1 200": 200, "HTTP/1.1  200 OK": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.7 200 OK": 200,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK": 200,
	} {
		t.Run(line, func(t *testing.T) {
			addr := startSingleAnswerServer(t, line+"\r\nX-Id: a\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok", false)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			x := New(testHeaders).Run(ctx, addr, newRequest("a"))
			if x.Answer == nil || x.Answer.Status != status || errors.Is(x.Err, httpstatus.ErrInvalid) {
				t.Fatalf("got %+v and error %v, want status %d", x.Answer, x.Err, status)
			}
		})
	}
}
