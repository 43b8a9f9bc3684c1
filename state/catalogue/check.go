package catalogue

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
)

// ConflictError reports a field of one entry that conflicts with another entry
// or refers to one that does not exist.
type ConflictError struct {
	Other ID
	Err   error
}

func (e *ConflictError) Error() string { return fmt.Sprintf("%s: %v", e.Other, e.Err) }

// Unwrap returns the underlying error.
func (e *ConflictError) Unwrap() error { return e.Err }

// checker collects the inconsistencies between the entries of a set.
type checker struct {
	set      *Set
	entries  map[ID]Entry
	problems []*EntryError
}

// Check returns the inconsistencies between the entries of the set, each with
// its entry and field. It does not validate entries individually, because only
// valid ones enter a set.
func (s *Set) Check() []*EntryError {
	c := &checker{set: s, entries: map[ID]Entry{}}
	for id, r := range s.records {
		if !r.Deleted {
			c.entries[id] = r.Decoded()
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.entries), compareIDs) {
		c.checkEntry(c.entries[id])
	}
	c.checkDuplicateAddresses()
	c.checkDuplicatePrefixes()
	c.checkDuplicateLinks()
	return c.problems
}

func compareIDs(a, b ID) int { return cmp.Compare(a.String(), b.String()) }

func (c *checker) addConflict(id ID, field string, other ID, err error) {
	c.problems = append(c.problems, &EntryError{ID: id, Field: field, Err: &ConflictError{Other: other, Err: err}})
}

// checkReference checks that the entry named by a field exists.
func (c *checker) checkReference(from ID, field string, kind Kind, name string) {
	to := ID{Kind: kind, Name: name}
	if _, ok := c.entries[to]; !ok {
		c.addConflict(from, field, to, ErrEntryNotFound)
	}
}

func (c *checker) checkEntry(entry Entry) {
	switch e := entry.(type) {
	case *DataCentre:
		c.checkReference(e.ID(), "region", KindRegion, e.Region)
	case *Link:
		c.checkReference(e.ID(), "between[0]", KindRegion, e.Between[0])
		c.checkReference(e.ID(), "between[1]", KindRegion, e.Between[1])
	case *Upstream:
		c.checkUpstream(e)
	case *Service:
		c.checkConcurrencyLimit(e)
	case *Blocks:
		c.checkBlockSites(e)
	}
}

func (c *checker) checkBlockSites(entry *Blocks) {
	for i, b := range entry.Blocks {
		for j, site := range b.Sites {
			c.checkReference(entry.ID(), fmt.Sprintf("blocks[%d].sites[%d]", i, j), KindDataCentre, site)
		}
	}
}

func (c *checker) checkUpstream(u *Upstream) {
	c.checkReference(u.ID(), "datacentre", KindDataCentre, u.DataCentre)
	for i, name := range u.Services {
		c.checkReference(u.ID(), fmt.Sprintf("services[%d]", i), KindService, name)
	}
	c.checkGuaranteedSlots(u)
}

// checkGuaranteedSlots checks that the guaranteed minimums of an upstream's
// services fit into its slots, with each minimum rounded up to whole slots.
func (c *checker) checkGuaranteedSlots(u *Upstream) {
	sum, slots := 0.0, 0
	var last ID
	for _, name := range u.Services {
		service := c.set.Service(name)
		if service == nil || service.Class.Guaranteed == 0 {
			continue
		}
		sum += service.Class.Guaranteed
		slots += slotsForFraction(service.Class.Guaranteed, u.Slots)
		last = service.ID()
	}
	switch {
	case sum > 1+roundingTolerance:
		c.addConflict(u.ID(), "services", last, fmt.Errorf("guaranteed minimums add up to %.3g of the slots: %w", sum, ErrOutOfRange))
	case slots > u.Slots:
		c.addConflict(u.ID(), "slots", last, fmt.Errorf("guaranteed minimums need %d slots but the upstream has %d: %w", slots, u.Slots, ErrOutOfRange))
	}
}

// roundingTolerance is the accepted rounding error in a sum of fractions.
const roundingTolerance = 1e-9

func slotsForFraction(fraction float64, slots int) int {
	return int(math.Ceil(fraction*float64(slots) - roundingTolerance))
}

// checkConcurrencyLimit checks that the slots guaranteed to a service do not
// exceed its own concurrency limit.
func (c *checker) checkConcurrencyLimit(s *Service) {
	if s.Limits.Concurrency == 0 {
		return
	}
	total := 0
	for _, u := range c.set.Upstreams(s.Name) {
		total += slotsForFraction(s.Class.Guaranteed, u.Slots)
	}
	if total > s.Limits.Concurrency {
		err := fmt.Errorf("guaranteed minimum is %d slots across all upstreams but limits.concurrency is %d: %w", total, s.Limits.Concurrency, ErrOutOfRange)
		c.problems = append(c.problems, &EntryError{ID: s.ID(), Field: "class.guaranteed", Err: err})
	}
}

func (c *checker) checkDuplicateAddresses() {
	first := map[netip.AddrPort]ID{}
	for _, u := range c.set.AllUpstreams() {
		if other, ok := first[u.Address]; ok {
			c.addConflict(u.ID(), "address", other, fmt.Errorf("%v: %w", u.Address, ErrDuplicate))
			continue
		}
		first[u.Address] = u.ID()
	}
}

func (c *checker) checkDuplicatePrefixes() {
	first := map[netip.Prefix]ID{}
	for _, entry := range entriesOf[*Blocks](c) {
		for i, b := range entry.Blocks {
			if other, ok := first[b.Prefix]; ok {
				c.addConflict(entry.ID(), fmt.Sprintf("blocks[%d].prefix", i), other, fmt.Errorf("%v: %w", b.Prefix, ErrDuplicate))
				continue
			}
			first[b.Prefix] = entry.ID()
		}
	}
}

func (c *checker) checkDuplicateLinks() {
	first := map[[2]string]ID{}
	for _, l := range entriesOf[*Link](c) {
		pair := linkKey(l.Between[0], l.Between[1])
		if other, ok := first[pair]; ok {
			c.addConflict(l.ID(), "between", other, fmt.Errorf("%s and %s: %w", pair[0], pair[1], ErrDuplicate))
			continue
		}
		first[pair] = l.ID()
	}
}

// entriesOf returns the entries of one type, sorted by name.
func entriesOf[E Entry](c *checker) []E {
	var out []E
	for _, id := range slices.SortedFunc(maps.Keys(c.entries), compareIDs) {
		if e, ok := c.entries[id].(E); ok {
			out = append(out, e)
		}
	}
	return out
}
