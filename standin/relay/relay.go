// Package relay is a TCP relay for tests. It stands before a listener and
// cuts or silences the connections of chosen sources, as a failing network
// would.
package relay

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Mode is what a relay does with the connections of a source.
type Mode int

// The modes of a relay.
const (
	// Pass carries bytes both ways.
	Pass Mode = iota
	// Disconnect closes open connections and refuses new ones.
	Disconnect
	// Blackhole keeps connections open and carries nothing, new ones too.
	Blackhole
	// BlackholeOpen silences the connections open now; new ones pass.
	BlackholeOpen
)

// Relay forwards connections to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	modes map[netip.Addr]Mode
	pairs map[*pair]bool
	bytes map[netip.Addr]*atomic.Int64
	meter Meter
}

// Meter is told of bytes that a relay has carried from a source to its target,
// or back.
type Meter func(source netip.Addr, back bool, bytes int)

type pair struct {
	source netip.Addr
	in     net.Conn
	out    net.Conn
	gate   *gate
	bytes  *atomic.Int64
}

// New returns a relay that listens on a free port of the IP address ip.
func New(ip, target string) (*Relay, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, modes: map[netip.Addr]Mode{}, pairs: map[*pair]bool{}, bytes: map[netip.Addr]*atomic.Int64{}}
	go r.accept()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetTarget changes where new connections go.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

func (r *Relay) targetNow() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// SetMode changes what happens to the connections of a source.
func (r *Relay) SetMode(source netip.Addr, mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.modes[source] = mode
	if mode == BlackholeOpen {
		r.modes[source] = Pass
	}
	for p := range r.pairs {
		if p.source == source {
			p.set(mode)
		}
	}
}

// Bytes returns the bytes carried so far for a source, both ways.
func (r *Relay) Bytes(source netip.Addr) int64 { return r.counter(source).Load() }

func (r *Relay) counter(source netip.Addr) *atomic.Int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes[source] == nil {
		r.bytes[source] = new(atomic.Int64)
	}
	return r.bytes[source]
}

// SetMeter names who is told of the bytes carried from now on.
func (r *Relay) SetMeter(m Meter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meter = m
}

func (r *Relay) count(source netip.Addr, back bool, bytes int) {
	r.mu.Lock()
	m := r.meter
	r.mu.Unlock()
	if m != nil {
		m(source, back, bytes)
	}
}

// Close ends the relay and its connections.
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
	out, err := net.Dial("tcp", r.targetNow())
	if err != nil {
		_ = in.Close()
		return
	}
	p := &pair{source: source, in: in, out: out, gate: newGate(), bytes: r.counter(source)}
	r.mu.Lock()
	r.pairs[p] = true
	p.set(r.modes[source])
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.carry(out, in, func(n int) { r.count(source, false, n) }) })
	both.Go(func() { p.carry(in, out, func(n int) { r.count(source, true, n) }) })
	both.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

func (p *pair) set(mode Mode) {
	switch mode {
	case Pass:
		p.gate.open()
	case Disconnect:
		p.close()
	case Blackhole, BlackholeOpen:
		p.gate.shut()
	}
}

func (p *pair) close() {
	p.gate.open()
	_ = p.in.Close()
	_ = p.out.Close()
}

func (p *pair) carry(dst, src net.Conn, count func(bytes int)) {
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

// gate holds bytes back while it is shut.
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

func (g *gate) shut() {
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
