package daemon

import (
	"context"
	"errors"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/state/catalogue"
)

const (
	// platformRetryDelay is the pause after a failed call to the platform.
	platformRetryDelay = 500 * time.Millisecond
	// relayCheckPeriod is how often a daemon checks whether it is to read the
	// catalogue from the platform.
	relayCheckPeriod = 100 * time.Millisecond
	// joinDelay is how long a starting daemon waits for the catalogue of its
	// peers before it reads the platform's.
	joinDelay = 500 * time.Millisecond
	// relistPeriod is how often a relay lists the whole catalogue, to correct
	// for changes that a watch may have missed.
	relistPeriod = 5 * time.Minute
)

// Kinds of facts that hold catalogue entries. Key is the name of the object in
// the platform, Version the platform's version of it.
const (
	// factCatalogue is a valid entry. A deleted entry has an empty body.
	factCatalogue spread.Kind = "catalogue"
	// factInvalid is a version of an object that is skipped because it is
	// invalid. Its body is an invalidObject. The last valid version remains
	// as a factCatalogue.
	factInvalid spread.Kind = "catalogue-invalid"
)

// syncCatalogue keeps the catalogue in force up to date with the platform
// while this daemon reads from the platform, until ctx ends.
func (d *Daemon) syncCatalogue(ctx context.Context) error {
	sleep.For(ctx, joinDelay)
	for ctx.Err() == nil {
		if d.readsPlatform() {
			d.relayCatalogue(ctx)
		}
		sleep.For(ctx, relayCheckPeriod)
	}
	return nil
}

// relayCatalogue lists and then watches the catalogue until this daemon no
// longer reads from the platform.
func (d *Daemon) relayCatalogue(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.cancelWhenRelayEnds(ctx, cancel)
	d.metrics.relay.Set(1)
	defer d.metrics.relay.Set(0)
	for ctx.Err() == nil {
		if err := d.listAndWatch(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn().Str("event", "catalogue.platform").Err(err).Send()
			sleep.For(ctx, platformRetryDelay)
		}
	}
}

// cancelWhenRelayEnds calls cancel when this daemon no longer reads from the
// platform, or when ctx ends.
func (d *Daemon) cancelWhenRelayEnds(ctx context.Context, cancel context.CancelFunc) {
	for d.readsPlatform() && sleep.For(ctx, relayCheckPeriod) {
	}
	cancel()
}

// listAndWatch lists the whole catalogue and then watches its changes until
// the next list is due or the platform no longer has the changes.
func (d *Daemon) listAndWatch(ctx context.Context) error {
	after, err := d.listCatalogue(ctx)
	for relist := time.Now().Add(relistPeriod); err == nil && time.Now().Before(relist); {
		after, err = d.watchCatalogue(ctx, after)
	}
	if errors.Is(err, platform.ErrTooOld) {
		return nil
	}
	return err
}

// listCatalogue publishes the whole catalogue and returns the version of the
// list.
func (d *Daemon) listCatalogue(ctx context.Context) (uint64, error) {
	list, err := d.platform.List(ctx, platform.KindCatalogue)
	if err != nil {
		return 0, err
	}
	events := make([]platform.Event, 0, len(list.Objects))
	for _, obj := range list.Objects {
		events = append(events, platform.Event{Object: obj})
	}
	d.publishEvents(append(events, d.deletionsFromList(list)...))
	return list.Version, nil
}

// deletionsFromList returns the deletions that a list implies: an entry has been
// deleted if it is missing from a list with a later version than the entry's.
// A list with an earlier version does not show whether the entry exists.
func (d *Daemon) deletionsFromList(list platform.List) []platform.Event {
	listed := map[string]bool{}
	for _, obj := range list.Objects {
		listed[obj.Name] = true
	}
	var out []platform.Event
	for _, r := range d.catalogue.Load().Records() {
		name := r.ID.String()
		if !r.Deleted && !listed[name] && uint64(r.Version) < list.Version {
			out = append(out, platform.Event{Object: platform.Object{Name: name, Version: list.Version}, Deleted: true})
		}
	}
	return out
}

