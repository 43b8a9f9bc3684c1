package catalogue

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode"
)

// Limits on the fields of an entry.
const (
	MaxSlots       = 10_000
	MaxConnections = 100_000
	MaxDeadline    = time.Hour
	MaxSites       = 64
	MaxOwnerBytes  = 128
	MaxBlocks      = 512
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var changePattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)

// Errors wrapped by an EntryError.
var (
	ErrInvalidChangeID = errors.New("want 1 to 64 letters, digits or hyphens")
	ErrInvalidName     = errors.New("want 1 to 63 of a-z, 0-9 and -, not starting with -")
	ErrMissing         = errors.New("missing")
	ErrOutOfRange      = errors.New("out of range")
	ErrConflict        = errors.New("conflicts with another field")
	ErrEntryNotFound   = errors.New("no such entry")
)

func (m Meta) invalid(field string, err error) error {
	return &EntryError{ID: m.ID(), Field: field, Err: err}
}

func (m Meta) validate(kind Kind) error {
	if m.Kind != kind {
		return m.invalid("kind", UnknownKindError{Got: m.Kind})
	}
	if !namePattern.MatchString(m.Name) {
		return m.invalid("name", ErrInvalidName)
	}
	if m.Owner == "" {
		return m.invalid("owner", ErrMissing)
	}
	if len(m.Owner) > MaxOwnerBytes || strings.ContainsFunc(m.Owner, unicode.IsControl) {
		return m.invalid("owner", fmt.Errorf("want at most %d bytes and no control characters: %w", MaxOwnerBytes, ErrOutOfRange))
	}
	if m.ChangeID != "" && !changePattern.MatchString(m.ChangeID) {
		return m.invalid("change", ErrInvalidChangeID)
	}
	return nil
}

// Validate checks the entry on its own.
func (r *Region) Validate() error { return r.validate(KindRegion) }

// Validate checks the entry on its own.
func (d *DataCentre) Validate() error {
	if err := d.validate(KindDataCentre); err != nil {
		return err
	}
	if d.Region == "" {
		return d.invalid("region", ErrMissing)
	}
	return nil
}

// Validate checks the entry on its own.
func (l *Link) Validate() error {
	if err := l.validate(KindLink); err != nil {
		return err
	}
	if l.Between[0] == "" || l.Between[1] == "" {
		return l.invalid("between", ErrMissing)
	}
	if l.Between[0] == l.Between[1] {
		return l.invalid("between", fmt.Errorf("both ends are %s: %w", l.Between[0], ErrConflict))
	}
	if l.CapMbit <= 0 {
		return l.invalid("cap_mbit", fmt.Errorf("%g, want above 0: %w", l.CapMbit, ErrOutOfRange))
	}
	if l.Delay < 0 {
		return l.invalid("delay", fmt.Errorf("%v, want 0 or more: %w", time.Duration(l.Delay), ErrOutOfRange))
	}
	return nil
}

// Validate checks the entry on its own.
func (s *Service) Validate() error {
	if err := s.validate(KindService); err != nil {
		return err
	}
	if d := time.Duration(s.Class.Deadline); d <= 0 || d > MaxDeadline {
		return s.invalid("class.deadline", fmt.Errorf("%v, want above 0 and at most %v: %w", d, MaxDeadline, ErrOutOfRange))
	}
	if g := s.Class.Guaranteed; g < 0 || g > 1 {
		return s.invalid("class.guaranteed", fmt.Errorf("%g, want 0 to 1: %w", g, ErrOutOfRange))
	}
	if s.Class.Durable && !s.Class.Idempotent {
		return s.invalid("class.durable", fmt.Errorf("durable work must be idempotent: %w", ErrConflict))
	}
	return s.validateLimits()
}

func (s *Service) validateLimits() error {
	if w := s.Class.Worth; w < 0 {
		return s.invalid("class.worth", fmt.Errorf("%g, want 0 or more: %w", w, ErrOutOfRange))
	}
	if s.Limits.Rate < 0 {
		return s.invalid("limits.rate", fmt.Errorf("%g, want 0 or more: %w", s.Limits.Rate, ErrOutOfRange))
	}
	if s.Limits.Concurrency < 0 {
		return s.invalid("limits.concurrency", fmt.Errorf("%d, want 0 or more: %w", s.Limits.Concurrency, ErrOutOfRange))
	}
	if f := s.Limits.ShiftPerMinute; f < 0 || f > 1 {
		return s.invalid("limits.shift_per_minute", fmt.Errorf("%g, want 0 to 1: %w", f, ErrOutOfRange))
	}
	return nil
}

// Validate checks the entry on its own.
func (u *Upstream) Validate() error {
	if err := u.validate(KindUpstream); err != nil {
		return err
	}
	if len(u.Services) == 0 {
		return u.invalid("services", ErrMissing)
	}
	if name, ok := firstDuplicate(u.Services); ok {
		return u.invalid("services", fmt.Errorf("%q: %w", name, ErrDuplicate))
	}
	if u.DataCentre == "" {
		return u.invalid("datacentre", ErrMissing)
	}
	if !u.Address.IsValid() || u.Address.Port() == 0 {
		return u.invalid("address", ErrMissing)
	}
	if u.Slots < 1 || u.Slots > MaxSlots {
		return u.invalid("slots", fmt.Errorf("%d, want 1 to %d: %w", u.Slots, MaxSlots, ErrOutOfRange))
	}
	if u.Connections < u.Slots || u.Connections > MaxConnections {
		return u.invalid("connections", fmt.Errorf("%d, want slots to %d: %w", u.Connections, MaxConnections, ErrOutOfRange))
	}
	return nil
}

// Validate checks the entry on its own.
func (h *Host) Validate() error { return h.validate(KindHost) }

// Validate checks the entry on its own.
func (b *Blocks) Validate() error {
	if err := b.validate(KindBlocks); err != nil {
		return err
	}
	if len(b.Blocks) > MaxBlocks {
		return b.invalid("blocks", fmt.Errorf("%d blocks, want at most %d: %w", len(b.Blocks), MaxBlocks, ErrOutOfRange))
	}
	for i, block := range b.Blocks {
		if !block.Prefix.IsValid() || block.Prefix != block.Prefix.Masked() {
			return b.invalid(fmt.Sprintf("blocks[%d].prefix", i), fmt.Errorf("want an address block with no host bits: %w", ErrOutOfRange))
		}
		if len(block.Sites) == 0 || len(block.Sites) > MaxSites {
			return b.invalid(fmt.Sprintf("blocks[%d].sites", i), fmt.Errorf("%d sites, want 1 to %d: %w", len(block.Sites), MaxSites, ErrOutOfRange))
		}
	}
	return nil
}

// firstDuplicate returns the first name that repeats an earlier one in the
// list.
func firstDuplicate(names []string) (string, bool) {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			return name, true
		}
	}
	return "", false
}
