package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/duty"
	"bilberrytiller.example/tiller/coordination/permit"
	"bilberrytiller.example/tiller/coordination/poison"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/peer"
)

// factCrash is the kind of the facts that charge a crash to a request.
const factCrash spread.Kind = "crash"

// Versions of a crash's fact.
const (
	chargedVersion uint64 = 1
	clearedVersion uint64 = 2
)

// suspects tracks the requests that backend servers crashed on.
type suspects struct {
	tracker *poison.Tracker
	mu      sync.Mutex
	// gates let one copy of each suspect request run at a time.
	gates map[poison.Digest]*gate
}

type gate struct {
	turn  chan struct{}
	users int
}

func newSuspects() *suspects {
	return &suspects{tracker: poison.NewTracker(), gates: map[poison.Digest]*gate{}}
}

// enter waits for a request's turn and returns what ends it, or ctx's cause.
func (s *suspects) enter(ctx context.Context, digest poison.Digest) (leave func(), err error) {
	s.mu.Lock()
	g := s.gates[digest]
	if g == nil {
		g = &gate{turn: make(chan struct{}, 1)}
		s.gates[digest] = g
	}
	g.users++
	s.mu.Unlock()
	select {
	case g.turn <- struct{}{}:
		return func() { <-g.turn; s.unuse(digest, g) }, nil
	case <-ctx.Done():
		s.unuse(digest, g)
		return nil, context.Cause(ctx)
	}
}

func (s *suspects) unuse(digest poison.Digest, g *gate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.users--
	if g.users == 0 {
		delete(s.gates, digest)
	}
}

// verdict returns whether a request may run.
func (d *Daemon) verdict(req *request.Request) poison.Verdict {
	if d.suspects.tracker.Empty() {
		return poison.Allowed
	}
	return d.suspects.tracker.Verdict(permit.Digest(req), time.Now())
}

// judge learns from the end of an attempt: a server that closed the
// connection of a request that it ran may have crashed on it, and a request
// that was answered is cleared.
func (d *Daemon) judge(req *request.Request, upstream string, answer request.Answer) {
	if answer.Outcome == request.OutcomeUnknown && answer.Reason == request.ReasonConnectionClosed {
		d.charge(req, upstream)
	}
	if answer.Outcome == request.OutcomeDone && !d.suspects.tracker.Empty() {
		d.clear(req)
	}
}

func (d *Daemon) charge(req *request.Request, upstream string) {
	c := poison.Crash{Digest: permit.Digest(req), ID: rand.Text(), Expires: time.Now().Add(poison.CrashTTL)}
	d.log.Warn().Str("event", "poison.charged").Str("request", req.ID).Str("service", req.Service).
		Str("upstream", upstream).Str("digest", hex.EncodeToString(c.Digest[:8])).Send()
	d.metrics.poisonCharged.Add(1)
	d.publishCrash(c, chargedVersion)
}

func (d *Daemon) clear(req *request.Request) {
	for _, c := range d.suspects.tracker.ActiveCrashes(permit.Digest(req), time.Now()) {
		d.publishCrash(c, clearedVersion)
	}
}

// publishCrash returns when the neighbours know, so that the caller, who
// hears of the crash from this daemon, is not faster than the charge.
func (d *Daemon) publishCrash(c poison.Crash, version uint64) {
	body, err := wire.EncodeBody(wire.Crash{Digest: c.Digest, ID: c.ID, Cleared: version == clearedVersion})
	if err != nil {
		d.log.Error().Str("event", "poison.encode").Err(err).Send()
		return
	}
	key := hex.EncodeToString(c.Digest[:]) + "/" + c.ID
	d.publishNow(spread.Fact{ID: spread.ID{Kind: factCrash, Key: key}, Version: version, ExpiresMs: c.Expires.UnixMilli(), Body: body})
}

func (d *Daemon) takeCrashes(facts []spread.Fact) {
	for _, f := range facts {
		var crash wire.Crash
		if err := wire.DecodeBody(f.Body, &crash); err != nil {
			d.log.Warn().Str("event", "poison.malformed").Err(err).Send()
			continue
		}
		c := poison.Crash{Digest: crash.Digest, ID: crash.ID, Expires: time.UnixMilli(f.ExpiresMs)}
		if crash.Cleared {
			d.suspects.tracker.ClearCrash(c, time.Now())
		} else {
			d.suspects.tracker.RecordCrash(c, time.Now())
		}
	}
}

// runSuspect runs a copy of a suspect request through the one daemon that
// runs them one at a time.
func (d *Daemon) runSuspect(ctx context.Context, req *request.Request) request.Answer {
	digest := permit.Digest(req)
	holder, ok := duty.Holder(d.view.Load(), "suspect/"+hex.EncodeToString(digest[:]), "")
	if !ok || holder.ID == d.self.ID {
		return d.runSuspectHere(ctx, req)
	}
	if err := d.links.request(ctx, holder, req); err != nil {
		return request.NotRunAnswer(request.ReasonLink, err.Error())
	}
	in := &wire.Run{Request: wire.NewRequest(req, time.Now())}
	out, err := peer.CallSettled[wire.RunReply](ctx, d.peers, holder.Peer, wire.TypeRunSuspect, in, graceOf(req))
	if err != nil {
		return peerFailure(holder, err)
	}
	return out.Answer
}

// runSuspectHere waits for the request's turn, looks again whether it may
// run, and offers it to one upstream.
func (d *Daemon) runSuspectHere(ctx context.Context, req *request.Request) request.Answer {
	leave, err := d.suspects.enter(ctx, permit.Digest(req))
	if err != nil {
		return request.NotRunAnswer(request.ReasonTooLate, err.Error())
	}
	defer leave()
	if d.verdict(req) == poison.Blocked {
		return request.NotRunAnswer(request.ReasonPoison, "backend servers crashed on this request")
	}
	return d.offerBest(ctx, d.catalogue.Load(), req)
}

func (d *Daemon) answerSuspect(ctx context.Context, _ string, in *wire.Run) (*wire.RunReply, error) {
	return &wire.RunReply{Answer: d.runSuspectHere(ctx, in.Request.ToRequest(time.Now()))}, nil
}

// allowed tells whether a request may be offered to an upstream by itself.
// The answer says what became of a request that may not.
func (d *Daemon) allowed(ctx context.Context, req *request.Request) (request.Answer, bool) {
	switch d.verdict(req) {
	case poison.Blocked:
		return request.NotRunAnswer(request.ReasonPoison, "backend servers crashed on this request"), false
	case poison.Suspect:
		return d.runSuspect(ctx, req), false
	}
	return request.Answer{}, true
}
