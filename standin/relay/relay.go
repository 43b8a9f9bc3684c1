// Package relay is a TCP proxy for tests. It forwards connections to a
// listener and closes or blackholes those of selected sources, to emulate a
// failing network.
package relay

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Mode is how a relay treats the connections of a source.
type Mode int

// The modes of a relay.
const (
	// Pass forwards bytes in both directions.
	Pass Mode = iota
	// Disconnect closes open connections and refuses new ones.
	Disconnect
	// Blackhole keeps connections open, also new ones, and forwards nothing.
	Blackhole
	// BlackholeOpen forwards nothing on the connections that are open now; new
	// connections pass.
	BlackholeOpen
)

// Relay forwards connections to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	modes map[netip.Addr]Mode
	pairs map[*connPair]bool
	bytes map[netip.Addr]*atomic.Int64
	meter Meter
}

// Meter is called for bytes forwarded from a source to the target, or in the
// reverse direction.
type Meter func(source netip.Addr, reverse bool, bytes int)

type connPair struct {
	source netip.Addr
	in     net.Conn
	out    net.Conn
	gate   *gate
	bytes  *atomic.Int64
}

// New returns a relay that listens on a free port of the IP address ip. target is
// the address of the listener; if it is empty, connections are closed until
// SetTarget is called.
func New(ip, target string) (*Relay, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, modes: map[netip.Addr]Mode{}, pairs: map[*connPair]bool{}, bytes: map[netip.Addr]*atomic.Int64{}}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetTarget sets the target of new connections.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

func (r *Relay) currentTarget() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// SetMode sets the mode of a source's connections.
func (r *Relay) SetMode(source netip.Addr, mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.modes[source] = mode
	if mode == BlackholeOpen {
		r.modes[source] = Pass
	}
	for p := range r.pairs {
		if p.source == source {
			p.applyMode(mode)
		}
	}
}

// Bytes returns the number of bytes forwarded so far for a source, in both
// directions.
func (r *Relay) Bytes(source netip.Addr) int64 { return r.counter(source).Load() }

func (r *Relay) counter(source netip.Addr) *atomic.Int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes[source] == nil {
		r.bytes[source] = new(atomic.Int64)
	}
	return r.bytes[source]
}

// SetMeter sets the function that is called for the bytes forwarded from now
// on.
func (r *Relay) SetMeter(m Meter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meter = m
}

func (r *Relay) meterBytes(source netip.Addr, reverse bool, bytes int) {
	r.mu.Lock()
	m := r.meter
	r.mu.Unlock()
	if m != nil {
		m(source, reverse, bytes)
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

func (r *Relay) serve(in net.Conn) {
	source := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	r.mu.Lock()
	mode := r.modes[source]
	r.mu.Unlock()
	if mode == Disconnect {
		_ = in.Close()
		return
	}
	out, err := net.Dial("tcp", r.currentTarget())
	if err != nil {
		_ = in.Close()
		return
	}
	p := &connPair{source: source, in: in, out: out, gate: newGate(), bytes: r.counter(source)}
	r.mu.Lock()
	r.pairs[p] = true
	p.applyMode(r.modes[source])
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(out, in, func(n int) { r.meterBytes(source, false, n) }) })
	directions.Go(func() { p.forward(in, out, func(n int) { r.meterBytes(source, true, n) }) })
	directions.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

func (p *connPair) applyMode(mode Mode) {
	switch mode {
	case Pass:
		p.gate.open()
	case Disconnect:
		p.close()
	case Blackhole, BlackholeOpen:
		p.gate.close()
	}
}

func (p *connPair) close() {
	p.gate.open()
	_ = p.in.Close()
	_ = p.out.Close()
}

func (p *connPair) forward(dst, src net.Conn, count func(bytes int)) {
	defer p.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		p.gate.wait()
		p.bytes.Add(int64(n))
		if n > 0 {
			count(n)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// gate blocks the bytes of a connection while it is closed. It is open at first.
type gate struct {
	mu     sync.Mutex
	cond   *sync.Cond
	closed bool
}

func newGate() *gate {
	g := &gate{}
	g.cond = sync.NewCond(&g.mu)
	return g
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
	g.cond.Broadcast()
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

func (g *gate) wait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.closed {
		g.cond.Wait()
	}
}
