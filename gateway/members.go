package gateway

import (
	"sync"
	"time"
)

// answerTTL is how long clients keep an answer of the directory.
const answerTTL = 2 * time.Second

// members are the daemons of the fleet as the platform lists them.
type members struct {
	self Member

	mu  sync.Mutex
	all []Member
}

func newMembers(self Member) *members { return &members{self: self, all: []Member{self}} }

// TakeMembers replaces the list of daemons.
func (g *Gateway) TakeMembers(all []Member) {
	g.members.mu.Lock()
	defer g.members.mu.Unlock()
	g.members.all = all
}

// count returns the number of daemons that share the fleet's limits.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, len(m.all))
}

// Resolve returns where clients connect, and how long they may keep that. Each
// daemon names only itself, of which alone it is sure: clients ask the
// directories nearest to them, so they are spread and stay near, and no
// daemon that died is ever named beside one that runs.
func (g *Gateway) Resolve() ([]string, time.Duration) {
	ttl := min(answerTTL, g.settings.Load().MaxAnswerTTL)
	if !g.Ready() {
		return nil, ttl
	}
	return []string{g.self.ClientAddress}, ttl
}
