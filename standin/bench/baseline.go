package bench

import (
	"context"
	"crypto/rand"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/backendhttp"
)

// loadPollInterval is the interval between polls of the load reports. The loads
// that the baseline uses become about this old.
const loadPollInterval = 200 * time.Millisecond

// baseline sends requests straight to the backend servers, without ranks, slot
// limits or slot holders. Its requests avoid the additional hop through a
// daemon.
type baseline struct {
	clients []*backendhttp.Client
	next    atomic.Uint64
	mu      sync.Mutex
	loads   []int
}

func newBaseline(addrs []netip.AddrPort) *baseline {
	b := &baseline{loads: make([]int, len(addrs))}
	for _, addr := range addrs {
		b.clients = append(b.clients, backendhttp.New(addr, 1000))
	}
	return b
}

// roundRobin sends each request to the next server in turn.
func (b *baseline) roundRobin(ctx context.Context, service string) request.Outcome {
	return b.send(ctx, int(b.next.Add(1))%len(b.clients), service)
}

// twoChoices sends each request to the less loaded of two servers, according
// to their load reports.
func (b *baseline) twoChoices(ctx context.Context, service string) request.Outcome {
	n := b.next.Add(1)
	first := int(n) % len(b.clients)
	second := int(n/uint64(len(b.clients))) % len(b.clients)
	b.mu.Lock()
	if b.loads[second] < b.loads[first] {
		first = second
	}
	b.mu.Unlock()
	return b.send(ctx, first, service)
}

// pollLoads polls the load reports until ctx ends.
func (b *baseline) pollLoads(ctx context.Context) {
	for ctx.Err() == nil {
		for i, c := range b.clients {
			if load, err := c.Load(ctx); err == nil {
				b.mu.Lock()
				b.loads[i] = load.InUse
				b.mu.Unlock()
			}
		}
		time.Sleep(loadPollInterval)
	}
}

func (b *baseline) send(ctx context.Context, i int, service string) request.Outcome {
	deadline, _ := ctx.Deadline()
	req := &request.Request{ID: rand.Text(), Service: service, Method: "POST", Body: []byte("load"), Deadline: deadline}
	return b.clients[i].Run(ctx, req).Outcome
}
