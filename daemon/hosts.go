package daemon

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/internal/sleep"
)

const (
	hostsPollPeriod = time.Second
	// hostsTimeout bounds one read of the host list.
	hostsTimeout = 5 * time.Second
	// absencesBeforeRemoval is the number of consecutive lists without a host
	// after which the host counts as removed. One list is not enough, since
	// lists may lag behind each other.
	absencesBeforeRemoval = 3
	// removedRetention is how long the fleet keeps the fact that a host was
	// removed.
	removedRetention = 24 * time.Hour
)

// factHost is the kind of facts that hold entries of the platform's host list.
// Key is the host's ID. Version is the time, in milliseconds, at which a relay
// read a list with a change of the entry.
const factHost spread.Kind = "host"

// syncHosts polls the platform's host list while this daemon reads from the
// platform, until ctx ends.
func (d *Daemon) syncHosts(ctx context.Context) error {
	absences := map[string]int{}
	for ctx.Err() == nil {
		if d.readsPlatform() {
			d.readHosts(ctx, absences)
		}
		sleep.For(ctx, hostsPollPeriod)
	}
	return nil
}

// readHosts reads the host list once. The hosts are published, or only applied
// here while this daemon has not joined the fleet. An empty list is ignored.
func (d *Daemon) readHosts(ctx context.Context, absences map[string]int) {
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
	hosts := append(membershipHosts(list), d.removedHosts(list, absences)...)
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

// removedHosts counts the absences of each member from consecutive lists and
// returns, marked as removed, those that were absent absencesBeforeRemoval
// times or more.
func (d *Daemon) removedHosts(list []platform.Host, absences map[string]int) []membership.Host {
	listed := map[string]bool{}
	for _, h := range list {
		listed[h.ID] = true
	}
	var out []membership.Host
	for _, m := range d.view.Load().Members() {
		if listed[m.ID] || m.ID == d.self.ID {
			delete(absences, m.ID)
			continue
		}
		absences[m.ID]++
		if absences[m.ID] >= absencesBeforeRemoval {
			out = append(out, membership.Host{ID: m.ID, DataCentre: m.DataCentre, Region: m.Region, Peer: m.Peer, Caller: m.Caller, Removed: true})
		}
	}
	return out
}

// publishHosts publishes the entries that differ from the known facts.
func (d *Daemon) publishHosts(hosts []membership.Host) {
	now := time.Now()
	for _, h := range hosts {
		body, err := cbor.Marshal(h)
		if err != nil {
			d.log.Error().Str("event", "hosts.encode").Str("member", h.ID).Err(err).Send()
			continue
		}
		id := spread.ID{Kind: factHost, Key: h.ID}
		current, known := d.facts.Get(id)
		if known && string(current.Body) == string(body) {
			continue
		}
		f := spread.Fact{ID: id, Version: max(uint64(now.UnixMilli()), current.Version+1), Body: body}
		if h.Removed {
			f.ExpiresMs = now.Add(removedRetention).UnixMilli()
		}
		d.publish(f)
	}
}

// applyHostFacts applies newer entries of the host list.
func (d *Daemon) applyHostFacts(facts []spread.Fact) {
	d.hostsMu.Lock()
	defer d.hostsMu.Unlock()
	hosts := make([]membership.Host, 0, len(facts))
	for _, f := range facts {
		// Facts may be applied in another order than they were merged in.
		if f.Version <= d.hostVersions[f.ID.Key] {
			continue
		}
		var h membership.Host
		if err := cbor.Unmarshal(f.Body, &h); err != nil || h.ID != f.ID.Key {
			d.log.Error().Str("event", "hosts.invalid").Str("member", f.ID.Key).Err(err).Send()
			continue
		}
		d.hostVersions[f.ID.Key] = f.Version
		hosts = append(hosts, h)
	}
	d.applyHosts(hosts)
}

func (d *Daemon) applyHosts(hosts []membership.Host) {
	d.updateListedLeaving(hosts)
	d.updateTracker(func(t *membership.Tracker) []membership.Record { return t.UpdateHosts(hosts, time.Now()) })
}
