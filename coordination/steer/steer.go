// Package steer decides which entry hosts a client is told to use.
//
// The sites of the client's block come first, in their order; a client that
// no block holds is told the hosts nearest to the daemon it asked. Hosts that
// are not alive, or that leave, are told to nobody. Clients of one site are
// parted among its hosts by their address, so that each client keeps its
// host while the fleet stays as it is, and a host that leaves moves only its
// own clients.
package steer

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/state/blocks"
	"bilberrytiller.example/tiller/state/catalogue"
)

// MaxHosts is how many hosts a client is told.
const MaxHosts = 4

// Reason says what a choice of hosts was made from.
type Reason string

// Reasons of a choice.
const (
	// ReasonBlock says that the client's block names the sites.
	ReasonBlock Reason = "block"
	// ReasonNearest says that no block holds the client, or that no host of
	// its sites is alive.
	ReasonNearest Reason = "nearest"
)

// Table is an immutable index of the hosts that clients may be told. It is
// made anew when the fleet or the catalogue changes.
type Table struct {
	blocks *blocks.Table
	hosts  []membership.Member
	// hashes holds a hash of each host's ID.
	hashes []uint64
	// sites lists the indexes of each site's hosts.
	sites map[string][]int32
	// nearest lists the own site, then those of the own region, then all.
	nearest []string
}

// NewTable returns the index for a daemon's view and catalogue.
func NewTable(set *catalogue.Set, view *membership.View) *Table {
	t := &Table{blocks: set.Blocks(), sites: map[string][]int32{}}
	var byDistance [beyond + 1][]string
	for _, m := range view.Members() {
		if m.State != membership.Alive || m.Incarnation == "" || set.HostDraining(m.ID, m.DataCentre) {
			continue
		}
		if _, known := t.sites[m.DataCentre]; !known {
			d := distanceOf(view.Self, m)
			byDistance[d] = append(byDistance[d], m.DataCentre)
		}
		t.sites[m.DataCentre] = append(t.sites[m.DataCentre], int32(len(t.hosts)))
		t.hosts = append(t.hosts, m)
		t.hashes = append(t.hashes, xxhash.Sum64String(m.ID))
	}
	t.nearest = slices.Concat(byDistance[:]...)
	return t
}

// Distances of a site.
const (
	sameSite = iota
	sameRegion
	beyond
)

func distanceOf(self, m membership.Member) int {
	switch {
	case m.DataCentre == self.DataCentre:
		return sameSite
	case m.Region == self.Region:
		return sameRegion
	}
	return beyond
}

// Choice is the hosts that a client is told, best first.
type Choice struct {
	Reason Reason
	hosts  [MaxHosts]*membership.Member
	count  int
}

// Len is the number of hosts.
func (c *Choice) Len() int { return c.count }

// Host returns the i-th host.
func (c *Choice) Host(i int) *membership.Member { return c.hosts[i] }

// Choose returns the hosts for a client.
func (t *Table) Choose(client netip.Addr) Choice {
	choice := Choice{Reason: ReasonNearest}
	seed := hashOf(client)
	if list, ok := t.blocks.Lookup(client); ok {
		for site := range list.All() {
			t.addSite(&choice, site, seed)
		}
		if choice.count > 0 {
			choice.Reason = ReasonBlock
		}
	}
	for _, site := range t.nearest {
		if choice.count == MaxHosts {
			break
		}
		t.addSite(&choice, site, seed)
	}
	return choice
}

// addSite adds the hosts of a site, by rendezvous of client and host.
func (t *Table) addSite(c *Choice, site string, seed uint64) {
	first := c.count
	var scores [MaxHosts]uint64
	for _, i := range t.sites[site] {
		m := &t.hosts[i]
		if c.holds(m) {
			continue
		}
		c.insert(m, score(seed, t.hashes[i]), first, &scores)
	}
}

func (c *Choice) holds(m *membership.Member) bool {
	for _, h := range c.hosts[:c.count] {
		if h == m {
			return true
		}
	}
	return false
}

// insert puts a host in its place among those of its site, which start at
// first and have the given scores.
func (c *Choice) insert(m *membership.Member, score uint64, first int, scores *[MaxHosts]uint64) {
	at := c.count
	for at > first && scores[at-1] < score {
		at--
	}
	if at == MaxHosts {
		return
	}
	c.count = min(c.count+1, MaxHosts)
	for i := c.count - 1; i > at; i-- {
		c.hosts[i], scores[i] = c.hosts[i-1], scores[i-1]
	}
	c.hosts[at], scores[at] = m, score
}

func hashOf(client netip.Addr) uint64 {
	b := client.As16()
	return xxhash.Sum64(b[:])
}

// score returns the rendezvous score of a client and a host.
func score(client, host uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], client)
	binary.LittleEndian.PutUint64(b[8:], host)
	return xxhash.Sum64(b[:])
}
