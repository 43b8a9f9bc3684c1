package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/drain"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/placement"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/state/catalogue"
)

const (
	loadReportPeriod  = 500 * time.Millisecond
	loadReportTimeout = 500 * time.Millisecond
)

// factDraining is the kind of the facts that tell what an upstream's load
// report says. The key is the upstream's name.
const factDraining spread.Kind = "draining"

// drainingBody is the body of a fact that says that an upstream is draining.
var drainingBody = []byte("draining")

// errDraining ends the wait for a slot of an upstream that leaves.
var errDraining = errors.New("upstream is leaving")

// drainState knows what is leaving: this host by the platform's list, upstreams
// by the catalogue or by their load reports.
type drainState struct {
	mu sync.Mutex
	// set is the catalogue in force.
	set            *catalogue.Set
	reportedDrains map[string]spread.Fact
	signals        map[string]drainSignal
	// listedLeaving says that the platform's list of hosts has this host leaving.
	listedLeaving bool
}

// drainSignal is open while an upstream takes work.
type drainSignal struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newDrainState() *drainState {
	return &drainState{
		set: catalogue.Empty(), reportedDrains: map[string]spread.Fact{}, signals: map[string]drainSignal{},
	}
}

// upstreamDraining reports whether an upstream is to get no new work.
func (d *drainState) upstreamDraining(upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreamDrainingLocked(upstream)
}

func (d *drainState) upstreamDrainingLocked(upstream string) bool {
	u := d.set.Upstream(upstream)
	return u == nil || d.set.UpstreamDraining(u) || len(d.reportedDrains[upstream].Body) > 0
}

// contextUntilDrain returns a context that ends when the upstream starts to leave.
func (d *drainState) contextUntilDrain(ctx context.Context, upstream string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.drainContext(upstream), func() { cancel(errDraining) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func (d *drainState) drainContext(upstream string) context.Context {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.signals[upstream]; !ok {
		d.signals[upstream] = newDrainSignal()
	}
	d.updateSignal(upstream)
	return d.signals[upstream].ctx
}

func newDrainSignal() drainSignal {
	ctx, shut := context.WithCancelCause(context.Background())
	return drainSignal{ctx: ctx, cancel: shut}
}

// updateSignal opens or shuts the intake of one upstream.
func (d *drainState) updateSignal(upstream string) {
	i := d.signals[upstream]
	shut := i.ctx.Err() != nil
	switch leaving := d.upstreamDrainingLocked(upstream); {
	case leaving && !shut:
		i.cancel(errDraining)
	case !leaving && shut:
		d.signals[upstream] = newDrainSignal()
	}
}

func (d *drainState) updateSignals() {
	for upstream := range d.signals {
		d.updateSignal(upstream)
	}
}

// update takes a change of the catalogue over. The newest set is loaded
// under the lock, since changes may come at the same moment.
func (d *drainState) update(newest func() *catalogue.Set) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set = newest()
	d.updateSignals()
}

// applyDrainFacts takes over what load reports told other daemons.
func (d *drainState) applyDrainFacts(facts []spread.Fact) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range facts {
		d.reportedDrains[f.ID.Key] = f
	}
	d.updateSignals()
}

// drainChangeFact returns the fact that makes a changed report known, or false if
// nothing changed.
func (d *drainState) drainChangeFact(upstream string, draining bool, now time.Time) (spread.Fact, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.reportedDrains[upstream]
	if draining == (len(held.Body) > 0) {
		return spread.Fact{}, false
	}
	f := spread.Fact{ID: spread.ID{Kind: factDraining, Key: upstream}, Version: max(held.Version+1, uint64(now.UnixMilli()))}
	if draining {
		f.Body = drainingBody
	}
	return f, true
}

// hostDraining reports whether a host takes no look-ups and no duties.
func (d *drainState) hostDraining(m membership.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.HostDraining(m.ID, m.DataCentre)
}

func (d *drainState) setListedLeaving(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listedLeaving = leaving
}

func (d *drainState) isListedLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listedLeaving
}

// withdrawn reports whether this daemon is to take no look-ups and no
// duties, because it stops or because its host is drained.
func (d *Daemon) withdrawn() bool {
	return d.leaving.Load() || d.drains.isListedLeaving() || d.drains.hostDraining(d.self)
}

// updateListedLeaving takes over what the platform's list says of this host.
func (d *Daemon) updateListedLeaving(hosts []membership.Host) {
	for _, h := range hosts {
		if h.ID == d.self.ID {
			d.drains.setListedLeaving(h.Leaving)
			d.refreshView()
		}
	}
}

// refreshView shows what is known of drains in the view at once.
func (d *Daemon) refreshView() {
	d.roster.mu.Lock()
	defer d.roster.mu.Unlock()
	d.storeView(d.roster.tracker)
}

// markDrained returns a view in which the hosts that are drained leave.
func (d *Daemon) markDrained(view *membership.View) *membership.View {
	self := view.Self
	out := slices.Clone(view.Members())
	for i, m := range out {
		leaving := d.drains.hostDraining(m)
		if m.ID == self.ID {
			leaving = d.withdrawn()
		}
		if m.Usable() && leaving {
			out[i].State = membership.Leaving
		}
		if m.ID == self.ID {
			self = out[i]
		}
	}
	return membership.NewView(self, out)
}

// excludeDraining returns the candidates that do not leave.
func (d *Daemon) excludeDraining(candidates []placement.Candidate) []placement.Candidate {
	return slices.DeleteFunc(candidates, func(c placement.Candidate) bool { return d.drains.upstreamDraining(c.Upstream.Name) })
}

// pollLoadReports asks the upstreams that this daemon holds for their load.
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

// readLoadReport reads one report. A missing one changes nothing.
func (d *Daemon) readLoadReport(ctx context.Context, u *catalogue.Upstream) {
	client := d.holders.getOrCreate(u).currentClient()
	if d.drains.upstreamDraining(u.Name) {
		client.Close()
	}
	load, err := client.Load(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	report := drain.Report{Slots: load.Slots, InUse: load.InUse, Draining: load.Draining, Timestamp: time.UnixMilli(load.TimeMs)}
	if err := d.drainReports.Record(u.Name, report, now); err != nil {
		d.metrics.loadReportsDropped.Add(1)
		d.log.Warn().Str("event", "load-report.dropped").Str("upstream", u.Name).Err(err).Send()
		return
	}
	if f, changed := d.drains.drainChangeFact(u.Name, d.drainReports.Draining(u.Name), now); changed {
		d.log.Info().Str("event", "upstream.drain").Str("upstream", u.Name).Bool("draining", load.Draining).Str("reason", "load-report").Send()
		d.publish(f)
	}
}
