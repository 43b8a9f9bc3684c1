package daemon

import (
	"cmp"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/catalogue"
)

// maxReasonBytes bounds the text that says why an object is skipped.
const maxReasonBytes = 512

// invalidObject is the body of a factInvalid.
type invalidObject struct {
	Reason string `cbor:"r"`
}

// invalidObjects names the newest version of each object that is skipped.
type invalidObjects struct {
	mu     sync.Mutex
	newest map[string]operatorapi.InvalidObject
}

func newInvalidObjects() *invalidObjects {
	return &invalidObjects{newest: map[string]operatorapi.InvalidObject{}}
}

// add reports whether the version was new.
func (o *invalidObjects) add(obj operatorapi.InvalidObject) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.newest[obj.Name].Version >= obj.Version {
		return false
	}
	o.newest[obj.Name] = obj
	return true
}

// newerThan returns the objects that are newer than the version of them that is
// in force, by name.
func (o *invalidObjects) newerThan(set *catalogue.Set) []operatorapi.InvalidObject {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []operatorapi.InvalidObject
	for name, obj := range o.newest {
		id, err := parseEntryID(name)
		if r, ok := set.Record(id); err == nil && ok && uint64(r.Version) > obj.Version {
			continue
		}
		out = append(out, obj)
	}
	slices.SortFunc(out, func(a, b operatorapi.InvalidObject) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func invalidFact(obj platform.Object, reason error) spread.Fact {
	text := reason.Error()
	body, err := cbor.Marshal(invalidObject{Reason: text[:min(len(text), maxReasonBytes)]})
	if err != nil {
		body = nil
	}
	return spread.Fact{ID: spread.ID{Kind: factInvalid, Key: obj.Name}, Version: obj.Version, Body: body}
}

// applyInvalidFacts notes the objects that relays have skipped.
func (d *Daemon) applyInvalidFacts(facts []spread.Fact) {
	for _, f := range facts {
		var obj invalidObject
		if err := cbor.Unmarshal(f.Body, &obj); err != nil {
			obj.Reason = err.Error()
		}
		d.recordInvalid(f.ID.Key, f.Version, obj.Reason)
	}
}

func (d *Daemon) recordInvalid(name string, version uint64, reason string) {
	if !d.invalid.add(operatorapi.InvalidObject{Name: name, Version: version, Reason: reason}) {
		return
	}
	d.metrics.catalogueInvalid.Add(1)
	d.log.Error().Str("event", "catalogue.invalid").Str("object", name).Uint64("version", version).Str("reason", reason).Send()
}
