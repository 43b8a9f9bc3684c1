package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/placement"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/state/catalogue"
)

// factDraining is the kind of facts that hold the drain state from an
// upstream's load reports. Key is the upstream's name. The body is drainingBody,
// or empty if the upstream is not draining.
const factDraining spread.Kind = "draining"

var drainingBody = []byte("draining")

// errDraining is the error of requests that wait for a slot of a draining
// upstream.
var errDraining = errors.New("upstream is draining")

// drainState holds what is draining: this host according to the platform's
// host list, hosts according to the catalogue, and upstreams according to the
// catalogue or to their load reports. It is safe for concurrent use.
type drainState struct {
	mu sync.Mutex
	// set is the catalogue in force.
	set *catalogue.Set
	// reportedDrains holds the latest fact of each upstream's load reports.
	reportedDrains map[string]spread.Fact
	signals        map[string]drainSignal
	// listedLeaving is true if the platform's host list has this host as
	// leaving.
	listedLeaving bool
}

// drainSignal is a context that is cancelled when an upstream begins to drain.
type drainSignal struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newDrainState() *drainState {
	return &drainState{
		set: catalogue.Empty(), reportedDrains: map[string]spread.Fact{}, signals: map[string]drainSignal{},
	}
}

// upstreamDraining reports whether an upstream gets no new requests, because it
// is draining or not in the catalogue.
func (d *drainState) upstreamDraining(upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreamDrainingLocked(upstream)
}

// upstreamDrainingLocked is upstreamDraining for callers that hold the lock.
func (d *drainState) upstreamDrainingLocked(upstream string) bool {
	u := d.set.Upstream(upstream)
	return u == nil || d.set.UpstreamDraining(u) || len(d.reportedDrains[upstream].Body) > 0
}

// contextUntilDrain returns a context that is also cancelled, with cause
// errDraining, when the upstream begins to drain.
func (d *drainState) contextUntilDrain(ctx context.Context, upstream string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.drainContext(upstream), func() { cancel(errDraining) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// drainContext returns the context of the upstream's signal. It has ended if
// the upstream is draining.
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
	ctx, cancel := context.WithCancelCause(context.Background())
	return drainSignal{ctx: ctx, cancel: cancel}
}

// updateSignal cancels the signal of an upstream that has begun to drain, and
// replaces that of an upstream whose drain has ended. The lock must be held.
func (d *drainState) updateSignal(upstream string) {
	signal := d.signals[upstream]
	cancelled := signal.ctx.Err() != nil
	switch draining := d.upstreamDrainingLocked(upstream); {
	case draining && !cancelled:
		signal.cancel(errDraining)
	case !draining && cancelled:
		d.signals[upstream] = newDrainSignal()
	}
}

// updateSignals updates the signals of all upstreams. The lock must be held.
func (d *drainState) updateSignals() {
	for upstream := range d.signals {
		d.updateSignal(upstream)
	}
}

// update applies a change of the catalogue. The newest catalogue is loaded
// under the lock, since two changes may be applied concurrently.
func (d *drainState) update(newest func() *catalogue.Set) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set = newest()
	d.updateSignals()
}

// applyDrainFacts applies drain states that daemons read from load reports.
func (d *drainState) applyDrainFacts(facts []spread.Fact) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range facts {
		// Facts may be applied in another order than they were merged in.
		if f.Version > d.reportedDrains[f.ID.Key].Version {
			d.reportedDrains[f.ID.Key] = f
		}
	}
	d.updateSignals()
}

// drainChangeFact returns the fact to publish for the drain state in a load
// report, or false if the state has not changed.
func (d *drainState) drainChangeFact(upstream string, draining bool, now time.Time) (spread.Fact, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.reportedDrains[upstream]
	if draining == (len(current.Body) > 0) {
		return spread.Fact{}, false
	}
	f := spread.Fact{ID: spread.ID{Kind: factDraining, Key: upstream}, Version: max(current.Version+1, uint64(now.UnixMilli()))}
	if draining {
		f.Body = drainingBody
	}
	return f, true
}

// hostDraining reports whether a host is draining according to the catalogue.
// Such a host is in no look-ups and gets no duties.
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

// withdrawn reports whether this daemon is to be in no look-ups and to get no
// duties, because it is stopping, or because its host is leaving or draining.
func (d *Daemon) withdrawn() bool {
	return d.leaving.Load() || d.drains.isListedLeaving() || d.drains.hostDraining(d.self)
}

// updateListedLeaving applies the entry of this host in the platform's list.
func (d *Daemon) updateListedLeaving(hosts []membership.Host) {
	for _, h := range hosts {
		if h.ID == d.self.ID {
			d.drains.setListedLeaving(h.Leaving)
			d.refreshView()
		}
	}
}

// refreshView updates the view at once, so that it shows a change of drains.
func (d *Daemon) refreshView() {
	d.roster.mu.Lock()
	defer d.roster.mu.Unlock()
	d.storeView(d.roster.tracker)
}

// markDrainingHosts returns a copy of the view with usable members on draining
// hosts marked as leaving, and this daemon too if it is withdrawn.
func (d *Daemon) markDrainingHosts(view *membership.View) *membership.View {
	self := view.Self
	out := slices.Clone(view.Members())
	for i, m := range out {
		draining := d.drains.hostDraining(m)
		if m.ID == self.ID {
			draining = d.withdrawn()
		}
		if m.Usable() && draining {
			out[i].State = membership.Leaving
		}
		if m.ID == self.ID {
			self = out[i]
		}
	}
	return membership.NewView(self, out)
}

// excludeDraining returns the candidates that are not draining.
func (d *Daemon) excludeDraining(candidates []placement.Candidate) []placement.Candidate {
	return slices.DeleteFunc(candidates, func(c placement.Candidate) bool { return d.drains.upstreamDraining(c.Upstream.Name) })
}
