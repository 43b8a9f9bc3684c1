package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"bilberrytiller.example/tiller/coordination/attempt"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/schedule"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	// maxResends bounds how often an attempt is sent to its holder again after
	// its connection was lost.
	maxResends  = 5
	resendDelay = 100 * time.Millisecond
	// resendGrace is how long a holder waits for another copy of an attempt
	// whose connection was lost before it cancels the attempt.
	resendGrace = 2 * time.Second
)

// errNotHolder is the error of requests that wait for a slot of an upstream when
// this daemon closes its hold on it.
var errNotHolder = errors.New("daemon no longer holds the upstream")

// dispatchToHolder sends an attempt to the holder of an upstream. If the
// request has a key, the attempt is sent again to the same incarnation when its
// connection is lost. The holder runs the attempt only once.
func (d *Daemon) dispatchToHolder(ctx context.Context, holder membership.Member, in *wire.Dispatch, req *request.Request) (*wire.RunReply, error) {
	clock, err := d.peerClient.Clock(ctx, holder.Peer)
	if err != nil {
		return nil, err
	}
	read := time.Now()
	if req.Key == "" {
		in.Request, in.SentBefore = wire.NewRequest(req, read), clock.Latest
		return peer.CallWithGrace[wire.RunReply](ctx, d.peerClient, holder.Peer, wire.TypeDispatch, in, settleTimeoutOf(req))
	}
	in.AttemptID, in.SentAt = rand.Text(), clock.Earliest
	var lost error
	for range 1 + maxResends {
		now := time.Now()
		in.Request, in.SentBefore = wire.NewRequest(req, now), clock.Latest+now.Sub(read)
		out, err := peer.CallWithGrace[wire.RunReply](ctx, d.peerClient, holder.Peer, wire.TypeDispatch, in, settleTimeoutOf(req))
		if err == nil {
			return out, nil
		}
		if !in.Resent && !errors.Is(err, peer.ErrLost) {
			return nil, err
		}
		in.Resent = true
		// The outcome is unknown even if this copy was not sent, since an
		// earlier copy may have run.
		lost = fmt.Errorf("%w: %v", peer.ErrLost, err)
		if !sleep.For(ctx, resendDelay) {
			break
		}
	}
	return nil, lost
}

// answerDispatch runs a request that a peer has sent to this daemon as the
// holder of an upstream.
func (d *Daemon) answerDispatch(ctx context.Context, _ string, in *wire.Dispatch) (*wire.RunReply, error) {
	answer := d.dispatchAttempt(ctx, in, in.ToRequest(d.peerServer.Clock(), time.Now()))
	load := d.heldUpstreams.load(in.Upstream)
	return &wire.RunReply{Answer: answer, Load: wire.Load{
		InUse: load.InUse, Waiting: load.Waiting, MeanServiceTime: load.ServiceTime, Warm: load.Connected, Unreachable: load.Failing,
	}}, nil
}

// dispatchAttempt runs a dispatched request. Copies of an attempt share one
// run, which does not end with the call that started it.
func (d *Daemon) dispatchAttempt(ctx context.Context, in *wire.Dispatch, req *request.Request) request.Answer {
	if in.Holder != d.self.Incarnation {
		return refuseDispatch(in, request.ReasonNotHolder, "dispatch is addressed to another incarnation")
	}
	if in.AttemptID == "" {
		return d.dispatchLocal(ctx, in.Upstream, req)
	}
	run, first, err := d.attempts.Begin(in.AttemptID, d.peerServer.Clock()-in.SentAt, time.Now())
	if errors.Is(err, attempt.ErrStale) {
		return request.UnknownAnswer(request.ReasonPeerLost, in.Upstream+": "+err.Error())
	}
	if err != nil {
		return refuseDispatch(in, request.ReasonQueueFull, err.Error())
	}
	if first {
		end := d.runs.Begin()
		go func() {
			defer end()
			d.attempts.Finish(run, d.dispatchLocal(run.Context(), in.Upstream, req), time.Now())
		}()
	}
	select {
	case <-run.Done():
	case <-ctx.Done():
		d.awaitDetachedAttempt(ctx, run)
	}
	return d.attempts.Answer(run)
}

