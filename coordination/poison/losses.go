package poison

import "time"

const (
	// confirmPeriod is how soon after a server closed connections it must be
	// found down, so that it counts as crashed. A server that answers again
	// sooner has closed connections for another reason.
	confirmPeriod = time.Second
	// maxLosses bounds the requests that are held for one server.
	maxLosses = 64
)

// CrashDetector holds the requests whose connections a server closed before it
// answered, until it is known whether the server crashed. It is not safe for
// concurrent use.
type CrashDetector struct {
	servers map[string][]loss
}

type loss struct {
	digest Digest
	at     time.Time
}

// NewCrashDetector returns losses of no request.
func NewCrashDetector() *CrashDetector { return &CrashDetector{servers: map[string][]loss{}} }

// ConnectionLost records that a server closed the connection of a request.
func (l *CrashDetector) ConnectionLost(server string, d Digest, now time.Time) {
	if of := l.servers[server]; len(of) < maxLosses {
		l.servers[server] = append(of, loss{d, now})
	}
}

// ServerAnswered records that a server lives.
func (l *CrashDetector) ServerAnswered(server string) { delete(l.servers, server) }

// ServerDown returns the requests that a server was running when it crashed, given
// that it takes no connection now. Each one is returned once.
func (l *CrashDetector) ServerDown(server string, now time.Time) []Digest {
	var crashed []Digest
	for _, lost := range l.servers[server] {
		if now.Sub(lost.at) <= confirmPeriod {
			crashed = append(crashed, lost.digest)
		}
	}
	delete(l.servers, server)
	return crashed
}

// Empty reports whether no loss waits for news of its server.
func (l *CrashDetector) Empty() bool { return len(l.servers) == 0 }
