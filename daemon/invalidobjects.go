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

// maxReasonBytes bounds the reason for skipping an object.
const maxReasonBytes = 512

// invalidObject is the body of a fact of kind factInvalid.
type invalidObject struct {
	Reason string `cbor:"r"`
}

// invalidObjects holds the newest skipped version of each object, by the
// object's name. It is safe for concurrent use.
type invalidObjects struct {
	mu     sync.Mutex
	newest map[string]operatorapi.InvalidObject
}

func newInvalidObjects() *invalidObjects {
	return &invalidObjects{newest: map[string]operatorapi.InvalidObject{}}
}

// add adds a skipped version. It returns false if the same or a newer version
// of the object is already there.
func (o *invalidObjects) add(obj operatorapi.InvalidObject) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.newest[obj.Name].Version >= obj.Version {
		return false
	}
	o.newest[obj.Name] = obj
	return true
}

// newerThan returns the skipped versions that no later version in set has
// replaced, sorted by name.
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

// invalidFact returns the fact that a version of an object is invalid.
func invalidFact(obj platform.Object, reason error) spread.Fact {
	text := reason.Error()
	body, err := cbor.Marshal(invalidObject{Reason: text[:min(len(text), maxReasonBytes)]})
	if err != nil {
		body = nil
	}
	return spread.Fact{ID: spread.ID{Kind: factInvalid, Key: obj.Name}, Version: obj.Version, Body: body}
}

// applyInvalidFacts records the objects that relays have skipped.
func (d *Daemon) applyInvalidFacts(facts []spread.Fact) {
	for _, f := range facts {
		var obj invalidObject
		if err := cbor.Unmarshal(f.Body, &obj); err != nil {
			obj.Reason = err.Error()
		}
		d.recordInvalid(f.ID.Key, f.Version, obj.Reason)
	}
}

// recordInvalid records and logs a skipped version of an object, unless it is
// already known.
func (d *Daemon) recordInvalid(name string, version uint64, reason string) {
	if !d.invalid.add(operatorapi.InvalidObject{Name: name, Version: version, Reason: reason}) {
		return
	}
	d.metrics.catalogueInvalid.Add(1)
	d.log.Error().Str("event", "catalogue.invalid").Str("object", name).Uint64("version", version).Str("reason", reason).Send()
}
