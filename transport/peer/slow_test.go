package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/request"
)

// slowAnswerBytes takes 2 s at slowBytesPerSecond.
const (
	slowBytesPerSecond = 512 << 10
	slowAnswerBytes    = 2 * slowBytesPerSecond
)

// startSlowPeer starts a peer with a large answer and returns an address at which it is
// reached over a slow link, which carries nothing after the given number of bytes.
func startSlowPeer(t *testing.T, carried int) netip.AddrPort {
	t.Helper()
	server := NewServer(NewAuth("a", nil), zerolog.Nop())
	Handle(server, wire.TypeRun, func(context.Context, string, *wire.Run) (*wire.RunReply, error) {
		return &wire.RunReply{Answer: request.Answer{Body: make([]byte, slowAnswerBytes)}}, nil
	})
	s := httptest.NewServer(server)
	t.Cleanup(s.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(out, in) }()
		const piece = slowBytesPerSecond / 50
		for sent := 0; sent < carried; sent += piece {
			if _, err := io.CopyN(in, out, piece); err != nil {
				return
			}
			time.Sleep(time.Second / 50)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestArrivingAnswerIsNoSilence guards against a connection that is closed as silent in the
// middle of an answer that takes long to arrive.
func TestArrivingAnswerIsNoSilence(t *testing.T) {
	client := NewClient(NewAuth("a", nil), netip.IPv4Unspecified())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	reply, err := Call[wire.RunReply](ctx, client, startSlowPeer(t, 2*slowAnswerBytes), wire.TypeRun, &wire.Run{})
	if err != nil || len(reply.Answer.Body) != slowAnswerBytes {
		t.Errorf("got %v, want the answer", err)
	}
}

// TestCallOutlastsItsPatienceOnlyWhileReceiving guards against an answer that is given up in
// its middle, and against a call that waits for one that does not begin or go on.
func TestCallOutlastsItsPatienceOnlyWhileReceiving(t *testing.T) {
	const patience = 600 * time.Millisecond
	for name, c := range map[string]struct {
		carried int
		want    error
	}{
		"slow": {2 * slowAnswerBytes, nil}, "stops": {slowAnswerBytes / 2, ErrStalled}, "nothing": {0, ErrStalled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := NewClient(NewAuth("a", nil), netip.IPv4Unspecified())
			defer client.Close()
			_, err := CallWhileReceiving[wire.RunReply](context.Background(), client, startSlowPeer(t, c.carried), wire.TypeRun, &wire.Run{}, patience)
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
