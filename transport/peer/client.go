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

	"bilberrytiller.example/tiller/internal/httplimit"
	"bilberrytiller.example/tiller/protocol/wire"
)

const (
	// Path is the path at which a daemon accepts connections from peers.
	Path        = "/peer"
	dialTimeout = 2 * time.Second
)

// Client makes calls to peers. It is safe for concurrent use.
type Client struct {
	auth *Auth
	http *http.Client
	// closing ends when the client is closed.
	closing   context.Context
	close     context.CancelFunc
	mu        sync.Mutex
	addrConns map[netip.AddrPort]*addrConn
}

// addrConn holds the connection to one address. The lock is held while dialling,
// so that concurrent calls share one connection.
type addrConn struct {
	mu   sync.Mutex
	conn *conn
}

// NewClient returns a client that authenticates with auth. Its connections
// originate from localAddr, the address under which peers and networks know the
// host. With an unspecified address the system chooses.
func NewClient(auth *Auth, localAddr netip.Addr) *Client {
	dialer := &net.Dialer{}
	if !localAddr.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: localAddr.AsSlice()}
	}
	closing, closeClient := context.WithCancel(context.Background())
	return &Client{
		auth:    auth,
		closing: closing,
		close:   closeClient,
		http: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxResponseHeaderBytes: httplimit.MaxResponseHeaderBytes,
		}},
		addrConns: map[netip.AddrPort]*addrConn{},
	}
}

// Call makes a call to the peer at addr and waits for the answer until ctx ends.
// An error that wraps ErrNotSent means that the peer did not receive the call, or did
// not begin it; after any other error it may have run it. An error that the peer returned is a
// *RemoteError.
func Call[Out any](ctx context.Context, c *Client, addr netip.AddrPort, t wire.Type, in any) (*Out, error) {
	return CallWithGrace[Out](ctx, c, addr, t, in, 0)
}

// CallWhileReceiving makes a call to the peer at addr. It waits for the answer for the time
// patience, including the time to connect, and longer only while a message arrives, of which
// some part must come within each stallTimeout. The errors are those of Call, and ErrStalled.
func CallWhileReceiving[Out any](ctx context.Context, c *Client, addr netip.AddrPort, t wire.Type, in any, patience time.Duration) (*Out, error) {
	began := time.Now()
	connectCtx, cancel := context.WithTimeoutCause(ctx, patience, ErrStalled)
	defer cancel()
	conn, err := c.connect(connectCtx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return decodeAnswer[Out](conn.call(ctx, t, in, waiting{patience: max(1, patience-time.Since(began))}))
}

// CallWithGrace makes a call to the peer at addr and waits for the answer. If ctx
// ends first, it cancels the call at the peer, which then has the grace period to
// answer with the outcome. The errors are those of Call.
func CallWithGrace[Out any](ctx context.Context, c *Client, addr netip.AddrPort, t wire.Type, in any, grace time.Duration) (*Out, error) {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return decodeAnswer[Out](conn.call(ctx, t, in, waiting{grace: grace}))
}

// decodeAnswer decodes the answer to a call.
func decodeAnswer[Out any](env wire.Envelope, err error) (*Out, error) {
	if err != nil {
		return nil, err
	}
	if env.Error != "" {
		err := &RemoteError{Type: env.Type, Message: env.Error}
		if env.NotRun {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	out := new(Out)
	if err := wire.DecodeBody(env.Body, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Close closes all connections and ends attempts to open some. Calls made later fail
// with ErrNotSent.
func (c *Client) Close() {
	c.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ac := range c.addrConns {
		ac.mu.Lock()
		if ac.conn != nil {
			ac.conn.close(ErrLost)
		}
		ac.mu.Unlock()
	}
}

// Clock returns the bounds of the clock of the peer at addr, which differ by the time
// that the connection took to open. Clock opens a connection if there is none, and
// returns an error that wraps ErrNotSent if that fails.
func (c *Client) Clock(ctx context.Context, addr netip.AddrPort) (ClockBounds, error) {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return ClockBounds{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn.clock.bounds(time.Now()), nil
}

// Disconnect closes the connection to addr, so that the next call opens a new one.
// An open connection may have stopped carrying data while new ones work.
func (c *Client) Disconnect(addr netip.AddrPort) {
	ac := c.addrConnFor(addr)
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.conn != nil {
		ac.conn.close(ErrLost)
	}
}

func (c *Client) connect(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	ac := c.addrConnFor(addr)
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.conn != nil && !ac.conn.closed() {
		return ac.conn, nil
	}
	ws, clock, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	ac.conn = newConn(ws, clock)
	return ac.conn, nil
}

func (c *Client) addrConnFor(addr netip.AddrPort) *addrConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	ac, ok := c.addrConns[addr]
	if !ok {
		ac = &addrConn{}
		c.addrConns[addr] = ac
	}
	return ac
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*websocket.Conn, clockReading, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	defer context.AfterFunc(c.closing, cancel)()
	header := http.Header{}
	header.Set(HeaderAuth, c.auth.Token(time.Now()))
	began := time.Now()
	ws, resp, err := websocket.Dial(ctx, "ws://"+addr.String()+Path, &websocket.DialOptions{
		HTTPClient:      c.http,
		HTTPHeader:      header,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, clockReading{}, fmt.Errorf("dial peer %s: %w", addr, err)
	}
	clock, err := parseClock(resp, began, time.Now())
	if err != nil {
		_ = ws.CloseNow()
		return nil, clockReading{}, fmt.Errorf("dial peer %s: %w", addr, err)
	}
	ws.SetReadLimit(wire.MaxFrameBytes)
	return ws, clock, nil
}
