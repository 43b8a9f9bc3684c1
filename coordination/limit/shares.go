package limit

import (
	"maps"
	"slices"
	"time"
)

const (
	// TotalParts is the number of parts that ownership is divided into. Every limit
	// is laid over the same parts.
	TotalParts = 1 << 20
	// LeaseDuration is how long ownership lasts without being renewed, RenewAfter
	// the age at which it is renewed.
	LeaseDuration = 2 * time.Hour
	RenewAfter    = 10 * time.Minute
	// MaxClockSkew bounds the difference between the clocks of two hosts.
	MaxClockSkew = 2 * time.Minute
)

// Span is the parts from From up to, but without, To.
type Span struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Owner is what one host owns.
type Owner struct {
	// Incarnation is the daemon that wrote the entry.
	Incarnation string `json:"incarnation"`
	Spans       []Span `json:"spans"`
	ExpiresMs   int64  `json:"expires_ms"`
}

// Parts returns the number of parts owned.
func (o Owner) Parts() int { return parts(o.Spans) }

// UsableUntil returns when the owner itself must stop using what it owns.
func (o Owner) UsableUntil() time.Time { return time.UnixMilli(o.ExpiresMs).Add(-MaxClockSkew) }

// gone reports whether others may take what the owner had.
func (o Owner) gone(now time.Time) bool {
	return now.After(time.UnixMilli(o.ExpiresMs).Add(MaxClockSkew))
}

// Shares says which host owns which parts. An entry is written only by its
// own host, or removed by any other once it has expired.
type Shares struct {
	Owners map[string]Owner `json:"owners"`
}

// Plan returns the shares as a host wants them to be, and whether they differ
// from what they are. A host with more than an equal share gives the rest
// up; one with less takes parts that nobody owns.
func (s Shares) Plan(host, incarnation string, now time.Time) (Shares, bool) {
	next := Shares{Owners: maps.Clone(s.Owners)}
	if next.Owners == nil {
		next.Owners = map[string]Owner{}
	}
	maps.DeleteFunc(next.Owners, func(id string, o Owner) bool { return id != host && o.gone(now) })
	own, known := next.Owners[host]
	if own.gone(now) {
		own.Spans = nil
	}
	next.Owners[host] = own
	equal := TotalParts / len(next.Owners)
	held := own.Parts()
	switch {
	case held > equal:
		own.Spans = cut(own.Spans, equal)
	case held < equal:
		own.Spans = normal(append(slices.Clone(own.Spans), cut(next.free(), equal-held)...))
	}
	renew := now.Add(LeaseDuration-RenewAfter).UnixMilli() >= own.ExpiresMs
	changed := !known || renew || own.Incarnation != incarnation || own.Parts() != held
	own.Incarnation = incarnation
	own.ExpiresMs = now.Add(LeaseDuration).UnixMilli()
	next.Owners[host] = own
	return next, changed
}

// Leave returns the shares as a host that stops leaves them: others may take
// what it owned once the loans it gave are over.
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
	at := 0
	for _, span := range normal(owned) {
		if span.From > at {
			out = append(out, Span{at, span.From})
		}
		at = max(at, span.To)
	}
	if at < TotalParts {
		out = append(out, Span{at, TotalParts})
	}
	return out
}

// Units returns how many units of a limit lie in the spans.
func Units(spans []Span, limit int) int {
	units := 0
	for _, s := range spans {
		units += ceilDiv(s.To*limit, TotalParts) - ceilDiv(s.From*limit, TotalParts)
	}
	return units
}

// Intersect returns the parts that lie in a and in b.
func Intersect(a, b []Span) []Span {
	var out []Span
	for _, x := range a {
		for _, y := range b {
			if both := (Span{max(x.From, y.From), min(x.To, y.To)}); both.From < both.To {
				out = append(out, both)
			}
		}
	}
	return normal(out)
}

// cut returns the first parts of the spans.
func cut(spans []Span, parts int) []Span {
	var out []Span
	for _, s := range spans {
		if take := min(parts, s.To-s.From); take > 0 {
			out = append(out, Span{s.From, s.From + take})
			parts -= take
		}
	}
	return out
}

// normal sorts spans and joins those that touch.
func normal(spans []Span) []Span {
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
