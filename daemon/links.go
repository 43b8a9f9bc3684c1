package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/limit"
	"bilberrytiller.example/tiller/coordination/link"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
)

const (
	// linkWait bounds the wait of a request to cross a link. Answers wait as
	// long as it takes.
	linkWait = 300 * time.Millisecond
	// linkPeriod is the time between two looks at the messages that wait.
	linkPeriod = 5 * time.Millisecond
	// linkParts is the number of parts that a second's bytes of a link are
	// divided into. Larger messages are counted in several parts.
	linkParts = 16
	// frameBytes is what a message takes besides its fields.
	frameBytes = 512
)

// linkTerms are the terms of the bytes that may cross in a window.
var linkTerms = limit.UsePolicy{MaxDuration: link.Window}

// links orders the requests and answers that leave this region.
type links struct {
	d          *Daemon
	mu         sync.Mutex
	directions map[string]*direction
}

// direction is the way to one other region.
type direction struct {
	mu      sync.Mutex
	gate    link.Scheduler
	pumping bool
	// missed is the message whose wait was counted as demand.
	missed *link.Message
}

func newLinks(d *Daemon) *links { return &links{d: d, directions: map[string]*direction{}} }

// groupRegion is the group of the limits that the daemons of a region share.
func groupRegion(region string) string { return "region." + region }

func linkID(from, to string) limitID { return limitID{groupRegion(from), "link/" + to} }

// setLinks sets the limits of the links out of this region.
func (l *limits) setLinks(set *catalogue.Set) {
	own := l.d.self.Region
	for _, e := range set.Links() {
		if other, ok := e.OtherEnd(own); ok {
			l.setLimit(linkID(own, other), link.BytesPerWindow(e.CapMbit), linkTerms)
		}
	}
}

// LinkError says which link a request found no room on.
type LinkError struct{ From, To string }

func (e *LinkError) Error() string { return fmt.Sprintf("link from %s to %s is full", e.From, e.To) }

// request waits a short time for room for a request to a peer.
func (l *links) request(ctx context.Context, to membership.Member, req *request.Request) error {
	ctx, cancel := context.WithTimeout(ctx, linkWait)
	defer cancel()
	return l.cross(ctx, to.Region, req.Rank, requestBytes(req))
}

// answer waits for room for an answer to a peer.
func (l *links) answer(from string, rank request.Rank, answer request.Answer) {
	m, ok := l.d.view.Load().Member(from)
	if !ok {
		return
	}
	// Without an end of its context the wait cannot fail.
	_ = l.cross(context.Background(), m.Region, rank, answerBytes(answer))
}

// cross returns when a message may cross to a region, or a *LinkError when
// ctx ends before.
func (l *links) cross(ctx context.Context, region string, rank request.Rank, bytes int) error {
	own := l.d.self.Region
	if region == own {
		return nil
	}
	a := l.d.limits.account(linkID(own, region))
	if a == nil {
		return nil
	}
	l.d.limits.awaitShares(ctx, a.id.group)
	part := max(1, l.d.limits.unitsOf(a)/linkParts)
	for ; bytes > 0; bytes -= part {
		if !l.direction(region).cross(ctx, l.d.limits, a, link.NewMessage(rank, min(bytes, part))) {
			l.d.metrics.linkRefused.Add(1)
			return &LinkError{From: own, To: region}
		}
	}
	return nil
}

func (l *links) direction(region string) *direction {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.directions[region]; !ok {
		l.directions[region] = &direction{}
	}
	return l.directions[region]
}

func (dir *direction) cross(ctx context.Context, limits *limits, a *account, w *link.Message) bool {
	dir.mu.Lock()
	dir.gate.Enqueue(w)
	dir.pump(limits, a)
	if dir.gate.QueueLen() > 0 && !dir.pumping {
		dir.pumping = true
		go dir.keepPumping(limits, a)
	}
	dir.mu.Unlock()
	select {
	case <-w.Ready:
		return true
	case <-ctx.Done():
	}
	dir.mu.Lock()
	defer dir.mu.Unlock()
	return !dir.gate.Remove(w)
}

// keepPumping lets messages cross until none waits.
func (dir *direction) keepPumping(limits *limits, a *account) {
	for {
		time.Sleep(linkPeriod)
		limits.borrowRound(a)
		dir.mu.Lock()
		dir.pump(limits, a)
		if dir.gate.QueueLen() == 0 {
			dir.pumping = false
			dir.mu.Unlock()
			return
		}
		dir.mu.Unlock()
	}
}

// pump lets those messages cross for which there is room. The lock must be
// held.
func (dir *direction) pump(limits *limits, a *account) {
	for {
		now := time.Now()
		w := dir.gate.Next(now)
		if w == nil || !dir.take(a, w, now) {
			return
		}
		dir.gate.Grant(w, now)
	}
}

// take takes the bytes of a message. One that has to wait counts as demand
// once.
func (dir *direction) take(a *account, w *link.Message, now time.Time) bool {
	end := now.Add(link.Window)
	if dir.missed == w && !a.CanAcquire(now, w.Bytes, end) {
		return false
	}
	if a.Acquire(now, w.Bytes, end) {
		return true
	}
	dir.missed = w
	return false
}

// ranked is a call that carries work of a rank.
type ranked interface{ Rank() request.Rank }

// overLink has the answers of a handler wait for room on the link to the peer.
func overLink[In any](d *Daemon, h func(context.Context, string, *In) (*wire.RunReply, error)) func(context.Context, string, *In) (*wire.RunReply, error) {
	return func(ctx context.Context, from string, in *In) (*wire.RunReply, error) {
		out, err := h(ctx, from, in)
		if call, ok := any(in).(ranked); ok && err == nil {
			d.links.answer(from, call.Rank(), out.Answer)
		}
		return out, err
	}
}

func requestBytes(req *request.Request) int {
	return frameBytes + len(req.Body) + len(req.Path) + len(req.Key) + headerBytes(req.Header)
}

func answerBytes(a request.Answer) int {
	return frameBytes + len(a.Body) + len(a.Detail) + headerBytes(a.Header)
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}
