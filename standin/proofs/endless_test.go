package proofs

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/platform"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/backendhttp"
	"bilberrytiller.example/tiller/transport/operatorhttp"
	"bilberrytiller.example/tiller/transport/peer"
	"bilberrytiller.example/tiller/transport/platformhttp"
)

// maxEndlessHeadMemory is what a client may allocate for a call whose answer has an
// endless head. Reading a head takes a few times its size.
const maxEndlessHeadMemory = 4 << 20

// TestEndlessHeadsAreCutOffByEveryClient guards against a peer that answers with a
// head that does not end: each client kept up to 10 MB of it for each call.
func TestEndlessHeadsAreCutOffByEveryClient(t *testing.T) {
	addr := startEndlessPeer(t, "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n")
	backend := backendhttp.New(addr, 8)
	peers := peer.NewClient(peer.NewAuth("a", nil), netip.IPv4Unspecified())
	store := platform.NewStore(addr.String(), zerolog.Nop())
	for name, call := range map[string]func(ctx context.Context) error{
		"platform": func(ctx context.Context) error {
			_, err := platformhttp.New("http://"+addr.String()).List(ctx, "catalogue")
			return err
		},
		"operator": func(ctx context.Context) error {
			_, err := operatorhttp.New(addr.String(), "secret").Status(ctx)
			return err
		},
		"peer": func(ctx context.Context) error {
			_, err := peer.Call[wire.RunReply](ctx, peers, addr, wire.TypeRun, &wire.Run{})
			return err
		},
		"backend load": func(ctx context.Context) error {
			_, err := backend.Load(ctx)
			return err
		},
		"backend run": func(ctx context.Context) error {
			answer := backend.Run(ctx, &request.Request{ID: "a", Service: "s", Deadline: time.Now().Add(5 * time.Second)})
			if answer.Outcome != request.OutcomeUnknown {
				t.Errorf("got outcome %s, want unknown", answer.Outcome)
			}
			return answerError(answer)
		},
		"store": func(ctx context.Context) error {
			_, _, err := store.List(ctx, "servers")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := call(ctx)
			runtime.ReadMemStats(&after)
			if err == nil || ctx.Err() != nil {
				t.Errorf("got error %v, want one before the time of the call is over", err)
			}
			if used := after.TotalAlloc - before.TotalAlloc; used > maxEndlessHeadMemory {
				t.Errorf("the call took %d bytes of memory, want at most %d", used, maxEndlessHeadMemory)
			}
		})
	}
}

// startEndlessPeer starts a server that answers with start and then repeats part
// until the connection is closed.
func startEndlessPeer(t *testing.T, start, part string) netip.AddrPort {
	t.Helper()
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
			go func() {
				defer c.Close()
				_, err := c.Write([]byte(start))
				for err == nil {
					_, err = c.Write(chunk)
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// answerError returns the detail of an answer as an error, unless a request is done.
func answerError(a request.Answer) error {
	if a.Outcome == request.OutcomeDone {
		return nil
	}
	return errors.New(a.Detail)
}
