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
	platformRetryDelay = 500 * time.Millisecond
	// relayCheckPeriod is how often a daemon looks whether it is to watch.
	relayCheckPeriod = 100 * time.Millisecond
	// joinDelay is how long a daemon that starts waits for the catalogue of
	// its peers before it reads that of the platform.
	joinDelay = 500 * time.Millisecond
	// relistPeriod is how often a relay reads the whole catalogue, to mend
	// what a watch may have missed.
	relistPeriod = 5 * time.Minute
)

// Kinds of the facts that are catalogue entries. The key is the name of the
// platform's object and the version the platform's.
const (
	// factCatalogue is a valid entry; a deleted one has no body.
	factCatalogue spread.Kind = "catalogue"
	// factInvalid is a version of an object that is skipped. Its body is an
	// invalidObject. The last valid version stays known as a factCatalogue.
	factInvalid spread.Kind = "catalogue-invalid"
)

// syncCatalogue keeps the catalogue in force up to date with the platform
// whenever this daemon is to read it.
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

// relayCatalogue lists and then watches the catalogue until this daemon is
// no longer to read it.
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

func (d *Daemon) cancelWhenRelayEnds(ctx context.Context, cancel context.CancelFunc) {
	for d.readsPlatform() && sleep.For(ctx, relayCheckPeriod) {
	}
	cancel()
}

// listAndWatch reads the whole catalogue, then its changes until the next
// list is due.
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

// deletionsFromList returns the deletions that a list tells by what it lacks: an
// entry that is not in a list as of a later version has been deleted. A list
// older than the entry says nothing of it.
func (d *Daemon) deletionsFromList(list platform.List) []platform.Event {
	named := map[string]bool{}
	for _, obj := range list.Objects {
		named[obj.Name] = true
	}
	var out []platform.Event
	for _, r := range d.catalogue.Load().Records() {
		name := r.ID.String()
		if !r.Deleted && !named[name] && uint64(r.Version) < list.Version {
			out = append(out, platform.Event{Object: platform.Object{Name: name, Version: list.Version}, Deleted: true})
		}
	}
	return out
}

func (d *Daemon) watchCatalogue(ctx context.Context, after uint64) (uint64, error) {
	changes, err := d.platform.Watch(ctx, platform.KindCatalogue, after)
	if err != nil {
		return after, err
	}
	d.publishEvents(changes.Events)
	return max(after, changes.Version), nil
}

// publishEvents makes the platform's changes known, here and to all peers.
func (d *Daemon) publishEvents(events []platform.Event) {
	facts := make([]spread.Fact, 0, len(events))
	for _, e := range events {
		facts = append(facts, d.factFromEvent(e))
	}
	d.publish(facts...)
}

// factFromEvent returns the fact that a change of an object is. An invalid object is
// known as such and takes no valid one's place.
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

// applyCatalogueFacts puts newer entries in force. An entry that this daemon cannot
// read is skipped, and the version before it stays in force.
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
		held := d.catalogue.Load()
		merged, newer := held.Merge(records)
		if len(newer) == 0 {
			return
		}
		if d.catalogue.CompareAndSwap(held, merged) {
			d.afterCatalogueChange(merged, newer)
			return
		}
	}
}

func (d *Daemon) afterCatalogueChange(set *catalogue.Set, newer []catalogue.Record) {
	d.metrics.catalogueVersion.Set(int64(set.Version))
	for _, r := range newer {
		d.log.Info().Str("event", "catalogue.in-force").Stringer("entry", r.ID).
			Uint64("version", uint64(r.Version)).Bool("deleted", r.Deleted).Send()
	}
	d.drains.update(d.catalogue.Load)
	d.refreshView()
	d.holders.update(set)
	d.limits.update(d.catalogue.Load)
}

func parseEntryID(name string) (catalogue.ID, error) {
	kind, rest, ok := strings.Cut(name, ".")
	if !ok {
		return catalogue.ID{}, &catalogue.EntryError{Field: "name", Err: catalogue.ErrInvalidName}
	}
	return catalogue.ID{Kind: catalogue.Kind(kind), Name: rest}, nil
}
