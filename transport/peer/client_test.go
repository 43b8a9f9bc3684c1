package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

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
