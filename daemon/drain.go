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

// drains knows what is leaving: this host by the platform's list, upstreams
// by the catalogue or by their load reports.
type drains struct {
	mu sync.Mutex
	// set is the catalogue in force.
	set      *catalogue.Set
	reported map[string]spread.Fact
	intakes  map[string]intake
	// listed says that the platform's list of hosts has this host leaving.
	listed bool
}

// intake is open while an upstream takes work.
type intake struct {
	ctx  context.Context
	shut context.CancelCauseFunc
}

func newDrains() *drains {
	return &drains{
		set: catalogue.Empty(), reported: map[string]spread.Fact{}, intakes: map[string]intake{},
	}
}

// leaving reports whether an upstream is to get no new work.
func (d *drains) leaving(upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leavingLocked(upstream)
}

func (d *drains) leavingLocked(upstream string) bool {
	u := d.set.Upstream(upstream)
	return u == nil || d.set.UpstreamDraining(u) || len(d.reported[upstream].Body) > 0
}

// whileTaking returns a context that ends when the upstream starts to leave.
func (d *drains) whileTaking(ctx context.Context, upstream string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.intake(upstream), func() { cancel(errDraining) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func (d *drains) intake(upstream string) context.Context {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.intakes[upstream]; !ok {
		d.intakes[upstream] = newIntake()
	}
	d.settle(upstream)
	return d.intakes[upstream].ctx
}

func newIntake() intake {
	ctx, shut := context.WithCancelCause(context.Background())
	return intake{ctx: ctx, shut: shut}
}

// settle opens or shuts the intake of one upstream.
func (d *drains) settle(upstream string) {
	i := d.intakes[upstream]
	shut := i.ctx.Err() != nil
	switch leaving := d.leavingLocked(upstream); {
	case leaving && !shut:
		i.shut(errDraining)
	case !leaving && shut:
		d.intakes[upstream] = newIntake()
	}
}

func (d *drains) settleAll() {
	for upstream := range d.intakes {
		d.settle(upstream)
	}
}

// update takes a change of the catalogue over. The newest set is loaded
// under the lock, since changes may come at the same moment.
func (d *drains) update(newest func() *catalogue.Set) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set = newest()
	d.settleAll()
}

// takeReported takes over what load reports told other daemons.
func (d *drains) takeReported(facts []spread.Fact) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range facts {
		d.reported[f.ID.Key] = f
	}
	d.settleAll()
}

// change returns the fact that makes a changed report known, or false if
// nothing changed.
func (d *drains) change(upstream string, draining bool, now time.Time) (spread.Fact, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.reported[upstream]
	if draining == (len(held.Body) > 0) {
		return spread.Fact{}, false
	}
	f := spread.Fact{ID: spread.ID{Kind: factDraining, Key: upstream}, Version: max(held.Version+1, uint64(now.UnixMilli()))}
	if draining {
		f.Body = drainingBody
	}
	return f, true
}

// hostLeaving reports whether a host takes no look-ups and no duties.
func (d *drains) hostLeaving(m membership.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.HostDraining(m.ID, m.DataCentre)
}

func (d *drains) setListed(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = leaving
}

func (d *drains) isListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

// withdrawn reports whether this daemon is to take no look-ups and no
// duties, because it stops or because its host is drained.
func (d *Daemon) withdrawn() bool {
	return d.leaving.Load() || d.drains.isListed() || d.drains.hostLeaving(d.self)
}

// noteListed takes over what the platform's list says of this host.
func (d *Daemon) noteListed(hosts []membership.Host) {
	for _, h := range hosts {
		if h.ID == d.self.ID {
			d.drains.setListed(h.Leaving)
			d.refreshView()
		}
	}
}

// refreshView shows what is known of drains in the view at once.
func (d *Daemon) refreshView() {
	d.roster.mu.Lock()
	defer d.roster.mu.Unlock()
	d.show(d.roster.tracker)
}

// drained returns a view in which the hosts that are drained leave.
func (d *Daemon) drained(view *membership.View) *membership.View {
	self := view.Self
	out := slices.Clone(view.Members())
	for i, m := range out {
		leaving := d.drains.hostLeaving(m)
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

// taking returns the candidates that do not leave.
func (d *Daemon) taking(candidates []placement.Candidate) []placement.Candidate {
	return slices.DeleteFunc(candidates, func(c placement.Candidate) bool { return d.drains.leaving(c.Upstream.Name) })
}

// followLoadReports asks the upstreams that this daemon holds for their load.
func (d *Daemon) followLoadReports(ctx context.Context) error {
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
	for _, u := range d.assigned().own {
		reads.Go(func() { d.readLoadReport(ctx, u) })
	}
	reads.Wait()
}

// readLoadReport reads one report. A missing one changes nothing.
func (d *Daemon) readLoadReport(ctx context.Context, u *catalogue.Upstream) {
	client := d.holders.get(u).clientNow()
	if d.drains.leaving(u.Name) {
		client.Close()
	}
	load, err := client.Load(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	report := drain.Report{Slots: load.Slots, InUse: load.InUse, Draining: load.Draining, Timestamp: time.UnixMilli(load.TimeMs)}
	if err := d.reports.Record(u.Name, report, now); err != nil {
		d.metrics.loadReportsDropped.Add(1)
		d.log.Warn().Str("event", "load-report.dropped").Str("upstream", u.Name).Err(err).Send()
		return
	}
	if f, changed := d.drains.change(u.Name, d.reports.Draining(u.Name), now); changed {
		d.log.Info().Str("event", "upstream.drain").Str("upstream", u.Name).Bool("draining", load.Draining).Str("reason", "load-report").Send()
		d.publish(f)
	}
}
