// Package catalogue defines the operators' catalogue: its entries, how they are
// decoded and checked, and the set of entries that is in force.
//
// Each entry is stored as one object of the platform and is identified by its
// kind and name. Entries are merged by version: the highest version of an entry
// wins, so that a set never returns to an older version of an entry, in
// whatever order the versions arrive.
package catalogue

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

// SchemaVersion is the entry schema that this package reads and writes.
const SchemaVersion = 1

// Kind is the kind of a catalogue entry.
type Kind string

// Kinds of entries.
const (
	KindRegion     Kind = "region"
	KindDataCentre Kind = "datacentre"
	KindLink       Kind = "link"
	KindService    Kind = "service"
	KindUpstream   Kind = "upstream"
	KindHost       Kind = "host"
	KindBlocks     Kind = "blocks"
)

// ID identifies an entry.
type ID struct {
	Kind Kind
	Name string
}

// String returns the name of the platform object that stores the entry.
func (id ID) String() string { return string(id.Kind) + "." + id.Name }

// ParseID parses the name of a platform object that stores an entry. Every error
// is an *EntryError.
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

// Duration is a time.Duration encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText formats the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: %w", text, err)
	}
	*d = Duration(v)
	return nil
}

// Meta holds the fields common to all entries.
type Meta struct {
	Schema int    `json:"schema"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Owner  string `json:"owner"`
	// ChangeID identifies the write that produced this version of the entry, so
	// that a writer can distinguish its own write from another with the same
	// content.
	ChangeID string `json:"change,omitempty"`
}

// Entry is one entry of the catalogue.
type Entry interface {
	// ID returns the kind and name of the entry.
	ID() ID
	// Validate checks the entry on its own and returns an *EntryError if it is
	// invalid.
	Validate() error
	// SetChangeID sets the ID of the write that produces the next version.
	SetChangeID(id string)
}

// ID returns the kind and name of the entry.
func (m Meta) ID() ID { return ID{Kind: m.Kind, Name: m.Name} }

// SetChangeID sets the ID of the write that produces the next version.
func (m *Meta) SetChangeID(id string) { m.ChangeID = id }

// Region is a set of data centres that share links to other regions.
type Region struct {
	Meta
}

// DataCentre is a location of hosts and upstreams.
type DataCentre struct {
	Meta
	Region string `json:"region"`
	// Drain takes the data centre's upstreams and hosts out of service.
	Drain bool `json:"drain,omitempty"`
}

// Link is the network link between two regions. One entry covers both
// directions.
type Link struct {
	Meta
	Between [2]string `json:"between"`
	// CapMbit is the limit in each direction, in megabits per second.
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

// Class defines how a service's requests are treated.
type Class struct {
	Rank request.Rank `json:"rank"`
	// Idempotent requests may be run again after an unknown outcome.
	Idempotent bool `json:"idempotent"`
	// Durable requests are stored in the platform once accepted, until they are
	// answered.
	Durable bool `json:"durable,omitempty"`
	// Deadline is the longest time that a request may take. It also applies to
	// a request without a deadline of its own.
	Deadline Duration `json:"deadline"`
	// Guaranteed is the fraction of slots that the class keeps under any load
	// from others.
	Guaranteed float64 `json:"guaranteed,omitempty"`
	// Worth is the value of one answer of this class relative to others.
	Worth float64 `json:"worth,omitempty"`
}

// Limits defines what a service may use across the whole fleet. Zero means no
// limit.
type Limits struct {
	// Rate is the number of requests per second.
	Rate float64 `json:"rate,omitempty"`
	// Concurrency is the number of requests in flight.
	Concurrency int `json:"concurrency,omitempty"`
	// ShiftPerMinute is the largest fraction of the service's traffic that
	// may move between two regions in a minute.
	ShiftPerMinute float64 `json:"shift_per_minute,omitempty"`
}

// Service is a kind of work that callers can request.
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
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the server accepts.
	Connections int  `json:"connections"`
	Drain       bool `json:"drain,omitempty"`
}

// Host is an entry host of the system. Only a host to be drained needs an
// entry; its other properties come from the platform's list of hosts.
type Host struct {
	Meta
	Drain bool `json:"drain,omitempty"`
}

// Blocks steers address blocks of clients to sites. One entry holds many
// blocks, so that hundreds of thousands of blocks take a few thousand objects
// and a change to one block rewrites only one small object.
type Blocks struct {
	Meta
	Blocks []Block `json:"blocks"`
}

// Block steers the clients of one address block to an ordered list of sites. A
// site is a data centre.
type Block struct {
	Prefix netip.Prefix `json:"prefix"`
	Sites  []string     `json:"sites"`
}
