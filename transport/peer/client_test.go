package peer

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/protocol/wire"
)

// TestCloseEndsDial guards against a stop that waits for a connection attempt to a peer
// that does not answer, and outlasts the time that it has.
func TestCloseEndsDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client := NewClient(NewAuth("a", nil), netip.IPv4Unspecified())
	called := make(chan error, 1)
	go func() {
		_, err := Call[wire.RunReply](context.Background(), client, l.Addr().(*net.TCPAddr).AddrPort(), wire.TypeRun, &wire.Run{})
		called <- err
	}()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	began := time.Now()
	client.Close()
	if took := time.Since(began); took > dialTimeout/4 {
		t.Errorf("Close took %s, want less than %s", took, dialTimeout/4)
	}
	if err := <-called; !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
}

// TestFullPeerAnswersPings guards against a peer that counts as silent, and a cancellation
// that does not arrive, because as many calls run as may.
func TestFullPeerAnswersPings(t *testing.T) {
	auth := NewAuth("a", nil)
	server := NewServer(auth, zerolog.Nop())
	var running atomic.Int64
	Handle(server, wire.TypeRun, func(ctx context.Context, _ string, _ *wire.Run) (*wire.RunReply, error) {
		running.Add(1)
		<-ctx.Done()
		return nil, context.Cause(ctx)
	})
	s := httptest.NewServer(server)
	defer s.Close()
	client := NewClient(auth, netip.IPv4Unspecified())
	defer client.Close()
	addr := s.Listener.Addr().(*net.TCPAddr).AddrPort()
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range maxConcurrentCalls {
		calls.Go(func() { _, _ = CallWithGrace[wire.RunReply](ctx, client, addr, wire.TypeRun, &wire.Run{}, time.Second) })
	}
	for end := time.Now().Add(20 * time.Second); running.Load() < maxConcurrentCalls; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d calls run, want %d", running.Load(), maxConcurrentCalls)
		}
	}
	_, err := Call[wire.RunReply](context.Background(), client, addr, wire.TypeRun, &wire.Run{})
	var refused *RemoteError
	if !errors.As(err, &refused) || !errors.Is(err, ErrNotSent) || running.Load() != maxConcurrentCalls {
		t.Errorf("one more call: got %v, want a refusal by the peer that did not run it", err)
	}
	conn, err := client.connect(context.Background(), addr)
	if err != nil || !conn.ping() {
		t.Errorf("got %v and no answer to a ping", err)
	}
}
