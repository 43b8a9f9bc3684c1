package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/transport/upstreamhttp"
)

// logSend logs a send whose outcome is not a successful answer.
func (d *dispatcher) logSend(res sendResult) {
	d.g.requestLog.newEvent("send.ended", true).Str("id", clip(d.req.id)).Str("backend", res.choice.Backend.ID).
		Str("address", res.choice.Backend.Address).Stringer("outcome", res.exchange.Result.Outcome).
		Str("chosen_for", string(res.choice.Reason)).Int("held", res.choice.EstimatedRequests).AnErr("error", res.exchange.Err).Send()
}

// logResult records the result of a request in the metrics and in the log.
func (g *Gateway) logResult(req *clientRequest, d *dispatcher, res result) {
	latency := time.Since(req.arrived)
	status, outcome := 0, "answered"
	if res.answer != nil {
		status = res.answer.Status
	} else {
		status, outcome = res.local.status, res.local.reason
	}
	g.metrics.observe(req.service.Name, outcome, latency)
	if status == http.StatusServiceUnavailable && res.answer == nil {
		g.metrics.refusals.Add(outcome+"."+rankName(req.rank), 1)
	}
	e := g.requestLog.newEvent("request.done", res.answer == nil).Str("id", clip(req.id)).Str("route", req.route.Name).
		Str("service", req.service.Name).Uint64("version", uint64(req.version)).Str("key", clip(req.key)).Str("organisation", req.organisationName()).
		Int("status", status).Str("outcome", outcome).Int("sends", d.sends).Int("connects", d.failedConnects).Dur("ms", latency).Int("rank", req.rank)
	if d.waited > 0 {
		e = e.Dur("waited_ms", d.waited)
	}
	if outcome == reasonCrashes {
		e = e.Str("digest", shortDigest(req.digest()))
	}
	d.addBackendFields(e).Send()
}

// logRateLimit logs the limit that a server names from now on, or that it names
// none any more.
func (g *Gateway) logRateLimit(backend string, limit *upstream.RateLimit) {
	if limit == nil {
		g.log.Info().Str("event", "backend.unlimited").Str("backend", backend).Send()
		return
	}
	g.log.Info().Str("event", "backend.limited").Str("backend", backend).Float64("per_second", float64(*limit)).Send()
}

// logAnnounced logs and counts the start of a server's leaving or pause.
// The first signal of a server that could not be read is logged.
func (g *Gateway) logAnnounced(choice *upstream.Choice, answer *upstreamhttp.Answer) {
	if choice.Announced.Leaving {
		g.metrics.announced.Add("leaving", 1)
		g.log.Info().Str("event", "backend.leaving").Str("backend", choice.Backend.ID).Send()
	}
	if choice.Announced.Paused {
		g.metrics.announced.Add("pause", 1)
		g.requestLog.newEvent("backend.paused", true).Str("backend", choice.Backend.ID).Dur("pause_ms", answer.Signal.Pause).Send()
	}
	if choice.Announced.Unreadable {
		g.log.Warn().Str("event", "backend.signal_unreadable").Str("backend", choice.Backend.ID).Strs("headers", answer.UnreadableSignals).Send()
	}
}

// addBackendFields adds the inputs of the latest server choice to a log line.
func (d *dispatcher) addBackendFields(e *zerolog.Event) *zerolog.Event {
	if d.refusal != nil {
		e = e.Str("nearest", d.refusal.BestCandidate).Int("nearest_held", d.refusal.EstimatedRequests).Dur("retry_after_ms", d.refusal.RetryAfter)
	}
	if d.lastChoice == nil {
		return e
	}
	return e.Str("backend", d.lastChoice.Backend.ID).Str("backend_zone", d.lastChoice.Backend.Zone).
		Str("chosen_for", string(d.lastChoice.Reason)).Int("held", d.lastChoice.EstimatedRequests).Dur("load_age_ms", d.lastChoice.LoadAge)
}
