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
	crashRecordedVersion uint64 = 1
	crashClearedVersion  uint64 = 2
)

// suspects tracks the requests that backend servers crashed on.
type suspects struct {
	tracker *poison.Tracker
	mu      sync.Mutex
	// locks let one copy of each suspect request run at a time.
	locks map[poison.Digest]*suspectLock
}

type suspectLock struct {
	sem  chan struct{}
	refs int
}

func newSuspects() *suspects {
	return &suspects{tracker: poison.NewTracker(), locks: map[poison.Digest]*suspectLock{}}
}

// lock waits for a request's turn and returns what ends it, or ctx's cause.
func (s *suspects) lock(ctx context.Context, digest poison.Digest) (leave func(), err error) {
	s.mu.Lock()
	g := s.locks[digest]
	if g == nil {
		g = &suspectLock{sem: make(chan struct{}, 1)}
		s.locks[digest] = g
	}
	g.refs++
	s.mu.Unlock()
	select {
	case g.sem <- struct{}{}:
		return func() { <-g.sem; s.unref(digest, g) }, nil
	case <-ctx.Done():
		s.unref(digest, g)
		return nil, context.Cause(ctx)
	}
}

func (s *suspects) unref(digest poison.Digest, g *suspectLock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.refs--
	if g.refs == 0 {
		delete(s.locks, digest)
	}
}

// verdict returns whether a request may run.
func (d *Daemon) verdict(req *request.Request) poison.Verdict {
	if d.suspects.tracker.Empty() {
		return poison.Allowed
	}
	return d.suspects.tracker.Verdict(permit.Digest(req), time.Now())
}

// recordAttemptOutcome learns from the end of an attempt: a server that closed the
// connection of a request that it ran may have crashed on it, and a request
// that was answered is cleared.
func (d *Daemon) recordAttemptOutcome(req *request.Request, upstream string, answer request.Answer) {
	if answer.Outcome == request.OutcomeUnknown && answer.Reason == request.ReasonConnectionClosed {
		d.recordCrash(req, upstream)
	}
	if answer.Outcome == request.OutcomeDone && !d.suspects.tracker.Empty() {
		d.clearCrashes(req)
	}
}

func (d *Daemon) recordCrash(req *request.Request, upstream string) {
	c := poison.Crash{Digest: permit.Digest(req), ID: rand.Text(), Expires: time.Now().Add(poison.CrashTTL)}
	d.log.Warn().Str("event", "poison.charged").Str("request", req.ID).Str("service", req.Service).
		Str("upstream", upstream).Str("digest", hex.EncodeToString(c.Digest[:8])).Send()
	d.metrics.poisonCharged.Add(1)
	d.publishCrash(c, crashRecordedVersion)
}

func (d *Daemon) clearCrashes(req *request.Request) {
	for _, c := range d.suspects.tracker.ActiveCrashes(permit.Digest(req), time.Now()) {
		d.publishCrash(c, crashClearedVersion)
	}
}

// publishCrash returns when the neighbours know, so that the caller, who
// hears of the crash from this daemon, is not faster than the charge.
func (d *Daemon) publishCrash(c poison.Crash, version uint64) {
	body, err := wire.EncodeBody(wire.Crash{Digest: c.Digest, ID: c.ID, Cleared: version == crashClearedVersion})
	if err != nil {
		d.log.Error().Str("event", "poison.encode").Err(err).Send()
		return
	}
	key := hex.EncodeToString(c.Digest[:]) + "/" + c.ID
	d.publishAndWait(spread.Fact{ID: spread.ID{Kind: factCrash, Key: key}, Version: version, ExpiresMs: c.Expires.UnixMilli(), Body: body})
}

func (d *Daemon) applyCrashFacts(facts []spread.Fact) {
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
		return d.runSuspectLocal(ctx, req)
	}
	if err := d.links.awaitRequestBandwidth(ctx, holder, req); err != nil {
		return request.NotRunAnswer(request.ReasonLink, err.Error())
	}
	in := &wire.Run{Request: wire.NewRequest(req, time.Now())}
	out, err := peer.CallWithGrace[wire.RunReply](ctx, d.peerClient, holder.Peer, wire.TypeRunSuspect, in, settleTimeoutOf(req))
	if err != nil {
		return peerFailureAnswer(holder, err)
	}
	return out.Answer
}

// runSuspectLocal waits for the request's turn, looks again whether it may
// run, and offers it to one upstream.
func (d *Daemon) runSuspectLocal(ctx context.Context, req *request.Request) request.Answer {
	leave, err := d.suspects.lock(ctx, permit.Digest(req))
	if err != nil {
		return request.NotRunAnswer(request.ReasonTooLate, err.Error())
	}
	defer leave()
	if d.verdict(req) == poison.Blocked {
		return request.NotRunAnswer(request.ReasonPoison, "backend servers crashed on this request")
	}
	return d.tryBestUpstream(ctx, d.catalogue.Load(), req)
}

func (d *Daemon) answerSuspect(ctx context.Context, _ string, in *wire.Run) (*wire.RunReply, error) {
	return &wire.RunReply{Answer: d.runSuspectLocal(ctx, in.Request.ToRequest(time.Now()))}, nil
}

// checkPoison tells whether a request may be offered to an upstream by itself.
// The answer says what became of a request that may not.
func (d *Daemon) checkPoison(ctx context.Context, req *request.Request) (request.Answer, bool) {
	switch d.verdict(req) {
	case poison.Blocked:
		return request.NotRunAnswer(request.ReasonPoison, "backend servers crashed on this request"), false
	case poison.Suspect:
		return d.runSuspect(ctx, req), false
	}
	return request.Answer{}, true
}
