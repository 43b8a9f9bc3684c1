package limit

import (
	"maps"
	"slices"
	"time"
)

const (
	// TotalParts is the number of parts that ownership is divided into. The
	// units of every limit are mapped onto the same parts.
	TotalParts = 1 << 20
	// LeaseDuration is how long ownership lasts without renewal. RenewAfter is
	// the age at which it is renewed.
	LeaseDuration = 2 * time.Hour
	RenewAfter    = 10 * time.Minute
	// MaxClockSkew is the maximum clock difference between two hosts.
	MaxClockSkew = 2 * time.Minute
)

// Span is a range of parts. It includes From and excludes To.
type Span struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Owner is the ownership entry of one host.
type Owner struct {
	// Incarnation is the daemon that wrote the entry.
	Incarnation string `json:"incarnation"`
	Spans       []Span `json:"spans"`
	ExpiresMs   int64  `json:"expires_ms"`
}

// Parts returns the number of parts owned.
func (o Owner) Parts() int { return parts(o.Spans) }

// UsableUntil returns the time until which the owner may use its parts. It is
// MaxClockSkew before the end of the lease.
func (o Owner) UsableUntil() time.Time { return time.UnixMilli(o.ExpiresMs).Add(-MaxClockSkew) }

// expired reports whether other hosts may take the owner's parts. That is the
// case once MaxClockSkew has passed since the end of the lease.
func (o Owner) expired(now time.Time) bool {
	return now.After(time.UnixMilli(o.ExpiresMs).Add(MaxClockSkew))
}

// Shares records which host owns which parts. Only a host itself writes its
// entry; any other host may remove the entry once it has expired.
type Shares struct {
	Owners map[string]Owner `json:"owners"`
}

// Plan returns the shares that a host wants and whether they differ from the
// current ones. A host with more than an equal share gives up the rest; a host
// with less takes parts that nobody owns. Expected hosts that have no entry yet
// count as owners, so that the first host leaves them their shares.
func (s Shares) Plan(host, incarnation string, expected []string, now time.Time) (Shares, bool) {
	next := Shares{Owners: maps.Clone(s.Owners)}
	if next.Owners == nil {
		next.Owners = map[string]Owner{}
	}
	maps.DeleteFunc(next.Owners, func(id string, o Owner) bool { return id != host && o.expired(now) })
	own, known := next.Owners[host]
	if own.expired(now) {
		own.Spans = nil
	}
	next.Owners[host] = own
	equalShare := TotalParts / next.countWith(expected)
	held := own.Parts()
	switch {
	case held > equalShare:
		own.Spans = firstParts(own.Spans, equalShare)
	case held < equalShare:
		own.Spans = normalize(append(slices.Clone(own.Spans), firstParts(next.free(), equalShare-held)...))
	}
	renewalDue := now.Add(LeaseDuration-RenewAfter).UnixMilli() >= own.ExpiresMs
	changed := !known || renewalDue || own.Incarnation != incarnation || own.Parts() != held
	own.Incarnation = incarnation
	own.ExpiresMs = now.Add(LeaseDuration).UnixMilli()
	next.Owners[host] = own
	return next, changed
}

// countWith returns the number of owners and of the given hosts that own nothing.
func (s Shares) countWith(hosts []string) int {
	n := len(s.Owners)
	for _, host := range hosts {
		if _, ok := s.Owners[host]; !ok {
			n++
		}
	}
	return n
}

// Leave returns the shares after a host stops. Other hosts may take its parts
// once the loans that it gave have ended.
func (s Shares) Leave(host string, loansEnd time.Time) Shares {
	next := Shares{Owners: maps.Clone(s.Owners)}
	if own, ok := next.Owners[host]; ok {
		own.ExpiresMs = loansEnd.Add(MaxClockSkew).UnixMilli()
		next.Owners[host] = own
	}
	return next
}

// free returns the spans that nobody owns.
func (s Shares) free() []Span {
	var owned []Span
	for _, o := range s.Owners {
		owned = append(owned, o.Spans...)
	}
	var out []Span
	next := 0
	for _, span := range normalize(owned) {
		if span.From > next {
			out = append(out, Span{next, span.From})
		}
		next = max(next, span.To)
	}
	if next < TotalParts {
		out = append(out, Span{next, TotalParts})
	}
	return out
}

// Units returns how many units of a limit lie within the spans. Both ends of a
// span are rounded up, so disjoint spans never share a unit.
func Units(spans []Span, limit int) int {
	units := 0
	for _, s := range spans {
		units += ceilDiv(s.To*limit, TotalParts) - ceilDiv(s.From*limit, TotalParts)
	}
	return units
}

// Intersect returns the parts that are in both a and b.
func Intersect(a, b []Span) []Span {
	var out []Span
	for _, x := range a {
		for _, y := range b {
			if overlap := (Span{max(x.From, y.From), min(x.To, y.To)}); overlap.From < overlap.To {
				out = append(out, overlap)
			}
		}
	}
	return normalize(out)
}

// firstParts returns the first parts of the spans, up to the given number.
func firstParts(spans []Span, parts int) []Span {
	var out []Span
	for _, s := range spans {
		if n := min(parts, s.To-s.From); n > 0 {
			out = append(out, Span{s.From, s.From + n})
			parts -= n
		}
	}
	return out
}

// normalize sorts spans and merges those that overlap or are adjacent.
func normalize(spans []Span) []Span {
	slices.SortFunc(spans, func(a, b Span) int { return a.From - b.From })
	var out []Span
	for _, s := range spans {
		if last := len(out) - 1; last >= 0 && out[last].To >= s.From {
			out[last].To = max(out[last].To, s.To)
			continue
		}
		out = append(out, s)
	}
	return out
}

func parts(spans []Span) int {
	n := 0
	for _, s := range spans {
		n += s.To - s.From
	}
	return n
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
