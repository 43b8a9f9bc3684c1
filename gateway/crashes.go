package gateway

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/poison"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// maxSharedCrashes bounds how many of the latest crashes that it observed, and
	// of those that it cleared, a daemon reports to other daemons.
	maxSharedCrashes = 32
	// crashCheckDelay is the time between the loss of a connection and the check of
	// its server. A process that ends may still accept connections meanwhile.
	crashCheckDelay   = 100 * time.Millisecond
	crashCheckTimeout = time.Second
)

// crashMonitor tracks the requests on which backend servers crashed, as
// observed by all daemons, so that a request that crashes every server it
// reaches is not sent again.
type crashMonitor struct {
	log     zerolog.Logger
	tracker *poison.Tracker
	// connect opens a connection to an address.
	connect func(ctx context.Context, addr string) (time.Duration, error)
	// crashed is called when a server crashed, with mu held.
	crashed func(server routing.Incarnation, now time.Time)

	mu       sync.Mutex
	detector *poison.CrashDetector
	// observed are the latest crashes observed by this daemon, and cleared those that
	// an answer cleared here, oldest first.
	observed, cleared []poison.Crash
	// changed receives a value when other daemons should hear of a change.
	changed chan struct{}
}

func newCrashMonitor(
	daemon string, log zerolog.Logger, connect func(context.Context, string) (time.Duration, error), crashed func(routing.Incarnation, time.Time),
) *crashMonitor {
	return &crashMonitor{
		log: log, tracker: poison.NewTracker(daemon), connect: connect, crashed: crashed, detector: poison.NewCrashDetector(), changed: make(chan struct{}, 1),
	}
}

// CrashesChanged returns a channel that receives a value when this daemon
// observes a crash or ends the block of a request. Values are coalesced.
func (g *Gateway) CrashesChanged() <-chan struct{} { return g.crashes.changed }

// Crashes returns the latest crashes that this daemon observed or cleared.
func (g *Gateway) Crashes() []poison.Crash {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	return slices.Concat(g.crashes.observed, g.crashes.cleared)
}

// MergeCrashes records crashes that another daemon observed or cleared.
func (g *Gateway) MergeCrashes(all []poison.Crash) {
	for _, c := range all {
		if c.Cleared {
			g.crashes.tracker.ClearCrash(c, time.Now())
			continue
		}
		if g.crashes.tracker.RecordCrash(c, time.Now()) {
			g.crashes.logCrash(c)
		}
	}
}

// mayRun reports whether a request may be sent to a server. It is false if too many
// servers crashed on it, unless this is a trial run.
func (c *crashMonitor) mayRun(req *clientRequest, now time.Time) bool {
	return c.tracker.Empty() || c.tracker.Admit(req.digest(), now)
}

// recordResult updates the crash state from the result of a send. A server that
// closes the connection of a request and then accepts no connection counts as
// crashed. A server that answers a request clears the crashes attributed to it.
func (c *crashMonitor) recordResult(req *clientRequest, res sendResult, now time.Time) {
	server := res.choice.Backend.Incarnation()
	switch outcome, err := res.exchange.Result.Outcome, res.exchange.Err; {
	case outcome == upstream.Answered || outcome == upstream.Failed:
		c.recordAnswer(req, incarnationName(server), now)
	case outcome == upstream.Lost && isConnectionClosed(err):
		c.recordLoss(req, res, server, now)
	case outcome == upstream.Unreachable && isRefused(err):
		c.recordServerDown(server, now)
	}
}

// recordLoss records that a server closed the connection of a request, and checks
// the server soon.
func (c *crashMonitor) recordLoss(req *clientRequest, res sendResult, server routing.Incarnation, now time.Time) {
	began := now.Add(-res.exchange.Result.Latency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.detector.ConnectionLost(incarnationName(server), req.digest(), began, now) {
		time.AfterFunc(crashCheckDelay, func() { c.check(server) })
	}
}

// check connects to a server to find out whether it crashed.
func (c *crashMonitor) check(server routing.Incarnation) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	_, err := c.connect(ctx, server.Address)
	if isRefused(err) {
		c.recordServerDown(server, time.Now())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.EndCheck(incarnationName(server))
	if err == nil {
		c.detector.ServerAnswered(incarnationName(server))
	}
}

// recordAnswer clears the crashes attributed to a request that was answered. Other
// daemons hear at once of a block that has ended and of a crash that this daemon
// observed; what it clears of others' crashes is published with the next change, so
// that a crash costs few calls.
func (c *crashMonitor) recordAnswer(req *clientRequest, server string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.ServerAnswered(server)
	if !c.detector.Empty() {
		c.detector.RequestAnswered(req.digest(), now)
	}
	if c.tracker.Empty() {
		return
	}
	digest := req.digest()
	wasBlocked, observed := c.tracker.IsBlocked(digest, now), len(c.observed)
	for _, crash := range c.tracker.ActiveCrashes(digest, now) {
		c.tracker.ClearCrash(crash, now)
		c.observed = slices.DeleteFunc(c.observed, func(o poison.Crash) bool { return o.Digest == digest && o.ID == crash.ID })
		crash.Cleared = true
		c.cleared = lastCrashes(append(c.cleared, crash))
	}
	if wasBlocked {
		c.log.Info().Str("event", "request.unblocked").Str("digest", shortDigest(digest)).Str("backend", server).Send()
	}
	if wasBlocked || len(c.observed) < observed {
		c.notify()
	}
}

// recordServerDown attributes a crash to the requests that the server was
// running.
func (c *crashMonitor) recordServerDown(server routing.Incarnation, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes := c.detector.ServerDown(incarnationName(server), now)
	if len(crashes) > 0 {
		c.crashed(server, now)
	}
	for _, crash := range crashes {
		crash = c.tracker.WithExpiry(crash)
		if c.tracker.RecordCrash(crash, now) {
			c.logCrash(crash)
			c.observed = lastCrashes(append(c.observed, crash))
		}
	}
	if len(crashes) > 0 {
		c.notify()
	}
}

// notify lets the daemon's entry be published.
func (c *crashMonitor) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func lastCrashes(all []poison.Crash) []poison.Crash { return all[max(0, len(all)-maxSharedCrashes):] }

// limitBodies lets a crash limit the bodies that go to the servers of its service.
func (g *Gateway) limitBodies(server routing.Incarnation, now time.Time) {
	if service, limit := g.balancer.RecordCrash(server, now); limit > 0 {
		g.log.Warn().Str("event", "backend.bodies_limited").Str("backend", server.ID).Str("service", service).Int64("bytes", limit).Send()
	}
}

// logCrash logs that a crash was attributed to a request.
func (c *crashMonitor) logCrash(crash poison.Crash) {
	c.log.Warn().Str("event", "request.crashed_server").Str("digest", shortDigest(crash.Digest)).Str("backend", crash.ID).Send()
}

// shortDigest returns the digest prefix that identifies a request's content in
// the log.
func shortDigest(d poison.Digest) string { return hex.EncodeToString(d[:8]) }

// incarnationName returns a string that differs between incarnations of one
// backend server.
func incarnationName(i routing.Incarnation) string { return fmt.Sprintf("%s/%d", i.ID, i.StartedAtMs) }

// isConnectionClosed reports whether err means that the peer closed the
// connection.
func isConnectionClosed(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// isRefused reports whether err means that a server accepts no connection.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || isConnectionClosed(err)
}

// digest identifies a request by its service and content.
func (r *clientRequest) digest() poison.Digest {
	m := &r.message
	return request.DigestPieces(m.Body, r.service.Name, m.Method, m.Host, m.Target, r.key)
}
