package poison

import "time"

const (
	// crashConfirmWindow is how soon after a server closed a connection it must
	// be found down to count as crashed. A server that answers again within
	// that time closed the connection for another reason.
	crashConfirmWindow = time.Second
	// maxPendingPerServer bounds the requests kept for each server.
	maxPendingPerServer = 64
)

// CrashDetector keeps the requests whose connections a server closed before it
// answered, until it is known whether the server crashed. It is not safe for
// concurrent use.
type CrashDetector struct {
	pending map[string][]lostRequest
}

type lostRequest struct {
	digest Digest
	at     time.Time
}

// NewCrashDetector returns a detector without pending requests.
func NewCrashDetector() *CrashDetector { return &CrashDetector{pending: map[string][]lostRequest{}} }

// ConnectionLost records that a server closed a request's connection.
func (c *CrashDetector) ConnectionLost(server string, d Digest, now time.Time) {
	if pending := c.pending[server]; len(pending) < maxPendingPerServer {
		c.pending[server] = append(pending, lostRequest{d, now})
	}
}

// ServerAnswered records that a server is up, which discards its pending
// requests.
func (c *CrashDetector) ServerAnswered(server string) { delete(c.pending, server) }

// ServerDown returns the requests that a server was running when it crashed,
// given that it accepts no connection now. It returns each request once.
func (c *CrashDetector) ServerDown(server string, now time.Time) []Digest {
	var crashed []Digest
	for _, lost := range c.pending[server] {
		if now.Sub(lost.at) <= crashConfirmWindow {
			crashed = append(crashed, lost.digest)
		}
	}
	delete(c.pending, server)
	return crashed
}

// Empty reports whether no request is pending.
func (c *CrashDetector) Empty() bool { return len(c.pending) == 0 }
