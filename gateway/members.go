package gateway

import (
	"sync"
	"time"
)

const (
	// answerTTL is how long clients keep an answer of the directory.
	answerTTL = 2 * time.Second
	// maxAddresses is the most addresses that clients take from an answer.
	maxAddresses = 64
)

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

// Resolve returns where clients connect, and how long they may keep that.
func (g *Gateway) Resolve(_, _ string) ([]string, time.Duration) {
	ttl := min(answerTTL, g.settings.Load().MaxAnswerTTL)
	if !g.Ready() {
		return nil, ttl
	}
	return []string{g.self.ClientAddress}, ttl
}
