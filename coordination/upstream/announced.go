package upstream

import (
	"time"

	"bilberrytiller.example/tiller/coordination/affinity"
	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/state/routing"
)

// maxAnnouncements bounds the incarnations without an entry whose announcements are
// remembered. The oldest are forgotten first.
const maxAnnouncements = 4096

// announcements holds the availability of incarnations whose entries are gone, since an
// entry may come back, or a late copy of it arrive.
type announcements struct {
	states map[routing.Incarnation]*availability.State
	order  []routing.Incarnation
}

// keep remembers what a server has announced.
func (a *announcements) keep(srv *server, now time.Time) {
	incarnation := srv.Incarnation()
	if !srv.availability.Memorable(now) {
		return
	}
	if a.states == nil {
		a.states = map[routing.Incarnation]*availability.State{}
	}
	if a.states[incarnation] == nil {
		a.order = append(a.order, incarnation)
	}
	a.states[incarnation] = srv.availability
	for len(a.order) > maxAnnouncements {
		delete(a.states, a.order[0])
		a.order = a.order[1:]
	}
}

// restore gives a server what its incarnation has announced. A request that was sent
// before the entry went may still record what its answer announces.
func (a *announcements) restore(srv *server) {
	if state := a.states[srv.Incarnation()]; state != nil {
		srv.availability = state
	}
}

// recordSignal records what the server announced in an answer. An answer of another
// server at its address announces nothing about it.
func (c *Choice) recordSignal(r Result, now time.Time) {
	if r.Outcome == Misdirected {
		return
	}
	state := c.availability()
	c.Announced = state.Record(r.Signal, c.balancer.random(), now)
	if r.Outcome == Answered || r.Outcome == Failed {
		state.Answered(c.chosenAt, now)
	}
	if c.balancer.servers[c.server.ID] != c.server {
		c.balancer.announcements.keep(c.server, now)
	}
}

// availability returns that of the chosen incarnation, whose entry may have gone, or have
// gone and come back, since the choice.
func (c *Choice) availability() *availability.State {
	current := c.balancer.servers[c.server.ID]
	switch {
	case current == c.server:
	case current != nil && current.Incarnation() == c.server.Incarnation():
		c.server.availability = current.availability
	default:
		c.balancer.announcements.restore(c.server)
	}
	return c.server.availability
}

// MaySend reports whether the request may still be sent to the chosen server. It is
// asked again when the request has waited since it was chosen, such as for a connection.
func (c *Choice) MaySend() bool { return c.maySendAt(time.Now()) }

func (c *Choice) maySendAt(now time.Time) bool {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	return c.availability().MaySend(now)
}

// available reports whether a server that the request may go to may get it now.
func (sel *selection) available(srv *server) bool {
	verdict := srv.availability.Check(sel.returnPlace, sel.now)
	if !verdict.Until.IsZero() && (sel.nextAvailable.IsZero() || verdict.Until.Before(sel.nextAvailable)) {
		sel.nextAvailable = verdict.Until
	}
	switch verdict.Reason {
	case availability.Paused:
		if !sel.paused || verdict.Until.Before(sel.pauseEnds) {
			sel.pauseEnds = verdict.Until
		}
		sel.paused = true
	case availability.Returning:
		sel.returning = append(sel.returning, srv)
	case availability.Leaving, availability.Draining:
		sel.leaving = true
	}
	return verdict.Allowed
}

// returnPlace returns the place of the request's object in the order in which the objects
// of a server return to it. It is the same at all daemons. A request without an object
// gets a random place.
func (b *Balancer) returnPlace(r Request) float64 {
	if r.Key == "" {
		return b.random()
	}
	return affinity.Fraction(affinity.Hash("return", r.Key))
}

// AllPaused reports whether all servers that a request might go to have asked for a
// pause, including those that it was sent to already, and after which time the first of
// them may get requests.
func (b *Balancer) AllPaused(r Request, now time.Time) (after time.Duration, paused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.services[r.Service]
	if svc == nil {
		return 0, false
	}
	return b.allPaused(svc, r, now)
}

func (b *Balancer) allPaused(svc *service, r Request, now time.Time) (after time.Duration, paused bool) {
	r.Tried = nil
	sel := b.newSelection(svc, r, now)
	if len(sel.candidates) > 0 {
		return 0, false
	}
	refusal := sel.refuseWithoutCandidate()
	return refusal.RetryAfter, refusal.Reason == ReasonPaused
}

// refuseWithTruePause returns a refusal because no server may get the request. A server
// that the request was sent to may get it again when the client repeats it, so that the
// retry delay of a pause covers those servers too.
func (b *Balancer) refuseWithTruePause(svc *service, sel *selection) *Refusal {
	refusal := sel.refuseWithoutCandidate()
	if refusal.Reason != ReasonPaused || len(sel.request.Tried) == 0 {
		return refusal
	}
	after, paused := b.allPaused(svc, sel.request, sel.now)
	if !paused {
		after = maxRetryAfter / 4
	}
	refusal.RetryAfter = after
	return refusal
}
