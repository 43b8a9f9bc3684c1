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

// leaveMargin is the time after which every daemon that can reach this one
// knows that it leaves, also one that its announcement did not reach.
const leaveMargin = (mismatchesBeforeRepair+1)*heartbeatPeriod + heartbeatTimeout

// Work counts what a stop waits for.
type Work struct {
	// Requests are callers' requests, Calls those of peers, Runs the runs of
	// non-idempotent requests, whose callers may have gone.
	Requests, Calls, Runs int
}

// CutError says that a graceful stop ran out of time.
type CutError struct {
	After time.Duration
	Cut   Work
}

func (e *CutError) Error() string {
	return fmt.Sprintf("stopped after %v with %d requests, %d peers' calls and %d runs in flight",
		e.After, e.Cut.Requests, e.Cut.Calls, e.Cut.Runs)
}

// InFlight returns the work that a stop at this moment would have to wait for.
func (d *Daemon) InFlight() Work {
	return Work{Requests: d.requests.Count(), Calls: d.peerServe.InFlight(), Runs: d.runs.Count()}
}

// step is one step of a graceful stop.
type step struct {
	name string
	do   func(context.Context) error
}

// stopSteps are the steps of a graceful stop, in order. Peers and operators
// are served until the last two.
func (d *Daemon) stopSteps(s servers) []step {
	return []step{
		{"announce", d.announceLeaving},
		{"lookups-expire", d.awaitLookups},
		{"keys", d.handOver},
		{"callers", s.caller.server.Shutdown},
		{"runs", d.runs.Wait},
		{"limits", d.limits.leave},
		{"peers", d.peerServe.Shutdown},
		{"servers", s.shutdown},
	}
}

// stop takes the daemon out of service without cutting a request, and
// returns a *CutError if it runs out of time.
func (d *Daemon) stop(s servers) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	for _, step := range d.stopSteps(s) {
		if err := step.do(ctx); err != nil {
			cut := &CutError{After: d.settings.StopTimeout, Cut: d.InFlight()}
			d.log.Error().Str("event", "daemon.stopped").Str("step", step.name).Int("requests", cut.Cut.Requests).
				Int("calls", cut.Cut.Calls).Int("runs", cut.Cut.Runs).AnErr("cause", err).Send()
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
	d.withTracker(func(t *membership.Tracker) []membership.Record { return []membership.Record{t.Leave()} })
	return nil
}

// awaitLookups serves callers until no look-up that names this daemon is
// still valid.
func (d *Daemon) awaitLookups(ctx context.Context) error {
	if !sleep.For(ctx, d.settings.LookupTTL+leaveMargin) {
		return context.Cause(ctx)
	}
	return nil
}

// closeWhileLeaving asks callers to open no further request on a connection
// to a daemon that stops, so that the stop finds all connections idle.
func (d *Daemon) closeWhileLeaving(next http.Handler) http.Handler {
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
