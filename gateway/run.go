package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/state/routing"
	"bilberrytiller.example/tiller/transport/upstreamhttp"
)

// reasonCrashes says that servers crashed on the request.
const reasonCrashes = "crashes_servers"

// maxConnects is how many servers that take no connection one request tries.
const maxConnects = 4

// result is how a request ended: with a server's answer, or with one of the
// gateway's own.
type result struct {
	answer  *upstreamhttp.Answer
	refused *refused
}

// run is the sends of one request.
type run struct {
	g   *Gateway
	req *clientRequest

	tried []routing.Incarnation
	// sheds counts the servers that did not run the request although they were
	// thought to have room.
	sheds int
	// sends counts the servers that the request may have reached, connects
	// those that took no connection.
	sends, connects int
	pending         int
	// mayHaveRun says that a server may have run the request.
	mayHaveRun bool
	// fallback is a server's failure, delivered if no better answer comes.
	fallback *upstreamhttp.Answer
	finished chan finished
	// last is the choice made last, refused why there was no other.
	last    *upstream.Choice
	refused *upstream.Refusal
}

// finished is a send that ended.
type finished struct {
	choice   *upstream.Choice
	exchange upstreamhttp.Exchange
}

// serve sends the request until it has an answer, or none can come any more.
func (r *run) serve(ctx context.Context) result {
	ctx, cancel := context.WithDeadline(ctx, r.req.deadline)
	defer cancel()
	r.finished = make(chan finished, r.req.route.MaxAttempts+maxConnects)
	r.g.retries.RecordRequest(r.req.service.Name, r.req.arrived)
	if refusal := r.send(ctx); refusal != nil {
		return result{refused: refusal}
	}
	hedge, stopHedge := r.hedgeTimer()
	defer stopHedge()
	for {
		select {
		case f := <-r.finished:
			r.pending--
			if answer := r.take(f); answer != nil {
				return result{answer: answer}
			}
			refusal := r.again(ctx)
			if refusal != nil && r.pending == 0 {
				return r.end(refusal)
			}
		case <-hedge:
			// Without a second server the first one is waited for.
			_ = r.again(ctx)
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return r.end(r.ended("client_gone"))
			}
			return r.end(r.timedOut())
		}
	}
}

// hedgeFactor times its latency objective is how long an idempotent request
// waits before a second server is asked.
const hedgeFactor = 2.5

// hedgeTimer fires when a second server is to be asked beside the first. It
// never does for a request that must run once.
func (r *run) hedgeTimer() (fires <-chan time.Time, stop func()) {
	if !r.req.route.Idempotent || r.req.route.LatencyObjective <= 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Duration(hedgeFactor * float64(r.req.route.LatencyObjective)))
	return timer.C, func() { timer.Stop() }
}

// again sends the request to another server, if that is allowed.
func (r *run) again(ctx context.Context) *refused {
	switch {
	case (r.mayHaveRun || r.pending > 0) && !r.req.route.Idempotent:
		return r.ended("may_have_run")
	case r.sends >= r.req.route.MaxAttempts || r.connects >= maxConnects:
		return r.ended("attempts_used")
	case ctx.Err() != nil:
		return r.timedOut()
	case r.sends > 0 && !r.g.retries.AllowRetry(r.req.service.Name, r.g.daemonCount(), time.Now()):
		return r.ended("retry_budget")
	}
	return r.send(ctx)
}

// send chooses a server and sends the request to it.
func (r *run) send(ctx context.Context) *refused {
	now := time.Now()
	if !now.Before(r.req.deadline) {
		return r.timedOut()
	}
	if r.g.crashes.blocks(r.req, now) {
		return r.refuse(reasonCrashes, retryAfterCrashes)
	}
	choice, refusal := r.g.upstreams.Choose(upstream.Request{
		Service: r.req.service.Name, Key: r.req.key, Route: r.req.route, Tried: r.tried,
		ObjectiveLeft: r.req.route.LatencyObjective - now.Sub(r.req.arrived), TimeLeft: r.req.deadline.Sub(now),
		ColdRate: r.req.service.ColdRate, DaemonCount: r.g.daemonCount(),
	}, now)
	if refusal != nil {
		r.refused = refusal
		return r.refuse(string(refusal.Reason), refusal.RetryAfter)
	}
	r.last = choice
	r.tried = append(r.tried, choice.Backend.Incarnation())
	r.sends++
	r.pending++
	message := r.req.message
	message.ServerID = choice.Backend.ID
	message.MaxIdle = maxIdle(r.req.service, r.g.daemonCount())
	go func() {
		exchange := r.g.client.Run(ctx, choice.Backend.Address, &message)
		choice.Done(exchange.Report, time.Now())
		r.finished <- finished{choice, exchange}
	}()
	return nil
}