// watchCatalogue waits for changes after a version, publishes them, and returns
// the version to continue from.
func (d *Daemon) watchCatalogue(ctx context.Context, after uint64) (uint64, error) {
	changes, err := d.platform.Watch(ctx, platform.KindCatalogue, after)
	if err != nil {
		return after, err
	}
	d.publishEvents(changes.Events)
	return max(after, changes.Version), nil
}

// publishEvents publishes the platform's changes to the fleet.
func (d *Daemon) publishEvents(events []platform.Event) {
	facts := make([]spread.Fact, 0, len(events))
	for _, e := range events {
		facts = append(facts, d.factFromEvent(e))
	}
	d.publish(facts...)
}

// factFromEvent returns the fact for a change of an object. An invalid object
// gets a kind of its own, so that it does not replace the last valid version.
func (d *Daemon) factFromEvent(e platform.Event) spread.Fact {
	f := spread.Fact{ID: spread.ID{Kind: factCatalogue, Key: e.Object.Name}, Version: e.Object.Version}
	if !e.Deleted {
		f.Body = e.Object.Data
	}
	_, err := recordFromFact(f)
	if err == nil {
		return f
	}
	return invalidFact(e.Object, err)
}

// applyCatalogueFacts puts newer entries in force. An entry that this daemon
// cannot decode is skipped, and the previous version stays in force.
func (d *Daemon) applyCatalogueFacts(facts []spread.Fact) {
	records := make([]catalogue.Record, 0, len(facts))
	for _, f := range facts {
		r, err := recordFromFact(f)
		if err != nil {
			d.recordInvalid(f.ID.Key, f.Version, err.Error())
			continue
		}
		records = append(records, r)
	}
	d.applyRecords(records)
}

// recordFromFact decodes and validates a catalogue entry.
func recordFromFact(f spread.Fact) (catalogue.Record, error) {
	id, err := parseEntryID(f.ID.Key)
	if err != nil {
		return catalogue.Record{}, err
	}
	version := catalogue.Version(f.Version)
	if len(f.Body) == 0 {
		return catalogue.Record{ID: id, Version: version, Deleted: true}, nil
	}
	return catalogue.NewRecord(id, version, f.Body)
}

// applyRecords merges records into the catalogue in force.
func (d *Daemon) applyRecords(records []catalogue.Record) {
	for {
		current := d.catalogue.Load()
		merged, newer := current.Merge(records)
		if len(newer) == 0 {
			return
		}
		if d.catalogue.CompareAndSwap(current, merged) {
			d.afterCatalogueChange(newer)
			return
		}
	}
}

// afterCatalogueChange logs the new entries and updates everything that depends
// on the catalogue. That loads the catalogue itself, since a concurrent change may
// already have replaced it.
func (d *Daemon) afterCatalogueChange(newer []catalogue.Record) {
	d.metrics.catalogueVersion.Set(int64(d.catalogue.Load().Version))
	for _, r := range newer {
		d.log.Info().Str("event", "catalogue.in-force").Stringer("entry", r.ID).
			Uint64("version", uint64(r.Version)).Bool("deleted", r.Deleted).Send()
	}
	d.drains.update(d.catalogue.Load)
	d.refreshView()
	d.heldUpstreams.update(d.catalogue.Load)
	d.limits.update(d.catalogue.Load)
}

// parseEntryID splits an object's name, KIND.NAME, into the ID of an entry.
func parseEntryID(name string) (catalogue.ID, error) {
	kind, rest, ok := strings.Cut(name, ".")
	if !ok {
		return catalogue.ID{}, &catalogue.EntryError{Field: "name", Err: catalogue.ErrInvalidName}
	}
	return catalogue.ID{Kind: catalogue.Kind(kind), Name: rest}, nil
}
