package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"bilberrytiller.example/tiller/coordination/attempt"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	// maxResends bounds how often an attempt is sent again to its holder after
	// a connection was lost.
	maxResends  = 5
	resendDelay = 100 * time.Millisecond
	// resendGrace is how long a holder waits for another copy of an attempt
	// whose connection was lost before it gives the attempt up.
	resendGrace = 2 * time.Second
)

// dispatchToHolder sends an attempt to the holder of an upstream. That of a request
// with a key is sent again to the same incarnation when its connection is
// lost; the holder runs it once.
func (d *Daemon) dispatchToHolder(ctx context.Context, holder membership.Member, in *wire.Dispatch, req *request.Request) (*wire.RunReply, error) {
	if req.Key == "" {
		return peer.CallWithGrace[wire.RunReply](ctx, d.peerClient, holder.Peer, wire.TypeDispatch, in, settleTimeoutOf(req))
	}
	sent, err := d.peerClient.Clock(ctx, holder.Peer)
	if err != nil {
		return nil, err
	}
	in.AttemptID, in.SentAt = rand.Text(), sent
	var lost error
	for range 1 + maxResends {
		in.Request = wire.NewRequest(req, time.Now())
		out, err := peer.CallWithGrace[wire.RunReply](ctx, d.peerClient, holder.Peer, wire.TypeDispatch, in, settleTimeoutOf(req))
		if err == nil {
			return out, nil
		}
		if !in.Resent && !errors.Is(err, peer.ErrLost) {
			return nil, err
		}
		in.Resent = true
		// A copy that was not sent says nothing of the earlier ones.
		lost = fmt.Errorf("%w: %v", peer.ErrLost, err)
		if !sleep.For(ctx, resendDelay) {
			break
		}
	}
	return nil, lost
}

// answerDispatch runs a request on an upstream whose slots this daemon holds.
func (d *Daemon) answerDispatch(ctx context.Context, _ string, in *wire.Dispatch) (*wire.RunReply, error) {
	answer := d.dispatchAttempt(ctx, in, in.Request.ToRequest(time.Now()))
	load := d.holders.load(in.Upstream)
	return &wire.RunReply{Answer: answer, Load: wire.Load{
		InUse: load.InUse, Waiting: load.Waiting, MeanServiceTime: load.ServiceTime, Warm: load.Connected, Unreachable: load.Failing,
	}}, nil
}

func (d *Daemon) dispatchAttempt(ctx context.Context, in *wire.Dispatch, req *request.Request) request.Answer {
	if in.Holder != d.self.Incarnation {
		return refuseDispatch(in, request.ReasonNotHolder, "other incarnation")
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

// refuseDispatch refuses a dispatch. An earlier copy of one that is sent again
// may have run at an earlier incarnation.
func refuseDispatch(in *wire.Dispatch, reason request.Reason, detail string) request.Answer {
	if in.Resent {
		return request.UnknownAnswer(request.ReasonPeerLost, in.Upstream+": "+detail)
	}
	return request.NotRunAnswer(reason, in.Upstream+": "+detail)
}

// awaitDetachedAttempt waits for the end of an attempt whose call has ended. A call
// that was cancelled cancels the attempt at once, one whose connection was
// lost only if no other copy comes.
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
