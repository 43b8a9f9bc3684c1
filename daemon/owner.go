package daemon

import (
	"context"
	"errors"
	"time"

	"bilberrytiller.example/tiller/coordination/permit"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/peer"
)

// runOnce takes a non-idempotent request to the owner of its key.
func (d *Daemon) runOnce(ctx context.Context, req *request.Request) request.Answer {
	if req.Key == "" {
		return request.Refuse(request.ReasonKeyRequired, "send the key of a look-up in header Tiller-Key")
	}
	key, err := d.issuer.Parse(req.Key)
	if err != nil {
		return request.Refuse(request.ReasonKeyInvalid, err.Error())
	}
	if key.Owner == d.self.Incarnation {
		return d.runOwned(ctx, req)
	}
	return d.forward(ctx, key, req)
}

// forward sends a request to the owner of its key. An owner that cannot be
// reached may have run an earlier copy of the request, so the outcome of a
// failed call is unknown in every case.
func (d *Daemon) forward(ctx context.Context, key permit.Key, req *request.Request) request.Answer {
	owner, ok := d.view.Load().ByIncarnation(key.Owner)
	if !ok {
		return request.Undecided(request.ReasonOwnerGone, key.Owner)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	in := &wire.Run{Request: wire.NewRequest(req, time.Now())}
	out, err := peer.Call[wire.Answered](ctx, d.peers, owner.Peer, wire.TypeRun, in)
	if err != nil {
		return request.Undecided(request.ReasonPeerUnreachable, owner.ID+": "+err.Error())
	}
	return out.Answer
}

// runOwned runs a request whose key names this incarnation, or returns the
// answer of its earlier run.
func (d *Daemon) runOwned(ctx context.Context, req *request.Request) request.Answer {
	key, err := d.issuer.Parse(req.Key)
	if err != nil {
		return request.Refuse(request.ReasonKeyInvalid, err.Error())
	}
	if key.Owner != d.self.Incarnation {
		return request.Undecided(request.ReasonOwnerGone, key.Owner)
	}
	run, first, err := d.keys.Begin(key, req, time.Now())
	if err != nil {
		return refuseKey(err)
	}
	if first {
		end := d.runs.Begin()
		go func() {
			defer end()
			d.runFirst(key, run, req)
		}()
	}
	return awaitRun(ctx, run, first)
}

// runFirst runs a request to its end, also when its caller goes away.
func (d *Daemon) runFirst(key permit.Key, run *permit.Run, req *request.Request) {
	answer := d.place(context.Background(), d.catalogue.Load(), req)
	d.keys.Finish(key, run, answer)
}

func awaitRun(ctx context.Context, run *permit.Run, first bool) request.Answer {
	select {
	case <-run.Done():
	case <-ctx.Done():
		return request.Undecided(request.ReasonDeadline, "still running")
	}
	answer := run.Answer()
	if !first && answer.Outcome == request.Done {
		answer.Reason = request.ReasonReplayed
	}
	return answer
}

func refuseKey(err error) request.Answer {
	switch {
	case errors.Is(err, permit.ErrExpired):
		return request.Undecided(request.ReasonKeyExpired, err.Error())
	case errors.Is(err, permit.ErrReused):
		return request.Refuse(request.ReasonKeyReused, err.Error())
	case errors.Is(err, permit.ErrFull):
		return request.Refuse(request.ReasonQueueFull, err.Error())
	}
	return request.Undecided(request.ReasonStopping, err.Error())
}
