// Package blocks maps the address of a client to the ordered sites of the
// longest block that holds it.
//
// A Table is immutable, so that look-ups need no lock. Changes are gathered
// in a Changes, which shares with the old table all that did not change.
package blocks

import (
	"iter"
	"net/netip"
	"strings"
	"unique"

	"github.com/gaissmai/bart"
)

// separator parts the names of sites in a List. No name holds it.
const separator = ","

// SiteList is an ordered list of sites. Equal lists share their memory.
type SiteList struct {
	names unique.Handle[string]
}

// NewSiteList returns the list of the given sites.
func NewSiteList(sites []string) SiteList {
	return SiteList{names: unique.Make(strings.Join(sites, separator))}
}

// All yields the sites in order.
func (l SiteList) All() iter.Seq[string] { return strings.SplitSeq(l.names.Value(), separator) }

// Table maps client addresses to lists of sites.
type Table struct {
	prefixes *bart.Table[SiteList]
}

// Empty returns a table with no blocks.
func Empty() *Table { return &Table{prefixes: new(bart.Table[SiteList])} }

// Lookup returns the sites for a client, and false if no block holds it.
func (t *Table) Lookup(client netip.Addr) (SiteList, bool) {
	return t.prefixes.Lookup(client.Unmap())
}

// Size is the number of blocks.
func (t *Table) Size() int { return t.prefixes.Size() }

// Builder gathers changes of a table.
type Builder struct {
	prefixes *bart.Table[SiteList]
}

// NewBuilder returns changes that start from a table, which stays as it is.
func NewBuilder(t *Table) *Builder { return &Builder{prefixes: t.prefixes} }

// Insert steers a block to sites.
func (c *Builder) Insert(prefix netip.Prefix, sites []string) {
	c.prefixes = c.prefixes.InsertPersist(prefix, NewSiteList(sites))
}

// Delete takes a block out.
func (c *Builder) Delete(prefix netip.Prefix) {
	c.prefixes = c.prefixes.DeletePersist(prefix)
}

// Table returns the changed table.
func (c *Builder) Table() *Table { return &Table{prefixes: c.prefixes} }
