package gateway

import "time"

// answerTTL is how long clients keep an answer of the directory.
const answerTTL = 2 * time.Second

// SetDaemonCount takes the number of daemons that share the fleet's limits.
func (g *Gateway) SetDaemonCount(n int) { g.daemons.Store(int64(n)) }

func (g *Gateway) daemonCount() int { return max(1, int(g.daemons.Load())) }

// Resolve returns where clients connect, and how long they may keep that. Each
// daemon names only itself, of which alone it is sure: clients ask the
// directories nearest to them, so they are spread and stay near, and no
// daemon that died is ever named beside one that runs.
func (g *Gateway) Resolve() ([]string, time.Duration) {
	ttl := min(answerTTL, g.settings.Load().MaxDirectoryTTL)
	if !g.Ready() {
		return nil, ttl
	}
	return []string{g.self.ClientAddress}, ttl
}
