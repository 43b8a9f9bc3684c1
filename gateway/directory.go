package gateway

import "time"

// directoryTTL is how long clients may cache a directory answer.
const directoryTTL = 2 * time.Second

// SetDaemonCount sets the number of daemons that share the fleet-wide limits.
func (g *Gateway) SetDaemonCount(n int) { g.daemons.Store(int64(n)) }

func (g *Gateway) daemonCount() int { return max(1, int(g.daemons.Load())) }

// Resolve returns the addresses for clients to connect to and how long clients
// may cache them. Each daemon returns only its own address, the only one whose
// liveness it is certain of. Clients query the directories nearest to them,
// which distributes them over nearby hosts, and a dead daemon is never listed
// next to a live one.
func (g *Gateway) Resolve() ([]string, time.Duration) {
	ttl := min(directoryTTL, g.settings.Load().MaxDirectoryTTL)
	if !g.Ready() {
		return nil, ttl
	}
	return []string{g.self.ClientAddress}, ttl
}
