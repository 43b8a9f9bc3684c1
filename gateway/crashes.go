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

// maxSharedCrashes bounds how many of the latest crashes that it observed a daemon
// reports to other daemons.
const maxSharedCrashes = 32

// crashMonitor tracks the requests on which backend servers crashed, as
// observed by all daemons, so that a request that crashes every server it
// reaches is not sent again.
type crashMonitor struct {
	log     zerolog.Logger
	tracker *poison.Tracker

	mu       sync.Mutex
	detector *poison.CrashDetector
	// observed are the latest crashes observed by this daemon, oldest first.
	observed []poison.Crash
	// changed receives a value when this daemon observes a crash.
	changed chan struct{}
}

func newCrashMonitor(log zerolog.Logger) *crashMonitor {
	return &crashMonitor{log: log, tracker: poison.NewTracker(), detector: poison.NewCrashDetector(), changed: make(chan struct{}, 1)}
}

// CrashesChanged returns a channel that receives a value when this daemon
// observes a crash. Values are coalesced.
func (g *Gateway) CrashesChanged() <-chan struct{} { return g.crashes.changed }

// Crashes returns the latest crashes observed by this daemon.
func (g *Gateway) Crashes() []poison.Crash {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	return append([]poison.Crash(nil), g.crashes.observed...)
}

// MergeCrashes records crashes observed by another daemon.
func (g *Gateway) MergeCrashes(all []poison.Crash) {
	for _, c := range all {
		if g.crashes.tracker.RecordCrash(c, time.Now()) {
			g.crashes.logCrash(c)
		}
	}
}

// isBlocked reports whether a request is blocked because too many servers
// crashed on it.
func (c *crashMonitor) isBlocked(req *clientRequest, now time.Time) bool {
	return !c.tracker.Empty() && c.tracker.Verdict(req.digest(), now) == poison.Blocked
}

// recordResult updates the crash state from the result of a send. A server that
// closes the connection of a request and then accepts no connection counts as
// crashed. A server that answers a request clears the crashes attributed to it.
func (c *crashMonitor) recordResult(req *clientRequest, res sendResult, now time.Time) {
	server := incarnationName(res.choice.Backend.Incarnation())
	switch outcome, err := res.exchange.Result.Outcome, res.exchange.Err; {
	case outcome == upstream.Answered || outcome == upstream.Failed:
		c.recordAnswer(req, server, now)
	case outcome == upstream.Lost && isConnectionClosed(err):
		c.mu.Lock()
		defer c.mu.Unlock()
		c.detector.ConnectionLost(server, req.digest(), now)
	case outcome == upstream.Unreachable && (errors.Is(err, syscall.ECONNREFUSED) || isConnectionClosed(err)):
		c.recordServerDown(server, now)
	}
}

func (c *crashMonitor) recordAnswer(req *clientRequest, server string, now time.Time) {
	c.mu.Lock()
	c.detector.ServerAnswered(server)
	c.mu.Unlock()
	if c.tracker.Empty() {
		return
	}
	for _, crash := range c.tracker.ActiveCrashes(req.digest(), now) {
		c.tracker.ClearCrash(crash, now)
	}
}

// recordServerDown attributes a crash to the requests that the server was
// running.
func (c *crashMonitor) recordServerDown(server string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	digests := c.detector.ServerDown(server, now)
	for _, digest := range digests {
		crash := poison.Crash{Digest: digest, ID: server, Expires: now.Add(poison.CrashTTL)}
		if c.tracker.RecordCrash(crash, now) {
			c.logCrash(crash)
			c.observed = append(c.observed, crash)
		}
	}
	if len(digests) == 0 {
		return
	}
	c.observed = c.observed[max(0, len(c.observed)-maxSharedCrashes):]
	select {
	case c.changed <- struct{}{}:
	default:
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

// digest identifies a request by its service and content.
func (r *clientRequest) digest() poison.Digest {
	m := &r.message
	return request.DigestPieces(m.Body, r.service.Name, m.Method, m.Host, m.Target, r.key)
}
