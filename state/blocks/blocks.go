// Package blocks maps a client address to the ordered sites of the longest
// address block that contains it.
//
// A Table is immutable, so that reads need no lock. A Builder applies changes
// and shares the unchanged parts of the table with the one it started from.
package blocks

import (
	"iter"
	"net/netip"
	"strings"
	"unique"

	"github.com/gaissmai/bart"
)

// siteSeparator separates the site names in a SiteList. It occurs in no name.
const siteSeparator = ","

// SiteList is an ordered list of sites. Equal lists share memory.
type SiteList struct {
	joined unique.Handle[string]
}

// NewSiteList returns the list of the given sites.
func NewSiteList(sites []string) SiteList {
	return SiteList{joined: unique.Make(strings.Join(sites, siteSeparator))}
}

// All yields the sites in order.
func (l SiteList) All() iter.Seq[string] { return strings.SplitSeq(l.joined.Value(), siteSeparator) }

// Table maps client addresses to site lists.
type Table struct {
	prefixes *bart.Table[SiteList]
}

// Empty returns a table with no blocks.
func Empty() *Table { return &Table{prefixes: new(bart.Table[SiteList])} }

// Lookup returns the sites for a client, or false if no block contains its
// address.
func (t *Table) Lookup(client netip.Addr) (SiteList, bool) {
	return t.prefixes.Lookup(client.Unmap())
}

// Size returns the number of blocks.
func (t *Table) Size() int { return t.prefixes.Size() }

// Builder applies changes to a table.
type Builder struct {
	prefixes *bart.Table[SiteList]
}

// NewBuilder returns a builder that starts from t, which it does not modify.
func NewBuilder(t *Table) *Builder { return &Builder{prefixes: t.prefixes} }

// Insert assigns sites to a block, in place of any that it had.
func (b *Builder) Insert(prefix netip.Prefix, sites []string) {
	b.prefixes = b.prefixes.InsertPersist(prefix, NewSiteList(sites))
}

// Has reports whether a block has sites of its own.
func (b *Builder) Has(prefix netip.Prefix) bool {
	_, found := b.prefixes.Get(prefix)
	return found
}

// Delete removes a block.
func (b *Builder) Delete(prefix netip.Prefix) {
	b.prefixes = b.prefixes.DeletePersist(prefix)
}

// Table returns a table with the changes applied.
func (b *Builder) Table() *Table { return &Table{prefixes: b.prefixes} }
