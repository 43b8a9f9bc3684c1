package poison

import (
	"slices"
	"time"
)

const (
	// crashConfirmWindow is how soon after a server closed a connection it must
	// be found down to count as crashed. A server that answers again within
	// that time closed the connection for another reason.
	crashConfirmWindow = time.Second
	// maxPendingPerServer bounds the requests kept for each server.
	maxPendingPerServer = 64
	// maxChecks bounds the checks of servers that are in progress at once.
	maxChecks = 16
)

// CrashDetector keeps the requests whose connections a server closed before it
// answered, until it is known whether the server crashed. It is not safe for
// concurrent use.
type CrashDetector struct {
	pending map[string][]lostRequest
	// checking are the servers that are being checked.
	checking map[string]bool
}

// A lostRequest was sent to a server at began, which closed the connection at at.
type lostRequest struct {
	digest    Digest
	began, at time.Time
}

// isOld reports whether it is too late to tell whether the server crashed.
func (l lostRequest) isOld(now time.Time) bool { return now.Sub(l.at) > crashConfirmWindow }

// NewCrashDetector returns a detector without pending requests.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{pending: map[string][]lostRequest{}, checking: map[string]bool{}}
}

// ConnectionLost records that a server closed the connection of a request that was
// sent to it at began. It reports
// whether the caller should check soon whether the server accepts connections, as
// the next request to it may come too late to tell; EndCheck must follow then.
func (c *CrashDetector) ConnectionLost(server string, d Digest, began, now time.Time) (check bool) {
	pending := slices.DeleteFunc(c.pending[server], func(l lostRequest) bool { return l.isOld(now) })
	if len(pending) < maxPendingPerServer {
		pending = append(pending, lostRequest{d, began, now})
	}
	c.pending[server] = pending
	if c.checking[server] || len(c.checking) >= maxChecks {
		return false
	}
	c.checking[server] = true
	return true
}

// EndCheck records that a check of a server has ended.
func (c *CrashDetector) EndCheck(server string) { delete(c.checking, server) }

// ServerAnswered records that a server is up, which discards its pending
// requests.
func (c *CrashDetector) ServerAnswered(server string) { delete(c.pending, server) }

// RequestAnswered discards a request that has been answered by a server since
// another one closed its connection, and all whose servers can no longer be judged.
func (c *CrashDetector) RequestAnswered(d Digest, now time.Time) {
	for server, pending := range c.pending {
		pending = slices.DeleteFunc(pending, func(l lostRequest) bool { return l.digest == d || l.isOld(now) })
		c.pending[server] = pending
		if len(pending) == 0 {
			delete(c.pending, server)
		}
	}
}

// ServerDown returns the crashes of the requests that a server was running, given
// that it accepts no connection now. It returns each request once. The crashes
// have no expiry yet.
func (c *CrashDetector) ServerDown(server string, now time.Time) []Crash {
	var crashes []Crash
	for _, lost := range c.pending[server] {
		known := slices.ContainsFunc(crashes, func(c Crash) bool { return c.Digest == lost.digest })
		if !lost.isOld(now) && !known {
			crashes = append(crashes, Crash{Digest: lost.digest, ID: server, Began: lost.began, At: lost.at})
		}
	}
	delete(c.pending, server)
	return crashes
}

// Empty reports whether no request is pending.
func (c *CrashDetector) Empty() bool { return len(c.pending) == 0 }
