package catalogue

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"bilberrytiller.example/tiller/state/blocks"
)

// Version is the version of an object in the platform. The versions of an
// object only increase, and no two objects share a version.
type Version uint64

// Record is one version of an entry. If Deleted is set, the entry was deleted
// at Version.
type Record struct {
	ID      ID
	Version Version
	Deleted bool
	// Data is the encoded entry as stored in the platform.
	Data json.RawMessage
	// Entry is the decoded entry. It is nil for a deleted entry, and for one of
	// kind blocks, whose decoded form would take several times the memory of
	// Data; use Decoded.
	Entry Entry
}

// Decoded returns the entry, decoding Data if Entry is not set. It returns nil
// for a deleted entry and if Data cannot be decoded.
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

// NewRecord returns a record of data, which must encode the entry with the
// given ID. Every error is an *EntryError.
func NewRecord(id ID, version Version, data []byte) (Record, error) {
	entry, err := Decode(data)
	if err != nil {
		return Record{}, err
	}
	if entry.ID() != id {
		return Record{}, &EntryError{ID: id, Field: "name", Err: fmt.Errorf("object contains %s: %w", entry.ID(), ErrConflict)}
	}
	r := Record{ID: id, Version: version, Data: data, Entry: entry}
	if id.Kind == KindBlocks {
		r.Entry = nil
	}
	return r, nil
}

// Set is an immutable set of entries, each at the highest version seen.
type Set struct {
	// Version is the highest version in the set.
	Version Version
	records map[ID]Record

	services  map[string]*Service
	upstreams map[string]*Upstream
	// sortedUpstreams holds the upstreams sorted by name.
	sortedUpstreams    []*Upstream
	upstreamsByService map[string][]*Upstream
	dataCentres        map[string]*DataCentre
	links              map[[2]string]*Link
	hosts              map[string]*Host
	blocks             *blocks.Table
	// sharedBlocks are the blocks that several entries have. The latest of these applies.
	sharedBlocks map[netip.Prefix]bool
}

// Empty returns a set with no entries.
func Empty() *Set { return newSet(map[ID]Record{}, blocks.Empty()) }

// Merge returns a set with the given records added, and those records that
// were newer than the set's own. Records of the same or an older version are
// ignored.
func (s *Set) Merge(records []Record) (*Set, []Record) {
	var newer []Record
	merged := s.records
	for _, r := range records {
		existing, ok := merged[r.ID]
		if ok && existing.Version >= r.Version {
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
	set := newSet(merged, s.blocks)
	set.blocks, set.sharedBlocks = s.mergeBlocks(merged, newer)
	return set, newer
}

// Blocks returns the table that maps address blocks of clients to sites.
func (s *Set) Blocks() *blocks.Table { return s.blocks }

// Records returns all records of the set, including those of deleted entries,
// sorted by ID.
func (s *Set) Records() []Record {
	return slices.SortedFunc(maps.Values(s.records), func(a, b Record) int {
		return cmp.Compare(a.ID.String(), b.ID.String())
	})
}

// Record returns the record of an entry, which may have been deleted.
func (s *Set) Record(id ID) (Record, bool) {
	r, ok := s.records[id]
	return r, ok
}

// Service returns a service by name, or nil.
func (s *Set) Service(name string) *Service { return s.services[name] }

// Services returns all services, sorted by name.
func (s *Set) Services() []*Service {
	return slices.SortedFunc(maps.Values(s.services), func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
}

// Upstream returns an upstream by name, or nil.
func (s *Set) Upstream(name string) *Upstream { return s.upstreams[name] }

// Upstreams returns the upstreams of a service, sorted by name. The caller
// must not modify the slice.
func (s *Set) Upstreams(service string) []*Upstream { return s.upstreamsByService[service] }

// AllUpstreams returns all upstreams, sorted by name. The caller must not
// modify the slice.
func (s *Set) AllUpstreams() []*Upstream { return s.sortedUpstreams }

// DataCentre returns a data centre by name, or nil.
func (s *Set) DataCentre(name string) *DataCentre { return s.dataCentres[name] }

// RegionOf returns the region of a data centre, or "" if it is unknown.
func (s *Set) RegionOf(dataCentre string) string {
	if dc := s.dataCentres[dataCentre]; dc != nil {
		return dc.Region
	}
	return ""
}

// Links returns all links in no particular order.
func (s *Set) Links() []*Link { return slices.Collect(maps.Values(s.links)) }

// Link returns the link between two regions in either order, or nil.
func (s *Set) Link(a, b string) *Link { return s.links[linkKey(a, b)] }

// UpstreamDraining reports whether an upstream must get no new requests,
// because it or its data centre is draining.
func (s *Set) UpstreamDraining(u *Upstream) bool {
	dc := s.dataCentres[u.DataCentre]
	return u.Drain || (dc != nil && dc.Drain)
}

// HostDraining reports whether an entry host or its data centre is draining.
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

func newSet(records map[ID]Record, table *blocks.Table) *Set {
	s := &Set{
		records:            records,
		services:           map[string]*Service{},
		upstreams:          map[string]*Upstream{},
		upstreamsByService: map[string][]*Upstream{},
		dataCentres:        map[string]*DataCentre{},
		links:              map[[2]string]*Link{},
		hosts:              map[string]*Host{},
		blocks:             table,
	}
	for _, r := range records {
		s.Version = max(s.Version, r.Version)
		if !r.Deleted {
			s.index(r.Entry)
		}
	}
	s.sortedUpstreams = slices.SortedFunc(maps.Values(s.upstreams), func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	for _, list := range s.upstreamsByService {
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
			s.upstreamsByService[service] = append(s.upstreamsByService[service], e)
		}
	case *DataCentre:
		s.dataCentres[e.Name] = e
	case *Link:
		s.links[linkKey(e.Between[0], e.Between[1])] = e
	case *Host:
		s.hosts[e.Name] = e
	}
}
