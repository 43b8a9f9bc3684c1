package daemon

import (
	"context"
	"errors"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/state/catalogue"
)

const platformRetry = 500 * time.Millisecond

// followCatalogue keeps the catalogue in force up to date with the platform.
func (d *Daemon) followCatalogue(ctx context.Context) error {
	var after uint64
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			after, err = d.listCatalogue(ctx)
			listed = err == nil
		} else {
			after, err = d.watchCatalogue(ctx, after)
			listed = !errors.Is(err, platform.ErrTooOld)
		}
		if err != nil && ctx.Err() == nil {
			d.log.Warn().Str("event", "catalogue.platform").Err(err).Send()
			sleep(ctx, platformRetry)
		}
	}
	return nil
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
	d.applyEvents(events)
	return list.Version, nil
}

func (d *Daemon) watchCatalogue(ctx context.Context, after uint64) (uint64, error) {
	changes, err := d.platform.Watch(ctx, platform.KindCatalogue, after)
	if err != nil {
		return after, err
	}
	d.applyEvents(changes.Events)
	return max(after, changes.Version), nil
}

// factCatalogue is the kind of the facts that are catalogue entries. The key
// is the entry's, the version the platform's; a deleted entry has no body.
const factCatalogue spread.Kind = "catalogue"

// applyEvents makes the platform's changes known, here and to all peers.
func (d *Daemon) applyEvents(events []platform.Event) {
	facts := make([]spread.Fact, 0, len(events))
	for _, e := range events {
		f := spread.Fact{ID: spread.ID{Kind: factCatalogue, Key: e.Object.Name}, Version: e.Object.Version}
		if !e.Deleted {
			f.Body = e.Object.Data
		}
		facts = append(facts, f)
	}
	d.publish(facts...)
}

// takeCatalogue puts the valid ones of newer entries in force.
func (d *Daemon) takeCatalogue(facts []spread.Fact) {
	records := make([]catalogue.Record, 0, len(facts))
	for _, f := range facts {
		r, err := record(f)
		if err != nil {
			d.metrics.catalogueInvalid.Add(1)
			d.log.Error().Str("event", "catalogue.invalid").Str("object", f.ID.Key).Uint64("version", f.Version).Err(err).Send()
			continue
		}
		records = append(records, r)
	}
	d.applyRecords(records)
}

func record(f spread.Fact) (catalogue.Record, error) {
	id, err := parseID(f.ID.Key)
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
			d.inForce(merged, newer)
			return
		}
	}
}

func (d *Daemon) inForce(set *catalogue.Set, newer []catalogue.Record) {
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

func parseID(name string) (catalogue.ID, error) {
	kind, rest, ok := strings.Cut(name, ".")
	if !ok {
		return catalogue.ID{}, &catalogue.EntryError{Field: "name", Err: catalogue.ErrName}
	}
	return catalogue.ID{Kind: catalogue.Kind(kind), Name: rest}, nil
}
