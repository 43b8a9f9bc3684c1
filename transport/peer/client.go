package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"

	"bilberrytiller.example/tiller/protocol/wire"
)

const (
	// Path is where a daemon's peer listener takes connections.
	Path        = "/peer"
	dialTimeout = 2 * time.Second
)

// Client calls peers. It is safe for concurrent use.
type Client struct {
	auth  *Auth
	http  *http.Client
	mu    sync.Mutex
	slots map[netip.AddrPort]*slot
}

// slot holds the connection to one address. Its lock is held while dialling,
// so that calls at the same moment share one connection.
type slot struct {
	mu   sync.Mutex
	conn *conn
}

// NewClient returns a client that proves itself with auth. Its connections
// come from the IP address local, by which peers and networks know the host;
// an unspecified address leaves the choice to the system.
func NewClient(auth *Auth, local netip.Addr) *Client {
	dialer := &net.Dialer{}
	if !local.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: local.AsSlice()}
	}
	return &Client{
		auth:  auth,
		http:  &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
		slots: map[netip.AddrPort]*slot{},
	}
}

// Call sends a call and waits for its answer until ctx ends.
func Call[Out any](ctx context.Context, c *Client, addr netip.AddrPort, t wire.Type, in any) (*Out, error) {
	return CallWithGrace[Out](ctx, c, addr, t, in, 0)
}

// CallWithGrace sends a call and waits for its answer. When ctx ends first it
// cancels the call at the peer, which has the grace left to say what became
// of it.
func CallWithGrace[Out any](ctx context.Context, c *Client, addr netip.AddrPort, t wire.Type, in any, grace time.Duration) (*Out, error) {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	env, err := conn.call(ctx, t, in, grace)
	if err != nil {
		return nil, err
	}
	if env.Error != "" {
		return nil, &RemoteError{Type: t, Message: env.Error}
	}
	out := new(Out)
	if err := wire.DecodeBody(env.Body, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.slots {
		s.mu.Lock()
		if s.conn != nil {
			s.conn.close(ErrLost)
		}
		s.mu.Unlock()
	}
}

// Clock estimates the clock of the peer at an address, which is the estimate
// or a little more.
func (c *Client) Clock(ctx context.Context, addr netip.AddrPort) (time.Duration, error) {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn.clock.estimate(time.Now()), nil
}

// Disconnect ends the connection to an address, so that the next call dials anew:
// an open connection may have gone silent while new ones work.
func (c *Client) Disconnect(addr netip.AddrPort) {
	s := c.slot(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.close(ErrLost)
	}
}

func (c *Client) conn(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	s := c.slot(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && !s.conn.closed() {
		return s.conn, nil
	}
	ws, clock, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	s.conn = newConn(ws, clock)
	return s.conn, nil
}

func (c *Client) slot(addr netip.AddrPort) *slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.slots[addr]
	if !ok {
		s = &slot{}
		c.slots[addr] = s
	}
	return s
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*websocket.Conn, reading, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(HeaderAuth, c.auth.Token(time.Now()))
	ws, resp, err := websocket.Dial(ctx, "ws://"+addr.String()+Path, &websocket.DialOptions{
		HTTPClient:      c.http,
		HTTPHeader:      header,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, reading{}, fmt.Errorf("dial peer %s: %w", addr, err)
	}
	clock, err := newReading(resp, time.Now())
	if err != nil {
		_ = ws.CloseNow()
		return nil, reading{}, fmt.Errorf("dial peer %s: %w", addr, err)
	}
	ws.SetReadLimit(wire.MaxFrameBytes)
	return ws, clock, nil
}
