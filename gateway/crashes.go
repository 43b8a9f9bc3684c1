package gateway

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/poison"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/state/routing"
)

// maxToldCrashes bounds the crashes that a daemon tells the others of.
const maxToldCrashes = 32

// crashes keeps which requests servers crashed on, as seen by all daemons, so
// that a request that crashes each server is not sent again.
type crashes struct {
	log     zerolog.Logger
	tracker *poison.Tracker

	mu     sync.Mutex
	losses *poison.CrashDetector
	// seen are the crashes that this daemon saw, the oldest first.
	seen []poison.Crash
	// changed has a value when seen changed since it was last told.
	changed chan struct{}
}

func newCrashes(log zerolog.Logger) *crashes {
	return &crashes{log: log, tracker: poison.NewTracker(), losses: poison.NewCrashDetector(), changed: make(chan struct{}, 1)}
}

// CrashesChanged has a value when Crashes returns more than before.
func (g *Gateway) CrashesChanged() <-chan struct{} { return g.crashes.changed }

// Crashes returns the crashes that this daemon saw.
func (g *Gateway) Crashes() []poison.Crash {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	return append([]poison.Crash(nil), g.crashes.seen...)
}

// MergeCrashes takes the crashes that another daemon saw.
func (g *Gateway) MergeCrashes(all []poison.Crash) {
	for _, c := range all {
		if g.crashes.tracker.RecordCrash(c, time.Now()) {
			g.crashes.tell(c)
		}
	}
}

// blocks reports whether servers crashed on a request too often.
func (c *crashes) blocks(req *clientRequest, now time.Time) bool {
	return !c.tracker.Empty() && c.tracker.Verdict(req.digest(), now) == poison.Blocked
}

// take learns from the end of a send. A server that closes the connection of a
// request and takes none afterwards has crashed; one that answers a request
// clears it.
func (c *crashes) take(req *clientRequest, f finished, now time.Time) {
	server := serverName(f.choice.Backend.Incarnation())
	switch outcome, err := f.exchange.Report.Outcome, f.exchange.Err; {
	case outcome == upstream.Answered || outcome == upstream.Failed:
		c.answered(req, server, now)
	case outcome == upstream.Lost && isClosed(err):
		c.mu.Lock()
		defer c.mu.Unlock()
		c.losses.ConnectionLost(server, req.digest(), now)
	case outcome == upstream.Unreachable && (errors.Is(err, syscall.ECONNREFUSED) || isClosed(err)):
		c.down(server, now)
	}
}

func (c *crashes) answered(req *clientRequest, server string, now time.Time) {
	c.mu.Lock()
	c.losses.ServerAnswered(server)
	c.mu.Unlock()
	if c.tracker.Empty() {
		return
	}
	for _, open := range c.tracker.ActiveCrashes(req.digest(), now) {
		c.tracker.ClearCrash(open, now)
	}
}

// down charges a crash to the requests that the server was running.
func (c *crashes) down(server string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	charged := c.losses.ServerDown(server, now)
	for _, digest := range charged {
		crash := poison.Crash{Digest: digest, ID: server, Expires: now.Add(poison.CrashTTL)}
		if c.tracker.RecordCrash(crash, now) {
			c.tell(crash)
			c.seen = append(c.seen, crash)
		}
	}
	if len(charged) == 0 {
		return
	}
	c.seen = c.seen[max(0, len(c.seen)-maxToldCrashes):]
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// tell logs that a crash is charged to a request.
func (c *crashes) tell(crash poison.Crash) {
	c.log.Warn().Str("event", "request.crashed_server").Str("digest", shortDigest(crash.Digest)).Str("backend", crash.ID).Send()
}

// shortDigest is what log lines name a request's content by.
func shortDigest(d poison.Digest) string { return hex.EncodeToString(d[:8]) }

// serverName tells incarnations of backend servers apart.
func serverName(i routing.Incarnation) string { return fmt.Sprintf("%s/%d", i.ID, i.StartedAtMs) }

// isClosed reports whether the other end closed a connection.
func isClosed(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// digest names a request by its service and content.
func (r *clientRequest) digest() poison.Digest {
	m := &r.message
	return request.Digest(m.Body, r.service.Name, m.Method, m.Host, m.Target, r.key)
}
