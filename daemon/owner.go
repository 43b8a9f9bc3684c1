package daemon

import (
	"context"
	"errors"
	"time"

	"bilberrytiller.example/tiller/coordination/permit"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	// maxForwardHops bounds the daemons that a request with a key passes through
	// after the one that its caller sent it to.
	maxForwardHops = 4
	// maxForwardAttempts bounds the tries to reach the owner of a key. Repeated tries
	// are safe, since the owner runs a key once.
	maxForwardAttempts = 3
	forwardRetryDelay  = 50 * time.Millisecond
	// settleTimeout is how long a call waits for the verdict on a request that
	// was cancelled or whose deadline has passed.
	settleTimeout = time.Second
	// maxStoredAnswerBytes bounds the answers that are kept for re-sent keys.
	maxStoredAnswerBytes = 64 << 20
)

// runAtOwner takes a request with a key to the owner of the key.
//
// Nothing is decided on the way to the owner: an earlier copy of the request
// may have run, so only the owner can say that it did not.
func (d *Daemon) runAtOwner(ctx context.Context, req *request.Request) request.Answer {
	key, err := d.keyIssuer.Parse(req.Key)
	if errors.Is(err, permit.ErrInvalidSignature) {
		// The key may be one of an earlier secret, whose request has run.
		return request.UnknownAnswer(request.ReasonKeyInvalid, err.Error())
	}
	if err != nil {
		return request.NotRunAnswer(request.ReasonKeyInvalid, err.Error())
	}
	if service := d.catalogue.Load().Service(req.Service); service != nil {
		applyServiceClass(req, service, time.Now())
	}
	if req.Deadline.IsZero() {
		req.Deadline = time.Now().Add(catalogue.MaxDeadline)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	return d.runOrForward(ctx, key, req, 0)
}

// runOrForward runs a request here if this daemon owns its key, or else takes
// it to the owner.
func (d *Daemon) runOrForward(ctx context.Context, key permit.Key, req *request.Request, hops int) request.Answer {
	if key.Expired(time.Now()) {
		return request.UnknownAnswer(request.ReasonKeyExpired, permit.ErrExpired.Error())
	}
	if !d.keys.Owns(key.Owner) {
		return d.forwardToOwner(ctx, key, req, hops)
	}
	run, first, err := d.keys.Begin(key, req, time.Now())
	if errors.Is(err, permit.ErrFrozen) {
		return d.forwardAfterHandover(ctx, key, req, hops)
	}
	if err != nil {
		return keyErrorAnswer(err)
	}
	if first {
		end := d.runs.Begin()
		go func() {
			defer end()
			d.executeRun(key, run, req)
		}()
	}
	return d.awaitRun(ctx, run, first)
}

// forwardToOwner sends a request to the owner of its key. An owner that cannot be
// reached may have run an earlier copy of the request, so the outcome of a
// failed call is unknown in every case.
func (d *Daemon) forwardToOwner(ctx context.Context, key permit.Key, req *request.Request, hops int) request.Answer {
	if hops >= maxForwardHops {
		return request.UnknownAnswer(request.ReasonOwnerGone, "key passed through too many daemons")
	}
	answer := request.UnknownAnswer(request.ReasonOwnerGone, key.Owner)
	for range maxForwardAttempts {
		owner, err := d.keySuccessors.Resolve(key.Owner)
		if err != nil {
			return request.UnknownAnswer(request.ReasonOwnerGone, err.Error())
		}
		var answered bool
		if answer, answered = d.tryForward(ctx, owner, req, hops); answered || !sleep.For(ctx, forwardRetryDelay) {
			break
		}
	}
	return answer
}

// tryForward makes one try to have an incarnation run a request. It reports
// whether the incarnation answered.
func (d *Daemon) tryForward(ctx context.Context, owner string, req *request.Request, hops int) (request.Answer, bool) {
	m, ok := d.view.Load().ByIncarnation(owner)
	if !ok || m.ID == d.self.ID {
		return request.UnknownAnswer(request.ReasonOwnerGone, owner), false
	}
	if err := d.links.request(ctx, m, req); err != nil {
		// The owner may have run an earlier copy.
		return request.UnknownAnswer(request.ReasonLink, err.Error()), false
	}
	in := &wire.Run{Request: wire.NewRequest(req, time.Now()), Owner: owner, Hops: hops + 1}
	out, err := peer.CallWithGrace[wire.RunReply](ctx, d.peerClient, m.Peer, wire.TypeRun, in, settleTimeout)
	if err != nil {
		return request.UnknownAnswer(request.ReasonPeerUnreachable, m.ID+": "+err.Error()), false
	}
	return out.Answer, true
}

// answerRun runs a request whose key this daemon owns.
func (d *Daemon) answerRun(ctx context.Context, _ string, in *wire.Run) (*wire.RunReply, error) {
	if in.Owner != d.self.Incarnation {
		return nil, permit.ErrOtherIncarnation
	}
	req := in.Request.ToRequest(time.Now())
	key, err := d.keyIssuer.Parse(req.Key)
	if err != nil {
		return &wire.RunReply{Answer: request.UnknownAnswer(request.ReasonKeyInvalid, err.Error())}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	return &wire.RunReply{Answer: d.runOrForward(ctx, key, req, in.Hops)}, nil
}

// executeRun runs a request to its end. While the request waits for its place
// it is given up when all its callers have gone away.
func (d *Daemon) executeRun(key permit.Key, run *permit.Run, req *request.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-run.Abandoned():
			cancel()
		case <-ctx.Done():
		}
	}()
	d.keys.Finish(key, run, d.validateAndRoute(ctx, req))
}

// awaitRun waits for the end of a run. When ctx ends first it leaves the run
// and waits a little for the verdict on a request that was still queued.
func (d *Daemon) awaitRun(ctx context.Context, run *permit.Run, first bool) request.Answer {
	select {
	case <-run.Done():
	case <-ctx.Done():
	}
	d.keys.StopWaiting(run)
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout/2)
	defer cancel()
	select {
	case <-run.Done():
		return answerOfRun(run, first)
	case <-grace.Done():
		return request.UnknownAnswer(request.ReasonDeadline, "still running")
	}
}

func answerOfRun(run *permit.Run, first bool) request.Answer {
	answer := run.Answer()
	if !first && answer.Outcome == request.OutcomeDone && answer.Reason != request.ReasonAnswerNotKept {
		answer.Reason = request.ReasonReplayed
	}
	return answer
}

func keyErrorAnswer(err error) request.Answer {
	switch {
	case errors.Is(err, permit.ErrExpired):
		return request.UnknownAnswer(request.ReasonKeyExpired, err.Error())
	case errors.Is(err, permit.ErrKeyReused):
		return request.NotRunAnswer(request.ReasonKeyReused, err.Error())
	case errors.Is(err, permit.ErrTableFull):
		// Nothing is recorded of this copy, and another one may still come.
		return request.UnknownAnswer(request.ReasonQueueFull, err.Error())
	}
	return request.UnknownAnswer(request.ReasonOwnerGone, err.Error())
}
