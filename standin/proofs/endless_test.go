package proofs

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/platform"
	"bilberrytiller.example/tiller/protocol/backendapi"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/backendhttp"
	"bilberrytiller.example/tiller/transport/operatorhttp"
	"bilberrytiller.example/tiller/transport/peer"
	"bilberrytiller.example/tiller/transport/platformhttp"
)

const (
	// maxEndlessHeadMemory is what a client may allocate for a call whose answer has an
	// endless head. Reading a head takes a few times its size.
	maxEndlessHeadMemory = 4 << 20
	// maxEndlessBodyMemory is the same for a body. The largest limit is 64 MiB, and a
	// buffer that grows takes a few times its size altogether.
	maxEndlessBodyMemory = 400 << 20
)

// TestEndlessAnswersAreCutOffByEveryClient guards against a peer whose answer does not end:
// each client kept up to 10 MB of a head for each call.
func TestEndlessAnswersAreCutOffByEveryClient(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + backendapi.HeaderRequestID + ": a\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]struct {
		start, part string
		memory      uint64
		// complete is set if a complete answer precedes the endless bytes.
		complete bool
	}{
		"status line":          {"HTTP/1.1 200 ", "O", maxEndlessHeadMemory, false},
		"header field":         {head + "X-Field: ", "x", maxEndlessHeadMemory, false},
		"header fields":        {head, "X-Field: value\r\n", maxEndlessHeadMemory, false},
		"interim answers":      {"", "HTTP/1.1 102 Processing\r\n\r\n", maxEndlessHeadMemory, false},
		"size of a chunk":      {chunked, "0", maxEndlessHeadMemory, false},
		"extension of a chunk": {chunked + "1;", "x", maxEndlessHeadMemory, false},
		"trailer":              {chunked + "0\r\n", "X-Field: value\r\n", maxEndlessHeadMemory, false},
		"chunks":               {chunked, "2\r\n  \r\n", maxEndlessBodyMemory, false},
		"body":                 {head + "Content-Length: 99999999999\r\n\r\n", " ", maxEndlessBodyMemory, false},
		"body without length":  {head + "\r\n", " ", maxEndlessBodyMemory, false},
		"past the length":      {head + "Content-Length: 2\r\n\r\n{}", "x", maxEndlessHeadMemory, true},
	} {
		for client := range endlessCalls(netip.AddrPort{}) {
			t.Run(client+"/"+name, func(t *testing.T) {
				addr, open := startEndlessPeer(t, answer.start, answer.part)
				call := endlessCalls(addr)[client]
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err := call(ctx)
				runtime.ReadMemStats(&after)
				if err == nil && !answer.complete || ctx.Err() != nil {
					t.Errorf("got error %v, want one before the time of the call is over", err)
				}
				if used := after.TotalAlloc - before.TotalAlloc; used > answer.memory {
					t.Errorf("the call took %d bytes of memory, want at most %d", used, answer.memory)
				}
				for end := time.Now().Add(10 * time.Second); open.Load() > 0; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("%d connections are open after the call", open.Load())
					}
				}
			})
		}
	}
}

// endlessCalls returns a call of each client to addr.
func endlessCalls(addr netip.AddrPort) map[string]func(ctx context.Context) error {
	backend := backendhttp.New(addr, 8)
	return map[string]func(ctx context.Context) error{
		"platform": func(ctx context.Context) error {
			_, err := platformhttp.New("http://"+addr.String()).List(ctx, "catalogue")
			return err
		},
		"operator": func(ctx context.Context) error {
			_, err := operatorhttp.New(addr.String(), "secret").Status(ctx)
			return err
		},
		"peer": func(ctx context.Context) error {
			peers := peer.NewClient(peer.NewAuth("a", nil), netip.IPv4Unspecified())
			_, err := peer.Call[wire.RunReply](ctx, peers, addr, wire.TypeRun, &wire.Run{})
			return err
		},
		"backend load": func(ctx context.Context) error {
			_, err := backend.Load(ctx)
			return err
		},
		"backend run": func(ctx context.Context) error {
			return answerError(backend.Run(ctx, &request.Request{ID: "a", Service: "s", Deadline: time.Now().Add(5 * time.Second)}))
		},
		"store": func(ctx context.Context) error {
			_, _, err := platform.NewStore(addr.String(), zerolog.Nop()).List(ctx, "servers")
			return err
		},
	}
}

// startEndlessPeer starts a server that reads the head of a request, answers with start
// and then repeats part until the connection is closed. open counts its connections.
func startEndlessPeer(t *testing.T, start, part string) (addr netip.AddrPort, open *atomic.Int64) {
	t.Helper()
	open = &atomic.Int64{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	chunk := bytes.Repeat([]byte(part), 4096)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Add(-1)
				defer c.Close()
				// A client that finds an answer before it has written its request
				// has not sent that.
				_, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = c.Write([]byte(start))
				}
				for err == nil {
					_, err = c.Write(chunk)
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), open
}

// answerError returns the detail of an answer as an error, unless a request is done. An
// outcome other than unknown would be false: the server may have run the request.
func answerError(a request.Answer) error {
	switch a.Outcome {
	case request.OutcomeDone:
		return nil
	case request.OutcomeUnknown:
		return errors.New(a.Detail)
	}
	panic("request that may have run has outcome " + a.Outcome)
}
