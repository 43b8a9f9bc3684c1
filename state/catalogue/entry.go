// Package catalogue holds the operators' catalogue: its entries, how they are
// decoded and checked, and the set of entries that is in force.
//
// The catalogue is a set of entries, each stored as one object of the
// platform. An entry is named by its kind and name. Entries merge by version:
// the higher version of an entry wins, so that a set never goes backwards
// whatever the order in which versions arrive.
package catalogue

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

// SchemaVersion is the schema of entries that this package reads and writes.
const SchemaVersion = 1

// Kind is the kind of a catalogue entry.
type Kind string

// The kinds of entry.
const (
	KindRegion     Kind = "region"
	KindDataCentre Kind = "datacentre"
	KindLink       Kind = "link"
	KindService    Kind = "service"
	KindUpstream   Kind = "upstream"
	KindHost       Kind = "host"
	KindBlocks     Kind = "blocks"
)

// ID names an entry.
type ID struct {
	Kind Kind
	Name string
}

// String returns the name of the platform object that holds the entry.
func (id ID) String() string { return string(id.Kind) + "." + id.Name }

// ParseID reads the name of a platform object that holds an entry.
func ParseID(text string) (ID, error) {
	kind, name, ok := strings.Cut(text, ".")
	if !ok || !namePattern.MatchString(name) {
		return ID{}, &EntryError{Field: "name", Err: fmt.Errorf("%q, want KIND.NAME: %w", text, ErrInvalidName)}
	}
	if _, err := newEntry(Kind(kind)); err != nil {
		return ID{}, &EntryError{Field: "kind", Err: err}
	}
	return ID{Kind: Kind(kind), Name: name}, nil
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: %w", text, err)
	}
	*d = Duration(v)
	return nil
}

// Meta is what every entry carries.
type Meta struct {
	Schema int    `json:"schema"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Owner  string `json:"owner"`
	// ChangeID is the identity of the write that made this version of the
	// entry, so that a writer can tell its own write from an equal one.
	ChangeID string `json:"change,omitempty"`
}

// Entry is one entry of the catalogue.
type Entry interface {
	// ID names the entry.
	ID() ID
	// Validate checks the entry by itself and returns an *EntryError.
	Validate() error
	// SetChangeID sets the identity of the write that makes the next version.
	SetChangeID(id string)
}

// ID names the entry.
func (m Meta) ID() ID { return ID{Kind: m.Kind, Name: m.Name} }

// SetChangeID sets the identity of the write that makes the next version.
func (m *Meta) SetChangeID(id string) { m.ChangeID = id }

// Region is a set of data centres that share links to other regions.
type Region struct {
	Meta
}

// DataCentre is a place where hosts and upstreams stand.
type DataCentre struct {
	Meta
	Region string `json:"region"`
	// Drain takes the data centre's upstreams and hosts out of use.
	Drain bool `json:"drain,omitempty"`
}

// Link is the path between two regions, one entry for both directions.
type Link struct {
	Meta
	Between [2]string `json:"between"`
	// CapMbit is the limit in each direction, in megabits a second.
	CapMbit float64 `json:"cap_mbit"`
	// Delay is the one-way delay.
	Delay Duration `json:"delay"`
}

// OtherEnd returns the region at the other end of the link, or false if neither
// end is the given region.
func (l *Link) OtherEnd(region string) (string, bool) {
	switch region {
	case l.Between[0]:
		return l.Between[1], true
	case l.Between[1]:
		return l.Between[0], true
	}
	return "", false
}

// Class is the class of work of a service.
type Class struct {
	Rank request.Rank `json:"rank"`
	// Idempotent work may be run again after an unknown outcome.
	Idempotent bool `json:"idempotent"`
	// Durable work that is accepted is kept in the platform until answered.
	Durable bool `json:"durable,omitempty"`
	// Deadline bounds a request that brings no deadline of its own.
	Deadline Duration `json:"deadline"`
	// Guaranteed is the fraction of slots the class keeps under any flood.
	Guaranteed float64 `json:"guaranteed,omitempty"`
	// Worth weighs one answer of this class against others.
	Worth float64 `json:"worth,omitempty"`
}

// Limits bound what a service may use over the whole fleet. Zero is no limit.
type Limits struct {
	// Rate is in requests a second.
	Rate float64 `json:"rate,omitempty"`
	// Concurrency is in requests in flight.
	Concurrency int `json:"concurrency,omitempty"`
	// ShiftPerMinute is the largest fraction of the service's traffic that
	// may move between two regions in a minute.
	ShiftPerMinute float64 `json:"shift_per_minute,omitempty"`
}

// Service is a kind of work that callers ask for.
type Service struct {
	Meta
	Class  Class  `json:"class"`
	Limits Limits `json:"limits"`
}

// Upstream is a backend server.
type Upstream struct {
	Meta
	Services   []string `json:"services"`
	DataCentre string   `json:"datacentre"`
	// Address is the server's IP address and port.
	Address netip.AddrPort `json:"address"`
	// Slots is how many requests the server runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections the server takes.
	Connections int  `json:"connections"`
	Drain       bool `json:"drain,omitempty"`
}

// Host is an entry host of the system. Only a host that is to be drained
// needs an entry; its other facts come from the platform's list of hosts.
type Host struct {
	Meta
	Drain bool `json:"drain,omitempty"`
}

// Blocks steers blocks of clients to sites. One entry holds many blocks, so
// that a catalogue of hundreds of thousands takes a few thousand objects and a
// change of one block rewrites one small object.
type Blocks struct {
	Meta
	Blocks []Block `json:"blocks"`
}

// Block steers one block of clients to an ordered list of sites. A site is a
// data centre.
type Block struct {
	Prefix netip.Prefix `json:"prefix"`
	Sites  []string     `json:"sites"`
}
