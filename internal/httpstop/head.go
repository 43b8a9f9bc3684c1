package httpstop

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"bilberrytiller.example/tiller/coordination/connlimit"
	"bilberrytiller.example/tiller/coordination/memory"
)

const (
	// refusalTimeout is how long the refusal of a head is written, and unreadTimeout how long
	// up to unreadBytes of the rest are read, so that the client gets it instead of a reset.
	refusalTimeout = time.Second
	unreadTimeout  = 100 * time.Millisecond
	unreadBytes    = 64 << 10
)

// bufferBytes is the size of the buffer through which a server reads. Only bytes that were
// read into it may belong to the head after the one for which they were read.
const bufferBytes = 4 << 10

// headLimit bounds the large heads of a server's connections.
type headLimit struct {
	places  *memory.Heads
	refusal []byte
	// refused is called for each head that is refused.
	refused func()
}

// LimitHeads lets a large head be parsed only if it has a place. A client whose head has
// none in time gets refusal as the last bytes of its connection, and refused is called. The
// server has not started to serve, and its handler calls HeadParsed.
func (c *Conns) LimitHeads(places *memory.Heads, refusal []byte, refused func()) {
	c.heads = &headLimit{places, refusal, refused}
}

// HeadParsed gives up the place of the head of a request, given by its context, since the
// memory of the head is counted otherwise from now on.
func HeadParsed(ctx context.Context) {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok {
		c.leaveHead()
	}
}

// headSize is the size of the head that is being read.
type headSize struct {
	bytes, lines int
	ended        bool
	// line is the length of the line that has not ended, and last its last byte.
	line int
	last byte
}

// next begins another head. Its first line may have begun with bytes read before.
func (h *headSize) next() { h.bytes, h.lines, h.ended = 0, 0, false }

// add adds bytes, up to the blank line that ends the head.
func (h *headSize) add(p []byte) {
	for len(p) > 0 && !h.ended {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.bytes += len(p)
			break
		}
		length, last := h.line+i, h.last
		if i > 0 {
			last = p[i-1]
		}
		h.bytes += i + 1
		h.lines++
		h.line, p = 0, p[i+1:]
		// Blank lines before a request are not its end.
		h.ended = h.lines > 1 && (length == 0 || length == 1 && last == '\r')
	}
	h.skip(p)
}

// skip records the line in which bytes end that do not belong to the head.
func (h *headSize) skip(p []byte) {
	if i := bytes.LastIndexByte(p, '\n'); i >= 0 {
		h.line, p = 0, p[i+1:]
	}
	if h.line += len(p); len(p) > 0 {
		h.last = p[len(p)-1]
	}
}

// large reports whether the head needs a place.
func (h *headSize) large() bool {
	return h.bytes > memory.FreeHeadBytes || h.lines > memory.FreeHeadFields+2
}

// readsHead reports whether the bytes read next belong to a head. The caller holds mu.
func (c *conn) readsHead() bool { return c.waits.Phase <= connlimit.Head && !c.size.ended }

// recordRead records bytes that were read into p. It reports whether they make the head a
// large one that has no place yet. The caller holds mu.
func (c *conn) recordRead(p []byte, n int) (needsPlace bool) {
	switch {
	case c.readsHead():
		c.size.add(p[:n])
		return c.place == nil && c.heads != nil && c.size.large()
	case len(p) <= bufferBytes:
		c.size.skip(p[:n])
	default:
		c.size.line = 0
	}
	return false
}

// enterHead waits for a place for the head that is being read, and reports whether it has one.
func (c *conn) enterHead() bool {
	places := c.heads.places
	place := places.Enter(time.Now(), c.revokeHead)
	c.mu.Lock()
	c.place = place
	c.mu.Unlock()
	for _, wait := range []time.Duration{0, memory.HeadTime, memory.HeadWait - memory.HeadTime} {
		select {
		case <-place.Admitted():
			return true
		case <-time.After(wait):
			places.Expire(time.Now())
		}
	}
	return false
}

// revokeHead makes the head give up its place if it is waited for.
func (c *conn) revokeHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placeRevoked = true
	if c.readingHead {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) leaveHead() {
	c.mu.Lock()
	place := c.place
	c.place, c.placeRevoked = nil, false
	c.mu.Unlock()
	if place != nil {
		place.Leave(time.Now())
	}
}

// refuseHead answers a request whose head has not been passed on, and returns the error
// that ends its connection.
func (c *conn) refuseHead() error {
	c.leaveHead()
	c.heads.refused()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write(c.heads.refusal)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(unreadTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, unreadBytes)
	// The server answers other errors itself.
	return &net.OpError{Op: "read", Net: "tcp", Err: memory.ErrShortage}
}