const (
	// maxIdleConns bounds the idle connections to one server.
	maxIdleConns = 64
	// idlePart is the part of a server's connections that may be idle, of all
	// daemons together. The rest is for requests in flight.
	idlePart = 0.5
)

// maxIdle returns how many idle connections a daemon keeps to a server. Beyond
// its bound a server resets connections, and a payment sent on one is unknown.
func maxIdle(s routing.Service, daemons int) int {
	if s.MaxConnections <= 0 {
		return maxIdleConns
	}
	return min(maxIdleConns, max(1, int(idlePart*float64(s.MaxConnections))/daemons))
}

// take records how a send ended and returns the answer to deliver, if there
// is one.
func (r *run) take(f finished) *upstreamhttp.Answer {
	r.g.crashes.take(r.req, f, time.Now())
	r.g.metrics.sends.Add(f.exchange.Report.Outcome.String(), 1)
	if f.exchange.Report.Outcome != upstream.Answered {
		r.logSend(f)
	}
	if !f.exchange.Sent {
		r.sends--
		r.connects++
		return nil
	}
	answer := f.exchange.Answer
	if answer == nil {
		r.mayHaveRun = true
		return nil
	}
	if len(answer.Unreadable) > 0 {
		r.g.decisions.line("answer.header_unreadable", true).Str("id", r.req.id).Str("backend", f.choice.Backend.ID).
			Strs("headers", answer.Unreadable).Send()
	}
	if answer.NotRun {
		r.takeShed(f)
		return nil
	}
	r.mayHaveRun = true
	if answer.Status >= http.StatusInternalServerError && r.req.route.Idempotent {
		r.fallback = answer
		return nil
	}
	return answer
}

// takeShed lets the request go to its server once more if that one had room:
// its object is warm there, and no other server's is.
func (r *run) takeShed(f finished) {
	if f.exchange.Report.Outcome != upstream.Shed || f.choice.EstimatedRequests >= f.choice.Backend.Slots {
		return
	}
	if r.sheds++; r.sheds == 1 {
		r.tried = slices.DeleteFunc(r.tried, func(i routing.Incarnation) bool { return i == f.choice.Backend.Incarnation() })
	}
}

// end returns the result of a request that no more sends are made for.
func (r *run) end(why *refused) result {
	if r.fallback != nil {
		return result{answer: r.fallback}
	}
	return result{refused: why}
}

// refuse returns the answer when no server can be asked. Only a request that has
// not run is asked back.
func (r *run) refuse(reason string, after time.Duration) *refused {
	if r.mayHaveRun || r.pending > 0 {
		return &refused{status: http.StatusBadGateway, reason: reason}
	}
	return &refused{status: http.StatusServiceUnavailable, reason: reason, after: after}
}

const (
	// retryAfterFailure is when a client comes back whose request servers did
	// not run.
	retryAfterFailure = 100 * time.Millisecond
	// retryAfterCrashes is the same for one that servers crashed on, which is of
	// no use before the charges expire.
	retryAfterCrashes = time.Second
	// retryAfterShed is the same if they had room for it.
	retryAfterShed = 10 * time.Millisecond
)

func (r *run) ended(reason string) *refused {
	if r.sheds > 0 {
		return r.refuse(reason, retryAfterShed)
	}
	return r.refuse(reason, retryAfterFailure)
}

func (r *run) timedOut() *refused {
	const reason = "timeout"
	if r.mayHaveRun || r.pending > 0 {
		return &refused{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &refused{status: http.StatusServiceUnavailable, reason: reason, after: retryAfterFailure}
}
