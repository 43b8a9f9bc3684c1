package daemon

import (
	"context"
	"errors"
	"sync"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/placement"
	"bilberrytiller.example/tiller/coordination/schedule"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/backendhttp"
)

// holders keeps the upstreams whose slots this daemon schedules.
type holders struct {
	log    zerolog.Logger
	drains *drains
	mu     sync.Mutex
	held   map[string]*held
}

// held is one upstream with its slots and its connections.
type held struct {
	upstream  catalogue.Upstream
	scheduler *schedule.Scheduler
	client    *backendhttp.Client
}

func newHolders(log zerolog.Logger, drains *drains) *holders {
	return &holders{log: log, drains: drains, held: map[string]*held{}}
}

// run waits for a slot of the upstream and runs the request there.
func (h *holders) run(ctx context.Context, u *catalogue.Upstream, req *request.Request) request.Answer {
	held := h.get(u)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	queued, leave := h.drains.whileTaking(ctx, u.Name)
	err := held.scheduler.Acquire(queued, req.Rank)
	leave()
	if errors.Is(err, errDraining) {
		return request.Refuse(request.ReasonNoUpstream, err.Error())
	}
	if err != nil {
		return request.Refuse(request.ReasonTooLate, err.Error())
	}
	defer held.scheduler.Release()
	return held.client.Run(ctx, req)
}

// load returns the load of an upstream that this daemon holds.
func (h *holders) load(upstream string) placement.Load {
	h.mu.Lock()
	held, ok := h.held[upstream]
	h.mu.Unlock()
	if !ok {
		return placement.Load{}
	}
	inUse, waiting := held.scheduler.Load()
	return placement.Load{InUse: inUse, Waiting: waiting}
}

// update takes changes of the catalogue over.
func (h *holders) update(set *catalogue.Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, held := range h.held {
		u := set.Upstream(name)
		if u == nil {
			continue
		}
		held.scheduler.SetSlots(u.Slots)
		if u.Address != held.upstream.Address {
			held.client = backendhttp.New(u.Address, u.Connections)
		}
		held.upstream = *u
	}
}

func (h *holders) get(u *catalogue.Upstream) *held {
	h.mu.Lock()
	defer h.mu.Unlock()
	if found, ok := h.held[u.Name]; ok {
		return found
	}
	created := &held{
		upstream:  *u,
		scheduler: schedule.New(u.Slots),
		client:    backendhttp.New(u.Address, u.Connections),
	}
	h.held[u.Name] = created
	return created
}

// loads keeps the latest known load of each upstream.
type loads struct {
	mu    sync.Mutex
	known map[string]placement.Load
}

func newLoads() *loads { return &loads{known: map[string]placement.Load{}} }

func (l *loads) get(upstream string) placement.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[upstream]
}

func (l *loads) set(upstream string, load placement.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known[upstream] = load
}
