package catalogue

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
)

// ConflictError says that a field of one entry contradicts another
// entry.
type ConflictError struct {
	Other ID
	Err   error
}

func (e *ConflictError) Error() string { return fmt.Sprintf("%s: %v", e.Other, e.Err) }

// Unwrap returns the cause.
func (e *ConflictError) Unwrap() error { return e.Err }

// checker collects what is wrong between the entries of one set.
type checker struct {
	set      *Set
	entries  map[ID]Entry
	problems []*EntryError
}

// Check returns what is wrong between the entries of the set, by entry and
// field. Each entry by itself is valid when it enters a set.
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
	c.checkAddresses()
	c.checkPrefixes()
	c.checkPairs()
	return c.problems
}

func compareIDs(a, b ID) int { return cmp.Compare(a.String(), b.String()) }

func (c *checker) fail(id ID, field string, other ID, err error) {
	c.problems = append(c.problems, &EntryError{ID: id, Field: field, Err: &ConflictError{Other: other, Err: err}})
}

// reference checks that an entry named by a field exists.
func (c *checker) reference(from ID, field string, kind Kind, name string) {
	to := ID{Kind: kind, Name: name}
	if _, ok := c.entries[to]; !ok {
		c.fail(from, field, to, ErrEntryNotFound)
	}
}

func (c *checker) checkEntry(entry Entry) {
	switch e := entry.(type) {
	case *DataCentre:
		c.reference(e.ID(), "region", KindRegion, e.Region)
	case *Link:
		c.reference(e.ID(), "between[0]", KindRegion, e.Between[0])
		c.reference(e.ID(), "between[1]", KindRegion, e.Between[1])
	case *Upstream:
		c.checkUpstream(e)
	case *Service:
		c.checkMinimum(e)
	case *Blocks:
		c.checkSites(e)
	}
}

func (c *checker) checkSites(entry *Blocks) {
	for i, b := range entry.Blocks {
		for j, site := range b.Sites {
			c.reference(entry.ID(), fmt.Sprintf("blocks[%d].sites[%d]", i, j), KindDataCentre, site)
		}
	}
}

func (c *checker) checkUpstream(u *Upstream) {
	c.reference(u.ID(), "datacentre", KindDataCentre, u.DataCentre)
	for i, name := range u.Services {
		c.reference(u.ID(), fmt.Sprintf("services[%d]", i), KindService, name)
	}
	c.checkGuaranteed(u)
}

// checkGuaranteed checks that the minimums of the services of an upstream
// fit into its slots, each minimum rounded up to whole slots.
func (c *checker) checkGuaranteed(u *Upstream) {
	sum, slots := 0.0, 0
	var last ID
	for _, name := range u.Services {
		service := c.set.Service(name)
		if service == nil || service.Class.Guaranteed == 0 {
			continue
		}
		sum += service.Class.Guaranteed
		slots += wholeSlots(service.Class.Guaranteed, u.Slots)
		last = service.ID()
	}
	switch {
	case sum > 1+rounding:
		c.fail(u.ID(), "services", last, fmt.Errorf("guaranteed minimums add up to %.3g of the slots: %w", sum, ErrOutOfRange))
	case slots > u.Slots:
		c.fail(u.ID(), "slots", last, fmt.Errorf("guaranteed minimums need %d slots, there are %d: %w", slots, u.Slots, ErrOutOfRange))
	}
}

// rounding is how far a sum of fractions may be off.
const rounding = 1e-9

func wholeSlots(fraction float64, slots int) int {
	return int(math.Ceil(fraction*float64(slots) - rounding))
}

// checkMinimum checks that the slots guaranteed to a service do not pass its
// own limit of concurrency.
func (c *checker) checkMinimum(s *Service) {
	if s.Limits.Concurrency == 0 {
		return
	}
	total := 0
	for _, u := range c.set.Upstreams(s.Name) {
		total += wholeSlots(s.Class.Guaranteed, u.Slots)
	}
	if total > s.Limits.Concurrency {
		err := fmt.Errorf("guaranteed minimum is %d slots over all upstreams, limits.concurrency is %d: %w", total, s.Limits.Concurrency, ErrOutOfRange)
		c.problems = append(c.problems, &EntryError{ID: s.ID(), Field: "class.guaranteed", Err: err})
	}
}

func (c *checker) checkAddresses() {
	first := map[netip.AddrPort]ID{}
	for _, u := range c.set.AllUpstreams() {
		if other, ok := first[u.Address]; ok {
			c.fail(u.ID(), "address", other, fmt.Errorf("%v: %w", u.Address, ErrDuplicate))
			continue
		}
		first[u.Address] = u.ID()
	}
}

func (c *checker) checkPrefixes() {
	first := map[netip.Prefix]ID{}
	for _, entry := range entriesOf[*Blocks](c) {
		for i, b := range entry.Blocks {
			if other, ok := first[b.Prefix]; ok {
				c.fail(entry.ID(), fmt.Sprintf("blocks[%d].prefix", i), other, fmt.Errorf("%v: %w", b.Prefix, ErrDuplicate))
				continue
			}
			first[b.Prefix] = entry.ID()
		}
	}
}

func (c *checker) checkPairs() {
	first := map[[2]string]ID{}
	for _, l := range entriesOf[*Link](c) {
		pair := linkKey(l.Between[0], l.Between[1])
		if other, ok := first[pair]; ok {
			c.fail(l.ID(), "between", other, fmt.Errorf("%s and %s: %w", pair[0], pair[1], ErrDuplicate))
			continue
		}
		first[pair] = l.ID()
	}
}

// entriesOf returns the entries of one type, by name.
func entriesOf[E Entry](c *checker) []E {
	var out []E
	for _, id := range slices.SortedFunc(maps.Keys(c.entries), compareIDs) {
		if e, ok := c.entries[id].(E); ok {
			out = append(out, e)
		}
	}
	return out
}