// refuseDispatch refuses a dispatch. If it is a resent copy, the outcome is
// unknown, since an earlier copy may have run, also at an earlier incarnation.
func refuseDispatch(in *wire.Dispatch, reason request.Reason, detail string) request.Answer {
	if in.Resent {
		return request.UnknownAnswer(request.ReasonPeerLost, in.Upstream+": "+detail)
	}
	return request.NotRunAnswer(reason, in.Upstream+": "+detail)
}

// awaitDetachedAttempt waits for the end of an attempt whose call has ended. If
// the call was cancelled, it cancels the attempt at once. If the connection was
// lost, it does so only if no other copy arrives within resendGrace.
func (d *Daemon) awaitDetachedAttempt(ctx context.Context, run *attempt.Run) {
	if !errors.Is(context.Cause(ctx), peer.ErrCancelled) {
		d.attempts.StopWaiting(run)
		sleep.For(context.WithoutCancel(ctx), resendGrace)
		if d.attempts.HasWaiters(run) {
			return
		}
	}
	run.Cancel()
	<-run.Done()
}

// dispatchLocal runs a request on an upstream that this daemon holds, once a
// slot is free.
func (d *Daemon) dispatchLocal(ctx context.Context, upstream string, req *request.Request) request.Answer {
	set := d.catalogue.Load()
	u := set.Upstream(upstream)
	if u == nil || d.drains.upstreamDraining(upstream) {
		return request.NotRunAnswer(request.ReasonDraining, upstream)
	}
	h := d.heldUpstreams.getOrCreate(u)
	if !d.isHolder(u) || !h.acceptsRequests() {
		return request.NotRunAnswer(request.ReasonNotHolder, upstream)
	}
	queueCtx, cancelQueue := d.drains.contextUntilDrain(ctx, upstream)
	release, err := h.scheduler.Acquire(queueCtx, schedulingClass(set, req), req.Deadline)
	cancelQueue()
	if err != nil {
		return noSlotAnswer(upstream, err)
	}
	// While the request waited, this daemon may have been paused, or another
	// one may have become the holder.
	if !h.isOpen() || !d.mayDispatch(h) {
		release()
		return request.NotRunAnswer(request.ReasonNotHolder, upstream)
	}
	started := time.Now()
	answer := h.run(ctx, req)
	if busy := h.remainingBusyTime(answer, time.Since(started)); busy > 0 {
		time.AfterFunc(busy, release)
	} else {
		release()
	}
	answer.Upstream = upstream
	return answer
}

// schedulingClass returns the properties of a request that schedulers order
// it by.
func schedulingClass(set *catalogue.Set, req *request.Request) schedule.Class {
	class := schedule.Class{Service: req.Service, Owner: req.Owner, Rank: req.Rank}
	if service := set.Service(req.Service); service != nil {
		class.Guaranteed = service.Class.Guaranteed
		class.Worth = service.Class.Worth
	}
	return class
}

// noSlotAnswer returns the outcome of a request that got no slot of a
// scheduler, whose name begins the detail.
func noSlotAnswer(scheduler string, err error) request.Answer {
	reason := request.ReasonTooLate
	switch {
	case errors.Is(err, schedule.ErrQueueFull):
		reason = request.ReasonQueueFull
	case errors.Is(err, errDraining):
		reason = request.ReasonDraining
	case errors.Is(err, errNotHolder):
		reason = request.ReasonNotHolder
	case errors.Is(err, context.Canceled):
		reason = request.ReasonCancelled
	}
	return request.NotRunAnswer(reason, scheduler+": "+err.Error())
}
