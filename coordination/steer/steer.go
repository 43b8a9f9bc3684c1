// Package steer selects the entry hosts that a client is told to use.
//
// The hosts of the sites listed for the client's address block come first, in
// the order of the sites; a site is a data centre. They are followed by the hosts nearest to the daemon
// that the client asked, which are the only ones for a client without a block.
// Hosts that are leaving, draining or not alive are never selected. Within a
// site, hosts are ranked by rendezvous hashing of the client's address, so
// that each client keeps its host while the fleet is unchanged, and the
// departure of a host moves only its own clients.
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

// MaxHosts is the maximum number of hosts returned to a client.
const MaxHosts = 4

// Reason is the basis on which hosts were selected.
type Reason string

// Reasons of a Choice.
const (
	// ReasonBlock means that the sites of the client's address block were used.
	ReasonBlock Reason = "block"
	// ReasonNearest means that no block contains the client, or that its sites
	// have no usable host.
	ReasonNearest Reason = "nearest"
)

// Table is an immutable index of the hosts that clients may use. It is rebuilt
// when the fleet or the catalogue changes.
type Table struct {
	blocks *blocks.Table
	hosts  []membership.Member
	// hostHashes holds the hash of each host's ID.
	hostHashes []uint64
	// hostsBySite holds the indexes in hosts of each site's hosts.
	hostsBySite map[string][]int32
	// sitesByDistance lists the daemon's own site, then the other sites of its
	// region, then all remaining sites.
	sitesByDistance []string
}

// NewTable builds the index from the catalogue and the daemon's view of the
// fleet.
func NewTable(set *catalogue.Set, view *membership.View) *Table {
	t := &Table{blocks: set.Blocks(), hostsBySite: map[string][]int32{}}
	var byDistance [otherRegion + 1][]string
	for _, m := range view.Members() {
		if m.State != membership.Alive || m.Incarnation == "" || set.HostDraining(m.ID, m.DataCentre) {
			continue
		}
		if _, known := t.hostsBySite[m.DataCentre]; !known {
			d := distanceOf(view.Self, m)
			byDistance[d] = append(byDistance[d], m.DataCentre)
		}
		t.hostsBySite[m.DataCentre] = append(t.hostsBySite[m.DataCentre], int32(len(t.hosts)))
		t.hosts = append(t.hosts, m)
		t.hostHashes = append(t.hostHashes, xxhash.Sum64String(m.ID))
	}
	t.sitesByDistance = slices.Concat(byDistance[:]...)
	return t
}

// Distances of a site from the daemon.
const (
	sameSite = iota
	sameRegion
	otherRegion
)

func distanceOf(self, m membership.Member) int {
	switch {
	case m.DataCentre == self.DataCentre:
		return sameSite
	case m.Region == self.Region:
		return sameRegion
	}
	return otherRegion
}

// Choice is the list of hosts for a client, best first.
type Choice struct {
	Reason Reason
	hosts  [MaxHosts]*membership.Member
	count  int
}

// Len returns the number of hosts.
func (c *Choice) Len() int { return c.count }

// Host returns the i-th host.
func (c *Choice) Host(i int) *membership.Member { return c.hosts[i] }

// Choose selects the hosts for a client.
func (t *Table) Choose(client netip.Addr) Choice {
	choice := Choice{Reason: ReasonNearest}
	clientHash := hashClient(client)
	if list, ok := t.blocks.Lookup(client); ok {
		for site := range list.All() {
			t.addSite(&choice, site, clientHash)
		}
		if choice.count > 0 {
			choice.Reason = ReasonBlock
		}
	}
	for _, site := range t.sitesByDistance {
		if choice.count == MaxHosts {
			break
		}
		t.addSite(&choice, site, clientHash)
	}
	return choice
}

// addSite adds the hosts of a site in the order of their rendezvous scores for
// the client.
func (t *Table) addSite(c *Choice, site string, clientHash uint64) {
	start := c.count
	var scores [MaxHosts]uint64
	for _, i := range t.hostsBySite[site] {
		m := &t.hosts[i]
		if c.contains(m) {
			continue
		}
		c.insert(m, rendezvousScore(clientHash, t.hostHashes[i]), start, &scores)
	}
}

func (c *Choice) contains(m *membership.Member) bool {
	for _, h := range c.hosts[:c.count] {
		if h == m {
			return true
		}
	}
	return false
}

// insert adds a host to those of its site by descending score and drops what
// exceeds MaxHosts. The site's hosts begin at index start; scores holds the
// score of each at the same index.
func (c *Choice) insert(m *membership.Member, score uint64, start int, scores *[MaxHosts]uint64) {
	pos := c.count
	for pos > start && scores[pos-1] < score {
		pos--
	}
	if pos == MaxHosts {
		return
	}
	c.count = min(c.count+1, MaxHosts)
	for i := c.count - 1; i > pos; i-- {
		c.hosts[i], scores[i] = c.hosts[i-1], scores[i-1]
	}
	c.hosts[pos], scores[pos] = m, score
}

func hashClient(client netip.Addr) uint64 {
	b := client.As16()
	return xxhash.Sum64(b[:])
}

// rendezvousScore returns the rendezvous score of a client and a host.
func rendezvousScore(client, host uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], client)
	binary.LittleEndian.PutUint64(b[8:], host)
	return xxhash.Sum64(b[:])
}
