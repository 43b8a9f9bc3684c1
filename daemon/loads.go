package daemon

import (
	"context"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/drain"
	"bilberrytiller.example/tiller/coordination/hold"
	"bilberrytiller.example/tiller/coordination/placement"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/state/catalogue"
)

const (
	loadReportPeriod  = 500 * time.Millisecond
	loadReportTimeout = 500 * time.Millisecond
	// takeoverLoadReportTimeout bounds the wait for a load report during a
	// takeover.
	takeoverLoadReportTimeout = 500 * time.Millisecond
)

// upstreamLoads holds the latest known load of each upstream, also of those
// that other daemons hold. It is safe for concurrent use.
type upstreamLoads struct {
	mu    sync.Mutex
	loads map[string]placement.Load
}

func newUpstreamLoads() *upstreamLoads { return &upstreamLoads{loads: map[string]placement.Load{}} }

func (l *upstreamLoads) get(upstream string) placement.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads[upstream]
}

func (l *upstreamLoads) set(upstream string, load placement.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads[upstream] = load
}

// markFailing marks an upstream whose holder could not be reached or does not
// accept requests for it.
func (l *upstreamLoads) markFailing(upstream string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.loads[upstream]
	load.Failing = true
	load.UpdatedAt = now
	l.loads[upstream] = load
}

// pollLoadReports reads the load reports of the upstreams assigned to this
// daemon until ctx ends.
func (d *Daemon) pollLoadReports(ctx context.Context) error {
	for ctx.Err() == nil {
		d.readLoadReports(ctx)
		sleep.For(ctx, loadReportPeriod)
	}
	return nil
}

func (d *Daemon) readLoadReports(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	var reads sync.WaitGroup
	for _, u := range d.currentAssignments().ownUpstreams {
		reads.Go(func() { d.readLoadReport(ctx, u) })
	}
	reads.Wait()
}

// readLoadReport reads one load report and publishes a change of the
// upstream's drain state. If the report is missing or dropped, the state stays
// as it is. Idle connections to a draining upstream are closed.
func (d *Daemon) readLoadReport(ctx context.Context, u *catalogue.Upstream) {
	client := d.heldUpstreams.getOrCreate(u).currentClient()
	if d.drains.upstreamDraining(u.Name) {
		client.Close()
	}
	load, err := client.Load(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	report := drain.Report{Slots: load.Slots, InUse: load.InUse, Draining: load.Draining, Timestamp: time.UnixMilli(load.TimeMs)}
	if err := d.loadReports.Record(u.Name, report, now); err != nil {
		d.metrics.loadReportsDropped.Add(1)
		d.log.Warn().Str("event", "load-report.dropped").Str("upstream", u.Name).Err(err).Send()
		return
	}
	if f, changed := d.drains.drainChangeFact(u.Name, d.loadReports.Draining(u.Name), now); changed {
		d.log.Info().Str("event", "upstream.drain").Str("upstream", u.Name).Bool("draining", load.Draining).Str("reason", "load-report").Send()
		d.publish(f)
	}
}

// fetchLoadReport returns the upstream's current load report, or nil if it is
// missing or not valid.
func (d *Daemon) fetchLoadReport(ctx context.Context, h *heldUpstream) *hold.LoadReport {
	ctx, cancel := context.WithTimeout(ctx, takeoverLoadReportTimeout)
	defer cancel()
	h.mu.Lock()
	client, connections := h.client, h.upstream.Connections
	h.mu.Unlock()
	load, err := client.Load(ctx)
	if err != nil {
		return nil
	}
	r := &hold.LoadReport{InUse: load.InUse, CreatedAt: time.UnixMilli(load.TimeMs)}
	if !r.Valid(connections, time.Now()) {
		d.metrics.loadReportsDropped.Add(1)
		return nil
	}
	return r
}
