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
	// maxForwardHops is the maximum number of times that a request with a key
	// is forwarded from one daemon to another.
	maxForwardHops = 4
	// maxForwardAttempts is the maximum number of attempts to reach the owner
	// of a key. Repeating the call is safe, since the owner runs a key only
	// once.
	maxForwardAttempts = 3
	forwardRetryDelay  = 50 * time.Millisecond
	// settleTimeout is how long a call waits for the outcome of a request that
	// was cancelled or whose deadline has passed.
	settleTimeout = time.Second
	// maxStoredAnswerBytes is the maximum total size of the answers that are
	// stored to answer repeated keys.
	maxStoredAnswerBytes = 64 << 20
)

// runAtOwner has a request with a key run by the owner of the key.
//
// Only the owner may say that the request did not run. The daemons on the way
// cannot, because an earlier copy of the request may have run.
func (d *Daemon) runAtOwner(ctx context.Context, req *request.Request) request.Answer {
	key, err := d.keyIssuer.Parse(req.Key)
	if errors.Is(err, permit.ErrInvalidSignature) {
		// The key may have been signed with an earlier secret, and its request
		// may have run.
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

// runOrForward runs a request here if this daemon owns its key, and forwards
// it to the owner otherwise.
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

// forwardToOwner sends a request to the owner of its key. The outcome of a
// failed call is always unknown, because an owner that cannot be reached may
// have run an earlier copy of the request.
func (d *Daemon) forwardToOwner(ctx context.Context, key permit.Key, req *request.Request, hops int) request.Answer {
	if hops >= maxForwardHops {
		return request.UnknownAnswer(request.ReasonOwnerGone, "request was forwarded the maximum number of times without reaching the owner of its key")
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

// tryForward makes one attempt to have an incarnation run a request. It
// reports whether the incarnation answered.
func (d *Daemon) tryForward(ctx context.Context, owner string, req *request.Request, hops int) (request.Answer, bool) {
	m, ok := d.view.Load().ByIncarnation(owner)
	if !ok || m.ID == d.self.ID {
		return request.UnknownAnswer(request.ReasonOwnerGone, owner), false
	}
	if err := d.links.awaitRequestBandwidth(ctx, m, req); err != nil {
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

// answerRun handles a peer's call to run a request whose key this daemon owns.
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

// executeRun runs a request and stores its answer. The request is cancelled if
// all its callers leave while it is still queued.
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

// awaitRun waits for the end of a run. If ctx ends first, it stops waiting as
// a caller of the run, and then waits up to half of settleTimeout for the
// outcome, since a request that is still queued is cancelled when it has no more
// callers.
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
		return request.UnknownAnswer(request.ReasonDeadline, "request is still running")
	}
}

// answerOfRun returns the answer of a run that has ended. An answer that was
// stored for an earlier copy of the request is marked as replayed.
func answerOfRun(run *permit.Run, first bool) request.Answer {
	answer := run.Answer()
	if !first && answer.Outcome == request.OutcomeDone && answer.Reason != request.ReasonAnswerNotKept {
		answer.Reason = request.ReasonReplayed
	}
	return answer
}

// keyErrorAnswer returns the answer to a request for whose key no run could be
// started. Its outcome is unknown unless no copy of it can have run.
func keyErrorAnswer(err error) request.Answer {
	switch {
	case errors.Is(err, permit.ErrExpired):
		return request.UnknownAnswer(request.ReasonKeyExpired, err.Error())
	case errors.Is(err, permit.ErrKeyReused):
		return request.NotRunAnswer(request.ReasonKeyReused, err.Error())
	case errors.Is(err, permit.ErrTableFull):
		// This copy was not recorded, and another copy of the request may
		// still arrive and run.
		return request.UnknownAnswer(request.ReasonQueueFull, err.Error())
	}
	return request.UnknownAnswer(request.ReasonOwnerGone, err.Error())
}
