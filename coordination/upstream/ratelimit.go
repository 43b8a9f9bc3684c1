package upstream

import "time"

// RateLimit is the number of requests per second that a server accepts from all
// daemons together, for as long as its answers name it.
type RateLimit float64

// recordRateLimit records the limit that an answer named, and reports whether it
// is another than before. A limit ends with an answer that names none, provided
// that the request was sent after the limit had last been named: answers may
// overtake each other, and one that the server did not run the request says
// nothing about its limit.
func (s *server) recordRateLimit(r Result, sentAt, now time.Time) (changed bool) {
	if r.RateLimit != nil {
		changed = s.rateLimit == nil || *s.rateLimit != *r.RateLimit
		s.rateLimit, s.limitNamedAt = r.RateLimit, now
		return changed
	}
	ran := r.Outcome == Answered || r.Outcome == Failed
	if s.rateLimit == nil || !ran || !sentAt.After(s.limitNamedAt) {
		return false
	}
	s.rateLimit = nil
	return true
}
