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
	// linkWaitTimeout is how long a request waits for bandwidth on a link.
	// Answers wait without a limit.
	linkWaitTimeout = 300 * time.Millisecond
	// linkPollPeriod is how often queued messages are checked.
	linkPollPeriod = 5 * time.Millisecond
	// linkChunksPerWindow is the number of chunks that a link's bytes per
	// window, one second, are divided into. A message that is larger than a
	// chunk is counted in several chunks.
	linkChunksPerWindow = 16
	// messageOverheadBytes is the size of a message without its variable
	// fields.
	messageOverheadBytes = 512
)

// linkPolicy is the usage policy of a link's bytes: each is in use for one
// window.
var linkPolicy = limit.UsePolicy{MaxDuration: link.Window}

// links schedules the requests and answers that are sent to other regions.
type links struct {
	d      *Daemon
	mu     sync.Mutex
	queues map[string]*linkQueue
}

// linkQueue is the queue of messages to one other region.
type linkQueue struct {
	mu        sync.Mutex
	scheduler link.Scheduler
	polling   bool
	// demandCounted is the message whose wait was already counted as demand.
	demandCounted *link.Message
}

func newLinks(d *Daemon) *links { return &links{d: d, queues: map[string]*linkQueue{}} }

// regionGroup returns the group of the limits that the daemons of a region
// share.
func regionGroup(region string) string { return "region." + region }

func linkLimitID(from, to string) limitID { return limitID{regionGroup(from), "link/" + to} }

// setLinkLimits sets the limits of the links from this region. The lock must be
// held.
func (l *limits) setLinkLimits(set *catalogue.Set) {
	own := l.d.self.Region
	for _, entry := range set.Links() {
		if other, ok := entry.OtherEnd(own); ok {
			l.setLimit(linkLimitID(own, other), link.BytesPerWindow(entry.CapMbit), linkPolicy)
		}
	}
}

// LinkError reports the link that had no bandwidth left for a request.
type LinkError struct{ From, To string }

func (e *LinkError) Error() string { return fmt.Sprintf("link from %s to %s is full", e.From, e.To) }

// awaitRequestBandwidth waits for the bandwidth to send a request to a peer. It
// returns a *LinkError after linkWaitTimeout or when ctx ends.
func (l *links) awaitRequestBandwidth(ctx context.Context, to membership.Member, req *request.Request) error {
	ctx, cancel := context.WithTimeout(ctx, linkWaitTimeout)
	defer cancel()
	return l.awaitBandwidth(ctx, to.Region, req.Rank, requestBytes(req))
}

// awaitAnswerBandwidth waits, without a time limit, for the bandwidth to send an
// answer to the peer with host ID from.
func (l *links) awaitAnswerBandwidth(from string, rank request.Rank, answer request.Answer) {
	m, ok := l.d.view.Load().Member(from)
	if !ok {
		return
	}
	// The wait cannot fail, since the context never ends.
	_ = l.awaitBandwidth(context.Background(), m.Region, rank, answerBytes(answer))
}

// awaitBandwidth returns when a message may be sent to a region. It returns a
// *LinkError if ctx ends first.
func (l *links) awaitBandwidth(ctx context.Context, region string, rank request.Rank, bytes int) error {
	own := l.d.self.Region
	if region == own {
		return nil
	}
	quota := l.d.limits.activeQuota(linkLimitID(own, region))
	if quota == nil {
		return nil
	}
	l.d.limits.awaitShares(ctx, quota.id.group)
	units := l.d.limits.unitsOf(quota)
	if units == 0 {
		return nil
	}
	chunk := max(1, units/linkChunksPerWindow)
	for ; bytes > 0; bytes -= chunk {
		if !l.queueTo(region).await(ctx, l.d.limits, quota, link.NewMessage(rank, min(bytes, chunk))) {
			l.d.metrics.linkRefused.Add(1)
			return &LinkError{From: own, To: region}
		}
	}
	return nil
}

// queueTo returns the queue to a region.
func (l *links) queueTo(region string) *linkQueue {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.queues[region]; !ok {
		l.queues[region] = &linkQueue{}
	}
	return l.queues[region]
}

// await queues a message and waits until it may be sent. It returns false if
// ctx ends first.
func (q *linkQueue) await(ctx context.Context, limits *limits, quota *sharedQuota, msg *link.Message) bool {
	q.mu.Lock()
	q.scheduler.Enqueue(msg)
	q.grantNext(limits, quota)
	if q.scheduler.QueueLen() > 0 && !q.polling {
		q.polling = true
		go q.pollUntilEmpty(limits, quota)
	}
	q.mu.Unlock()
	select {
	case <-msg.Ready:
		return true
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.scheduler.Remove(msg)
}

// pollUntilEmpty grants messages as bandwidth becomes available, until the
// queue is empty.
func (q *linkQueue) pollUntilEmpty(limits *limits, quota *sharedQuota) {
	for {
		time.Sleep(linkPollPeriod)
		limits.startBorrowRound(quota)
		q.mu.Lock()
		q.grantNext(limits, quota)
		if q.scheduler.QueueLen() == 0 {
			q.polling = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
	}
}

// grantNext grants queued messages in order while there is bandwidth for them.
// The lock must be held.
func (q *linkQueue) grantNext(limits *limits, quota *sharedQuota) {
	for {
		now := time.Now()
		msg := q.scheduler.Next(now)
		// A link whose limit was removed has bandwidth for all.
		if msg == nil || limits.unitsOf(quota) > 0 && !q.acquire(quota, msg, now) {
			return
		}
		q.scheduler.Grant(msg, now)
	}
}

// acquire acquires the bytes of a message. A message that has to wait is
// counted as demand only once. The lock must be held.
func (q *linkQueue) acquire(quota *sharedQuota, msg *link.Message, now time.Time) bool {
	end := now.Add(link.Window)
	if q.demandCounted == msg && !quota.CanAcquire(now, msg.Bytes, end) {
		return false
	}
	if quota.Acquire(now, msg.Bytes, end) {
		return true
	}
	q.demandCounted = msg
	return false
}

// ranked is a call that carries a request with a rank.
type ranked interface{ Rank() request.Rank }

// limitAnswerBandwidth makes the answers of a handler wait for bandwidth on
// the link to the peer.
func limitAnswerBandwidth[In any](d *Daemon, handle func(context.Context, string, *In) (*wire.RunReply, error)) func(context.Context, string, *In) (*wire.RunReply, error) {
	return func(ctx context.Context, from string, in *In) (*wire.RunReply, error) {
		out, err := handle(ctx, from, in)
		if call, ok := any(in).(ranked); ok && err == nil {
			d.links.awaitAnswerBandwidth(from, call.Rank(), out.Answer)
		}
		return out, err
	}
}

func requestBytes(req *request.Request) int {
	return messageOverheadBytes + len(req.Body) + len(req.Path) + len(req.Key) + headerBytes(req.Header)
}

func answerBytes(answer request.Answer) int {
	return messageOverheadBytes + len(answer.Body) + len(answer.Detail) + headerBytes(answer.Header)
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
