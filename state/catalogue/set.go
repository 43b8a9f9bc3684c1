package catalogue

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"bilberrytiller.example/tiller/state/blocks"
)

// Version is a version of an object in the platform. Versions of one object
// only grow, and two objects never share one.
type Version uint64

// Record is one version of one entry. A Record with Deleted set says that
// the entry was deleted at Version.
type Record struct {
	ID      ID
	Version Version
	Deleted bool
	// Data is the encoded entry, as the platform holds it.
	Data json.RawMessage
	// Entry is the decoded entry. It is nil for a deleted one, and for one of
	// kind blocks, which would take several times the memory of its Data; use
	// Decoded.
	Entry Entry
}

// Decoded returns the entry, decoding it if the record does not hold it. It
// returns nil for a deleted one.
func (r Record) Decoded() Entry {
	if r.Entry != nil || len(r.Data) == 0 {
		return r.Entry
	}
	entry, err := Decode(r.Data)
	if err != nil {
		return nil
	}
	return entry
}

// NewRecord decodes data as the entry with the given identity.
func NewRecord(id ID, version Version, data []byte) (Record, error) {
	entry, err := Decode(data)
	if err != nil {
		return Record{}, err
	}
	if entry.ID() != id {
		return Record{}, &EntryError{ID: id, Field: "name", Err: fmt.Errorf("object holds %s: %w", entry.ID(), ErrConflict)}
	}
	r := Record{ID: id, Version: version, Data: data, Entry: entry}
	if id.Kind == KindBlocks {
		r.Entry = nil
	}
	return r, nil
}

// Set is an immutable set of entries, each at its highest version seen.
type Set struct {
	// Version is the highest version in the set.
	Version Version
	records map[ID]Record

	services  map[string]*Service
	upstreams map[string]*Upstream
	// byName lists the upstreams by name.
	byName      []*Upstream
	byService   map[string][]*Upstream
	dataCentres map[string]*DataCentre
	links       map[[2]string]*Link
	hosts       map[string]*Host
	blocks      *blocks.Table
}

// Empty returns a set with no entries.
func Empty() *Set { return build(map[ID]Record{}, blocks.Empty()) }

// Merge returns a set with the given records added, and those of them that
// were newer than what the set held. Older and equal records change nothing.
func (s *Set) Merge(records []Record) (*Set, []Record) {
	var newer []Record
	merged := s.records
	for _, r := range records {
		held, ok := merged[r.ID]
		if ok && held.Version >= r.Version {
			continue
		}
		if len(newer) == 0 {
			merged = maps.Clone(merged)
		}
		merged[r.ID] = r
		newer = append(newer, r)
	}
	if len(newer) == 0 {
		return s, nil
	}
	return build(merged, s.changedBlocks(newer)), newer
}

// changedBlocks returns the table of blocks with newer entries taken over:
// first all that leave, then all that come, so that a block may move from
// one entry to another.
func (s *Set) changedBlocks(newer []Record) *blocks.Table {
	changes := blocks.NewBuilder(s.blocks)
	for _, r := range newer {
		if old, ok := s.records[r.ID].Decoded().(*Blocks); ok {
			for _, b := range old.Blocks {
				changes.Delete(b.Prefix)
			}
		}
	}
	for _, r := range newer {
		if entry, ok := r.Decoded().(*Blocks); ok {
			for _, b := range entry.Blocks {
				changes.Insert(b.Prefix, b.Sites)
			}
		}
	}
	return changes.Table()
}

// Blocks returns the table that steers blocks of clients to sites.
func (s *Set) Blocks() *blocks.Table { return s.blocks }

// Records returns all records of the set, deleted ones too, by identity.
func (s *Set) Records() []Record {
	return slices.SortedFunc(maps.Values(s.records), func(a, b Record) int {
		return cmp.Compare(a.ID.String(), b.ID.String())
	})
}

// Record returns the record of an entry, which may be a deleted one.
func (s *Set) Record(id ID) (Record, bool) {
	r, ok := s.records[id]
	return r, ok
}

// Service returns a service by name, or nil.
func (s *Set) Service(name string) *Service { return s.services[name] }

// Services returns every service, by name.
func (s *Set) Services() []*Service {
	return slices.SortedFunc(maps.Values(s.services), func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
}

// Upstream returns an upstream by name, or nil.
func (s *Set) Upstream(name string) *Upstream { return s.upstreams[name] }

// Upstreams returns the upstreams of a service, by name. The caller must not
// change the slice.
func (s *Set) Upstreams(service string) []*Upstream { return s.byService[service] }

// AllUpstreams returns every upstream, by name. The caller must not change
// the slice.
func (s *Set) AllUpstreams() []*Upstream { return s.byName }

// DataCentre returns a data centre by name, or nil.
func (s *Set) DataCentre(name string) *DataCentre { return s.dataCentres[name] }

// RegionOf returns the region of a data centre, or "".
func (s *Set) RegionOf(dataCentre string) string {
	if dc := s.dataCentres[dataCentre]; dc != nil {
		return dc.Region
	}
	return ""
}

// Links returns every link. Their order is not fixed.
func (s *Set) Links() []*Link { return slices.Collect(maps.Values(s.links)) }

// Link returns the link between two regions in either order, or nil.
func (s *Set) Link(a, b string) *Link { return s.links[linkKey(a, b)] }

// UpstreamDraining reports whether an upstream is to get no new work, because it or
// its data centre is drained.
func (s *Set) UpstreamDraining(u *Upstream) bool {
	dc := s.dataCentres[u.DataCentre]
	return u.Drain || (dc != nil && dc.Drain)
}

// HostDraining reports whether an entry host is drained, by itself or with
// its data centre.
func (s *Set) HostDraining(host, dataCentre string) bool {
	h := s.hosts[host]
	dc := s.dataCentres[dataCentre]
	return (h != nil && h.Drain) || (dc != nil && dc.Drain)
}

func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func build(records map[ID]Record, table *blocks.Table) *Set {
	s := &Set{
		records:     records,
		services:    map[string]*Service{},
		upstreams:   map[string]*Upstream{},
		byService:   map[string][]*Upstream{},
		dataCentres: map[string]*DataCentre{},
		links:       map[[2]string]*Link{},
		hosts:       map[string]*Host{},
		blocks:      table,
	}
	for _, r := range records {
		s.Version = max(s.Version, r.Version)
		if !r.Deleted {
			s.index(r.Entry)
		}
	}
	s.byName = slices.SortedFunc(maps.Values(s.upstreams), func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
	return s
}

func (s *Set) index(entry Entry) {
	switch e := entry.(type) {
	case *Service:
		s.services[e.Name] = e
	case *Upstream:
		s.upstreams[e.Name] = e
		for _, service := range e.Services {
			s.byService[service] = append(s.byService[service], e)
		}
	case *DataCentre:
		s.dataCentres[e.Name] = e
	case *Link:
		s.links[linkKey(e.Between[0], e.Between[1])] = e
	case *Host:
		s.hosts[e.Name] = e
	}
}
