package gateway

import (
	"errors"
	"net"
	"syscall"
	"time"

	"bilberrytiller.example/tiller/coordination/connlimit"
	"bilberrytiller.example/tiller/internal/httpstop"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after an error of Accept that will
	// pass, such as a lack of descriptors. The pause doubles while the error lasts.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 100 * time.Millisecond
)

// temporaryErrors are the errors of Accept that will pass.
var temporaryErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR, syscall.EPROTO,
	syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENONET, syscall.EOPNOTSUPP, syscall.ENOPROTOOPT, syscall.EPERM,
}

func isTemporary(err error) bool {
	for _, temporary := range temporaryErrors {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// acceptor accepts connections up to a limit. Above it, each new connection takes the
// place of one that waits for a request, or is closed.
type acceptor struct {
	name string
	// limit is the number of connections that may be open, or 0 without a limit.
	limit int
	conns func() []*httpstop.Conns
	g     *Gateway
	pause time.Duration
}

// recover reports whether an error of Accept will pass, after a pause.
func (a *acceptor) recover(err error) bool {
	if !isTemporary(err) {
		return false
	}
	a.g.metrics.root.Add("accept_errors", 1)
	a.g.requestLog.newEvent("accept.failed", true).Str("listener", a.name).Err(err).Send()
	httpstop.CloseOne(a.conns(), time.Now())
	a.pause = min(maxAcceptPause, max(minAcceptPause, 2*a.pause))
	time.Sleep(a.pause)
	return true
}

// admit reports whether a new connection may be served.
func (a *acceptor) admit() bool {
	a.pause = 0
	open := 0
	conns := a.conns()
	for _, c := range conns {
		open += c.Open()
	}
	if a.limit <= 0 || open < a.limit {
		return true
	}
	if httpstop.CloseOne(conns, time.Now()) {
		a.g.metrics.root.Add("connections_displaced", 1)
		return true
	}
	a.g.metrics.root.Add("connections_refused", 1)
	a.g.requestLog.newEvent("connection.refused", true).Str("listener", a.name).Int("open", open).Send()
	return false
}

// boundedListener is a listener whose connections are limited.
type boundedListener struct {
	net.Listener
	*acceptor
}

// Accept returns the next connection that may be served.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err != nil && l.recover(err):
		case err != nil:
			return nil, err
		case l.admit():
			return conn, nil
		default:
			_ = conn.Close()
		}
	}
}

// clientConns returns the connections that share the limit of clients: theirs and those to
// the directory, which they use as well.
func (g *Gateway) clientConns() []*httpstop.Conns {
	conns := g.clients.conns()
	if g.directoryConns != nil {
		conns = append(conns, g.directoryConns)
	}
	return conns
}

// occupyMemory counts the memory of a connection.
func (g *Gateway) occupyMemory(connections int64) { g.memory.Occupy(connections * connlimit.ConnBytes) }
