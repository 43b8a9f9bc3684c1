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

// leavePropagationTime is the time after which every daemon that can reach this one
// knows that it leaves, also one that its announcement did not reach.
const leavePropagationTime = (mismatchesBeforeRepair+1)*heartbeatPeriod + heartbeatTimeout

// InFlightWork counts what a stop waits for.
type InFlightWork struct {
	// Requests are callers' requests, Calls those of peers, Runs the runs of
	// non-idempotent requests, whose callers may have gone.
	Requests, Calls, Runs int
}

// StopTimeoutError says that a graceful stop ran out of time.
type StopTimeoutError struct {
	Timeout  time.Duration
	InFlight InFlightWork
}

func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("stopped after %v with %d requests, %d peers' calls and %d runs in flight",
		e.Timeout, e.InFlight.Requests, e.InFlight.Calls, e.InFlight.Runs)
}

// InFlight returns the work that a stop at this moment would have to wait for.
func (d *Daemon) InFlight() InFlightWork {
	return InFlightWork{Requests: d.requests.Count(), Calls: d.peerServer.InFlight(), Runs: d.runs.Count()}
}

// stopStep is one step of a graceful stop.
type stopStep struct {
	name string
	run  func(context.Context) error
}

// stopSteps are the steps of a graceful stop, in order. Peers and operators
// are served until the last two.
func (d *Daemon) stopSteps(s servers) []stopStep {
	return []stopStep{
		{"announce", d.announceLeaving},
		{"lookups-expire", d.awaitLookupExpiry},
		{"keys", d.handOverKeys},
		{"callers", s.caller.server.Shutdown},
		{"runs", d.runs.Wait},
		{"limits", d.limits.leave},
		{"peers", d.peerServer.Shutdown},
		{"servers", s.shutdown},
	}
}

// stop takes the daemon out of service without cutting a request, and
// returns a *CutError if it runs out of time.
func (d *Daemon) stop(s servers) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	for _, step := range d.stopSteps(s) {
		if err := step.run(ctx); err != nil {
			cut := &StopTimeoutError{Timeout: d.settings.StopTimeout, InFlight: d.InFlight()}
			d.log.Error().Str("event", "daemon.stopped").Str("step", step.name).Int("requests", cut.InFlight.Requests).
				Int("calls", cut.InFlight.Calls).Int("runs", cut.InFlight.Runs).AnErr("cause", err).Send()
			s.close()
			return cut
		}
		d.log.Info().Str("event", "daemon.stopping").Str("step", step.name).Send()
	}
	d.log.Info().Str("event", "daemon.stopped").Send()
	return nil
}

// announceLeaving takes the daemon out of look-ups and duties everywhere.
func (d *Daemon) announceLeaving(context.Context) error {
	d.leaving.Store(true)
	d.log.Info().Str("event", "daemon.leaving").Send()
	d.updateTracker(func(t *membership.Tracker) []membership.Record { return []membership.Record{t.Leave()} })
	return nil
}

// awaitLookupExpiry serves callers until no look-up that names this daemon is
// still valid.
func (d *Daemon) awaitLookupExpiry(ctx context.Context) error {
	if !sleep.For(ctx, d.settings.LookupTTL+leavePropagationTime) {
		return context.Cause(ctx)
	}
	return nil
}

// closeConnectionsWhileLeaving asks callers to open no further request on a connection
// to a daemon that stops, so that the stop finds all connections idle.
func (d *Daemon) closeConnectionsWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// shutdown closes the listeners of peers and operators once idle.
func (s servers) shutdown(ctx context.Context) error {
	return errors.Join(s.peer.server.Shutdown(ctx), s.operator.server.Shutdown(ctx))
}

// close ends all connections at once.
func (s servers) close() {
	for _, each := range s.all() {
		_ = each.server.Close()
	}
}
