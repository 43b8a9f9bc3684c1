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

// List is an ordered list of sites. Equal lists share their memory.
type List struct {
	names unique.Handle[string]
}

// NewList returns the list of the given sites.
func NewList(sites []string) List {
	return List{names: unique.Make(strings.Join(sites, separator))}
}

// All yields the sites in order.
func (l List) All() iter.Seq[string] { return strings.SplitSeq(l.names.Value(), separator) }

// Table maps client addresses to lists of sites.
type Table struct {
	prefixes *bart.Table[List]
}

// Empty returns a table with no blocks.
func Empty() *Table { return &Table{prefixes: new(bart.Table[List])} }

// Lookup returns the sites for a client, and false if no block holds it.
func (t *Table) Lookup(client netip.Addr) (List, bool) {
	return t.prefixes.Lookup(client.Unmap())
}

// Size is the number of blocks.
func (t *Table) Size() int { return t.prefixes.Size() }

// Changes gathers changes of a table.
type Changes struct {
	prefixes *bart.Table[List]
}

// NewChanges returns changes that start from a table, which stays as it is.
func NewChanges(t *Table) *Changes { return &Changes{prefixes: t.prefixes} }

// Put steers a block to sites.
func (c *Changes) Put(prefix netip.Prefix, sites []string) {
	c.prefixes = c.prefixes.InsertPersist(prefix, NewList(sites))
}

// Remove takes a block out.
func (c *Changes) Remove(prefix netip.Prefix) {
	c.prefixes = c.prefixes.DeletePersist(prefix)
}

// Table returns the changed table.
func (c *Changes) Table() *Table { return &Table{prefixes: c.prefixes} }
