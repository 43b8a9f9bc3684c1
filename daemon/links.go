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
	// linkWaitTimeout bounds the wait of a request to cross a link. Answers wait as
	// long as it takes.
	linkWaitTimeout = 300 * time.Millisecond
	// linkPollInterval is the time between two looks at the messages that wait.
	linkPollInterval = 5 * time.Millisecond
	// linkChunksPerWindow is the number of parts that a second's bytes of a link are
	// divided into. Larger messages are counted in several parts.
	linkChunksPerWindow = 16
	// messageOverheadBytes is what a message takes besides its fields.
	messageOverheadBytes = 512
)

// linkPolicy are the terms of the bytes that may cross in a window.
var linkPolicy = limit.UsePolicy{MaxDuration: link.Window}

// links orders the requests and answers that leave this region.
type links struct {
	d      *Daemon
	mu     sync.Mutex
	queues map[string]*linkQueue
}

// linkQueue is the way to one other region.
type linkQueue struct {
	mu        sync.Mutex
	scheduler link.Scheduler
	polling   bool
	// demandCounted is the message whose wait was counted as demand.
	demandCounted *link.Message
}

func newLinks(d *Daemon) *links { return &links{d: d, queues: map[string]*linkQueue{}} }

// regionGroup is the group of the limits that the daemons of a region share.
func regionGroup(region string) string { return "region." + region }

func linkLimitID(from, to string) limitID { return limitID{regionGroup(from), "link/" + to} }

// setLinkLimits sets the limits of the links out of this region.
func (l *limits) setLinkLimits(set *catalogue.Set) {
	own := l.d.self.Region
	for _, e := range set.Links() {
		if other, ok := e.OtherEnd(own); ok {
			l.setLimit(linkLimitID(own, other), link.BytesPerWindow(e.CapMbit), linkPolicy)
		}
	}
}

// LinkError says which link a request found no room on.
type LinkError struct{ From, To string }

func (e *LinkError) Error() string { return fmt.Sprintf("link from %s to %s is full", e.From, e.To) }

// request waits a short time for room for a request to a peer.
func (l *links) request(ctx context.Context, to membership.Member, req *request.Request) error {
	ctx, cancel := context.WithTimeout(ctx, linkWaitTimeout)
	defer cancel()
	return l.awaitBandwidth(ctx, to.Region, req.Rank, requestBytes(req))
}

// answer waits for room for an answer to a peer.
func (l *links) answer(from string, rank request.Rank, answer request.Answer) {
	m, ok := l.d.view.Load().Member(from)
	if !ok {
		return
	}
	// Without an end of its context the wait cannot fail.
	_ = l.awaitBandwidth(context.Background(), m.Region, rank, answerBytes(answer))
}

// awaitBandwidth returns when a message may cross to a region, or a *LinkError when
// ctx ends before.
func (l *links) awaitBandwidth(ctx context.Context, region string, rank request.Rank, bytes int) error {
	own := l.d.self.Region
	if region == own {
		return nil
	}
	a := l.d.limits.account(linkLimitID(own, region))
	if a == nil {
		return nil
	}
	l.d.limits.awaitShares(ctx, a.id.group)
	part := max(1, l.d.limits.unitsOf(a)/linkChunksPerWindow)
	for ; bytes > 0; bytes -= part {
		if !l.direction(region).await(ctx, l.d.limits, a, link.NewMessage(rank, min(bytes, part))) {
			l.d.metrics.linkRefused.Add(1)
			return &LinkError{From: own, To: region}
		}
	}
	return nil
}

func (l *links) direction(region string) *linkQueue {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.queues[region]; !ok {
		l.queues[region] = &linkQueue{}
	}
	return l.queues[region]
}

func (dir *linkQueue) await(ctx context.Context, limits *limits, a *sharedQuota, w *link.Message) bool {
	dir.mu.Lock()
	dir.scheduler.Enqueue(w)
	dir.grantNext(limits, a)
	if dir.scheduler.QueueLen() > 0 && !dir.polling {
		dir.polling = true
		go dir.pollUntilEmpty(limits, a)
	}
	dir.mu.Unlock()
	select {
	case <-w.Ready:
		return true
	case <-ctx.Done():
	}
	dir.mu.Lock()
	defer dir.mu.Unlock()
	return !dir.scheduler.Remove(w)
}

// pollUntilEmpty lets messages cross until none waits.
func (dir *linkQueue) pollUntilEmpty(limits *limits, a *sharedQuota) {
	for {
		time.Sleep(linkPollInterval)
		limits.startBorrowRound(a)
		dir.mu.Lock()
		dir.grantNext(limits, a)
		if dir.scheduler.QueueLen() == 0 {
			dir.polling = false
			dir.mu.Unlock()
			return
		}
		dir.mu.Unlock()
	}
}

// grantNext lets those messages cross for which there is room. The lock must be
// held.
func (dir *linkQueue) grantNext(limits *limits, a *sharedQuota) {
	for {
		now := time.Now()
		w := dir.scheduler.Next(now)
		if w == nil || !dir.acquire(a, w, now) {
			return
		}
		dir.scheduler.Grant(w, now)
	}
}

// acquire takes the bytes of a message. One that has to wait counts as demand
// once.
func (dir *linkQueue) acquire(a *sharedQuota, w *link.Message, now time.Time) bool {
	end := now.Add(link.Window)
	if dir.demandCounted == w && !a.CanAcquire(now, w.Bytes, end) {
		return false
	}
	if a.Acquire(now, w.Bytes, end) {
		return true
	}
	dir.demandCounted = w
	return false
}

// ranked is a call that carries work of a rank.
type ranked interface{ Rank() request.Rank }

// limitAnswerBandwidth has the answers of a handler wait for room on the link to the peer.
func limitAnswerBandwidth[In any](d *Daemon, h func(context.Context, string, *In) (*wire.RunReply, error)) func(context.Context, string, *In) (*wire.RunReply, error) {
	return func(ctx context.Context, from string, in *In) (*wire.RunReply, error) {
		out, err := h(ctx, from, in)
		if call, ok := any(in).(ranked); ok && err == nil {
			d.links.answer(from, call.Rank(), out.Answer)
		}
		return out, err
	}
}

func requestBytes(req *request.Request) int {
	return messageOverheadBytes + len(req.Body) + len(req.Path) + len(req.Key) + headerBytes(req.Header)
}

func answerBytes(a request.Answer) int {
	return messageOverheadBytes + len(a.Body) + len(a.Detail) + headerBytes(a.Header)
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
