package gateway

import (
	"time"

	"github.com/rs/zerolog"
)

// logSend tells of a send that did not bring an answer.
func (r *run) logSend(f finished) {
	r.g.decisions.line("send.ended", true).Str("id", r.req.id).Str("backend", f.choice.Backend.ID).
		Str("address", f.choice.Backend.Address).Stringer("outcome", f.exchange.Report.Outcome).
		Str("chosen_for", string(f.choice.Reason)).Int("held", f.choice.EstimatedRequests).AnErr("error", f.exchange.Err).Send()
}

// logResult tells how a request ended.
func (g *Gateway) logResult(req *clientRequest, r *run, res result) {
	latency := time.Since(req.arrived)
	status, outcome := 0, "answered"
	if res.answer != nil {
		status = res.answer.Status
	} else {
		status, outcome = res.refused.status, res.refused.reason
	}
	g.metrics.observe(req.service.Name, outcome, latency)
	e := g.decisions.line("request.done", res.answer == nil).Str("id", req.id).Str("route", req.route.Name).
		Str("service", req.service.Name).Uint64("version", uint64(req.version)).Str("key", req.key).
		Int("status", status).Str("outcome", outcome).Int("sends", r.sends).Int("connects", r.connects).Dur("ms", latency)
	if outcome == reasonCrashes {
		e = e.Str("digest", shortDigest(req.digest()))
	}
	r.addChoice(e).Send()
}

// addChoice adds what the last choice of a server went by.
func (r *run) addChoice(e *zerolog.Event) *zerolog.Event {
	if r.refused != nil {
		e = e.Str("nearest", r.refused.BestCandidate).Int("nearest_held", r.refused.EstimatedRequests).Dur("retry_after_ms", r.refused.RetryAfter)
	}
	if r.last == nil {
		return e
	}
	return e.Str("backend", r.last.Backend.ID).Str("backend_zone", r.last.Backend.Zone).
		Str("chosen_for", string(r.last.Reason)).Int("held", r.last.EstimatedRequests).Dur("load_age_ms", r.last.LoadAge)
}
