package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/internal/sleep"
)

// leavePropagationTime is the time after which every daemon that can reach
// this one knows that it is leaving, even if the announcement did not reach
// it.
const leavePropagationTime = (mismatchesBeforeRepair+1)*heartbeatPeriod + heartbeatTimeout

// InFlightWork counts the work that a graceful stop waits for.
type InFlightWork struct {
	// Requests counts requests of callers, and Calls calls of peers. Runs
	// counts runs of requests with a key, dispatches of such requests to this
	// daemon, and runs of accepted requests. Their callers may have
	// disconnected.
	Requests, Calls, Runs int
}

// StopTimeoutError reports that a graceful stop exceeded its timeout.
type StopTimeoutError struct {
	Timeout  time.Duration
	InFlight InFlightWork
}

func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("stop timed out after %v with %d requests of callers, %d calls of peers and %d runs in flight",
		e.Timeout, e.InFlight.Requests, e.InFlight.Calls, e.InFlight.Runs)
}

// InFlight returns the work that a stop would have to wait for now.
func (d *Daemon) InFlight() InFlightWork {
	return InFlightWork{Requests: d.requests.Count(), Calls: d.peerServer.InFlight(), Runs: d.runs.Count()}
}

// stopStep is one step of a graceful stop.
type stopStep struct {
	name string
	run  func(context.Context) error
}

// stopSteps returns the steps of a graceful stop, in order. Peers and
// operators are served until the last two.
func (d *Daemon) stopSteps(s servers) []stopStep {
	return []stopStep{
		{"announce", d.announceLeaving},
		{"lookups-expire", d.awaitLookupExpiry},
		{"keys", d.handOverKeys},
		{"callers", s.finishCallers},
		{"runs", d.runs.Wait},
		{"limits", d.limits.releaseAllShares},
		{"peers", d.peerServer.Shutdown},
		{"servers", s.shutdown},
	}
}

// stop runs the steps of a graceful stop. If a step fails or the stop timeout
// passes, it cuts off the work in flight and returns a *StopTimeoutError.
func (d *Daemon) stop(s servers) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	for _, step := range d.stopSteps(s) {
		if err := step.run(ctx); err != nil {
			timeoutErr := &StopTimeoutError{Timeout: d.settings.StopTimeout, InFlight: d.InFlight()}
			d.log.Error().Str("event", "daemon.stopped").Str("step", step.name).Int("requests", timeoutErr.InFlight.Requests).
				Int("calls", timeoutErr.InFlight.Calls).Int("runs", timeoutErr.InFlight.Runs).AnErr("cause", err).Send()
			s.close()
			return timeoutErr
		}
		d.log.Info().Str("event", "daemon.stopping").Str("step", step.name).Send()
	}
	d.log.Info().Str("event", "daemon.stopped").Send()
	return nil
}

// announceLeaving makes all daemons exclude this one from look-ups and duties.
func (d *Daemon) announceLeaving(context.Context) error {
	d.leaving.Store(true)
	d.log.Info().Str("event", "daemon.leaving").Send()
	d.updateTracker(func(t *membership.Tracker) []membership.Record { return []membership.Record{t.Leave()} })
	return nil
}

// awaitLookupExpiry serves callers until all look-ups that name this daemon
// have expired.
func (d *Daemon) awaitLookupExpiry(ctx context.Context) error {
	if !sleep.For(ctx, d.settings.LookupTTL+leavePropagationTime) {
		return context.Cause(ctx)
	}
	return nil
}

// closeConnectionsWhileLeaving makes callers close their connections after the
// current request while the daemon is stopping, so that the connections become
// idle.
func (d *Daemon) closeConnectionsWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// finishCallers answers the callers' requests in flight and those that arrive meanwhile
// on open connections.
func (s servers) finishCallers(ctx context.Context) error {
	return s.callerConns.Finish(ctx, s.caller.server, s.caller.listener)
}

// shutdown shuts down the servers of peers and operators once they are idle.
func (s servers) shutdown(ctx context.Context) error {
	return errors.Join(s.peer.server.Shutdown(ctx), s.operator.server.Shutdown(ctx))
}

// close closes all listeners and connections immediately.
func (s servers) close() {
	for _, bound := range s.all() {
		_ = bound.server.Close()
	}
}
