package daemon

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytiller.example/tiller/coordination/duty"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/internal/sleep"
)

const (
	hostsPollPeriod = time.Second
	hostsTimeout    = 5 * time.Second
	// absencesBeforeRemoval is how many reads of the list in a row must lack a
	// host before it counts as removed, since lists lag behind each other.
	absencesBeforeRemoval = 3
	// removedRetention is how long the fleet remembers that a host was removed.
	removedRetention = 24 * time.Hour
	// relaysPerRegion is how many daemons of a region read from the platform
	// on behalf of all.
	relaysPerRegion = 2
	dutyRelay       = "relay"
)

// factHost is the kind of the facts that are entries of the platform's list
// of hosts. The key is the host's ID, the version the time of the reading
// that showed a change.
const factHost spread.Kind = "host"

// isRelay reports whether this daemon reads from the platform for the fleet.
func (d *Daemon) isRelay() bool {
	return duty.IsAmongHolders(d.view.Load(), d.self.ID, dutyRelay, d.self.Region, relaysPerRegion)
}

// readsPlatform reports whether this daemon reads from the platform: as a
// relay, or because it hears no neighbour that could tell it.
func (d *Daemon) readsPlatform() bool { return !d.joined() || d.isRelay() }

// syncHosts keeps up with the platform's list of hosts.
func (d *Daemon) syncHosts(ctx context.Context) error {
	absent := map[string]int{}
	for ctx.Err() == nil {
		if d.readsPlatform() {
			d.pollHosts(ctx, absent)
		}
		sleep.For(ctx, hostsPollPeriod)
	}
	return nil
}

func (d *Daemon) pollHosts(ctx context.Context, absent map[string]int) {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	list, err := d.platform.Hosts(ctx)
	if err != nil {
		d.log.Warn().Str("event", "hosts.platform").Err(err).Send()
		return
	}
	if len(list) == 0 {
		return
	}
	hosts := append(membershipHosts(list), d.removedHosts(list, absent)...)
	if !d.joined() {
		d.applyHosts(hosts)
		return
	}
	d.publishHosts(hosts)
}

func membershipHosts(list []platform.Host) []membership.Host {
	out := make([]membership.Host, 0, len(list))
	for _, h := range list {
		out = append(out, membership.Host{
			ID: h.ID, DataCentre: h.DataCentre, Region: h.Region, Peer: h.Peer, Caller: h.Caller,
			Leaving: h.State == platform.HostLeaving,
		})
	}
	return out
}

// removedHosts returns the members that the last lists lacked.
func (d *Daemon) removedHosts(list []platform.Host, absent map[string]int) []membership.Host {
	named := map[string]bool{}
	for _, h := range list {
		named[h.ID] = true
	}
	var out []membership.Host
	for _, m := range d.view.Load().Members() {
		if named[m.ID] || m.ID == d.self.ID {
			delete(absent, m.ID)
			continue
		}
		absent[m.ID]++
		if absent[m.ID] >= absencesBeforeRemoval {
			out = append(out, membership.Host{ID: m.ID, DataCentre: m.DataCentre, Region: m.Region, Peer: m.Peer, Caller: m.Caller, Removed: true})
		}
	}
	return out
}

// publishHosts makes those entries known that differ from what is known.
func (d *Daemon) publishHosts(hosts []membership.Host) {
	now := time.Now()
	for _, h := range hosts {
		body, err := cbor.Marshal(h)
		if err != nil {
			d.log.Error().Str("event", "hosts.encode").Str("member", h.ID).Err(err).Send()
			continue
		}
		id := spread.ID{Kind: factHost, Key: h.ID}
		held, known := d.facts.Get(id)
		if known && string(held.Body) == string(body) {
			continue
		}
		f := spread.Fact{ID: id, Version: max(uint64(now.UnixMilli()), held.Version+1), Body: body}
		if h.Removed {
			f.ExpiresMs = now.Add(removedRetention).UnixMilli()
		}
		d.publish(f)
	}
}

// applyHostFacts takes newer entries of the list of hosts over.
func (d *Daemon) applyHostFacts(facts []spread.Fact) {
	hosts := make([]membership.Host, 0, len(facts))
	for _, f := range facts {
		var h membership.Host
		if err := cbor.Unmarshal(f.Body, &h); err != nil || h.ID != f.ID.Key {
			d.log.Error().Str("event", "hosts.invalid").Str("member", f.ID.Key).Err(err).Send()
			continue
		}
		hosts = append(hosts, h)
	}
	d.applyHosts(hosts)
}

func (d *Daemon) applyHosts(hosts []membership.Host) {
	d.updateListedLeaving(hosts)
	d.updateTracker(func(t *membership.Tracker) []membership.Record { return t.UpdateHosts(hosts, time.Now()) })
}
