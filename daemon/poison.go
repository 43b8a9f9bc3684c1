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

// factCrash is the kind of facts that attribute a crash of a backend server to
// a request. Key is the request's digest and the ID of the crash.
const factCrash spread.Kind = "crash"

// Versions of a crash fact.
const (
	crashRecordedVersion uint64 = 1
	crashClearedVersion  uint64 = 2
)

// suspects tracks the requests that backend servers may have crashed on. It is
// safe for concurrent use.
type suspects struct {
	tracker *poison.Tracker
	mu      sync.Mutex
	// locks serialises the copies of each suspect request.
	locks map[poison.Digest]*suspectLock
}

// suspectLock is a lock whose acquisition can be cancelled. It is removed when
// refs, the number of its holders and waiters, is 0.
type suspectLock struct {
	sem  chan struct{}
	refs int
}

func newSuspects() *suspects {
	return &suspects{tracker: poison.NewTracker(""), locks: map[poison.Digest]*suspectLock{}}
}

// lock acquires the lock of a request and returns the function that releases
// it, or the cause of ctx if that ends first.
func (s *suspects) lock(ctx context.Context, digest poison.Digest) (unlock func(), err error) {
	s.mu.Lock()
	l := s.locks[digest]
	if l == nil {
		l = &suspectLock{sem: make(chan struct{}, 1)}
		s.locks[digest] = l
	}
	l.refs++
	s.mu.Unlock()
	select {
	case l.sem <- struct{}{}:
		return func() { <-l.sem; s.unref(digest, l) }, nil
	case <-ctx.Done():
		s.unref(digest, l)
		return nil, context.Cause(ctx)
	}
}

func (s *suspects) unref(digest poison.Digest, l *suspectLock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.refs--
	if l.refs == 0 {
		delete(s.locks, digest)
	}
}

// verdict returns whether a request is allowed, suspect or blocked.
func (d *Daemon) verdict(req *request.Request) poison.Verdict {
	if d.suspects.tracker.Empty() {
		return poison.Allowed
	}
	return d.suspects.tracker.Verdict(permit.Digest(req), time.Now())
}

// recordAttemptOutcome records a crash if the server closed the connection of a
// request that it was running, since it may have crashed on it. If the request
// was answered, its crashes are cleared.
func (d *Daemon) recordAttemptOutcome(req *request.Request, upstream string, answer request.Answer) {
	if answer.Outcome == request.OutcomeUnknown && answer.Reason == request.ReasonConnectionClosed {
		d.recordCrash(req, upstream)
	}
	if answer.Outcome == request.OutcomeDone && !d.suspects.tracker.Empty() {
		d.clearCrashes(req)
	}
}

// recordCrash publishes a crash that may have been caused by a request.
func (d *Daemon) recordCrash(req *request.Request, upstream string) {
	c := poison.Crash{Digest: permit.Digest(req), ID: rand.Text(), Expires: time.Now().Add(poison.CrashTTL)}
	d.log.Warn().Str("event", "poison.charged").Str("request", req.ID).Str("service", req.Service).
		Str("upstream", upstream).Str("digest", hex.EncodeToString(c.Digest[:8])).Send()
	d.metrics.poisonCharged.Add(1)
	d.publishCrash(c, crashRecordedVersion)
}

// clearCrashes publishes that a request did not cause the crashes recorded for
// it.
func (d *Daemon) clearCrashes(req *request.Request) {
	for _, c := range d.suspects.tracker.ActiveCrashes(permit.Digest(req), time.Now()) {
		d.publishCrash(c, crashClearedVersion)
	}
}

// publishCrash publishes a crash fact. It returns when the calls to the
// neighbours have ended, so that a retry by the caller, who learns of the crash
// from this daemon, does not reach them before the fact.
func (d *Daemon) publishCrash(c poison.Crash, version uint64) {
	body, err := wire.EncodeBody(wire.Crash{Digest: c.Digest, ID: c.ID, Cleared: version == crashClearedVersion})
	if err != nil {
		d.log.Error().Str("event", "poison.encode").Err(err).Send()
		return
	}
	key := hex.EncodeToString(c.Digest[:]) + "/" + c.ID
	d.publishAndWait(spread.Fact{ID: spread.ID{Kind: factCrash, Key: key}, Version: version, ExpiresMs: c.Expires.UnixMilli(), Body: body})
}

// applyCrashFacts applies recorded and cleared crashes to the tracker.
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

// runSuspect runs a suspect request on the daemon that holds the duty for its
// digest, which runs the copies of the request one at a time.
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

// runSuspectLocal runs a suspect request while no other copy of it runs here. It
// checks first whether an earlier copy has led to a block, and tries only one
// upstream.
func (d *Daemon) runSuspectLocal(ctx context.Context, req *request.Request) request.Answer {
	unlock, err := d.suspects.lock(ctx, permit.Digest(req))
	if err != nil {
		return request.NotRunAnswer(request.ReasonTooLate, err.Error())
	}
	defer unlock()
	if d.verdict(req) == poison.Blocked {
		return request.NotRunAnswer(request.ReasonPoison, "backend servers crashed on this request")
	}
	return d.tryBestUpstream(ctx, d.catalogue.Load(), req)
}

// answerRunSuspect handles a peer's call to run a suspect request.
func (d *Daemon) answerRunSuspect(ctx context.Context, _ string, in *wire.Run) (*wire.RunReply, error) {
	return &wire.RunReply{Answer: d.runSuspectLocal(ctx, in.Request.ToRequest(time.Now()))}, nil
}

// checkPoison returns true if a request may be sent to upstreams as usual.
// Otherwise it refuses a blocked request, or runs a suspect one, and returns
// the answer.
func (d *Daemon) checkPoison(ctx context.Context, req *request.Request) (request.Answer, bool) {
	switch d.verdict(req) {
	case poison.Blocked:
		return request.NotRunAnswer(request.ReasonPoison, "backend servers crashed on this request"), false
	case poison.Suspect:
		return d.runSuspect(ctx, req), false
	}
	return request.Answer{}, true
}
