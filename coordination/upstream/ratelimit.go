package upstream

import (
	"slices"
	"time"
)

// RateLimit is the number of requests per second that a server accepts from all
// daemons together, for as long as its answers name it.
type RateLimit float64

// recordRateLimit records the limit that an answer named, and reports whether it
// is another than before. A limit ends with an answer that names none, provided
// that the request was sent after the limit had last been named, since answers may
// overtake each other, and that the server ran the request: a refusal may omit the
// limit.
func (s *server) recordRateLimit(r Result, sentAt, now time.Time) (changed bool) {
	if r.RateLimit != nil {
		if s.rateLimit == nil {
			s.rateLimiter.Reset(now)
		}
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

// atRateLimit reports whether this daemon has used up its share of the server's
// limit.
func (s *server) atRateLimit(daemons int, now time.Time) bool {
	return s.rateLimit != nil && !s.rateLimiter.Ready(float64(*s.rateLimit), daemons, now)
}

// takeFromRateLimit counts a request against the server's limit. It returns false
// if the request must not be sent.
func (b *Balancer) takeFromRateLimit(srv *server, daemons int, now time.Time) bool {
	return srv.rateLimit == nil || srv.rateLimiter.Allow(float64(*srv.rateLimit), daemons, b.random(), now)
}

// leaveOutLimited removes a server from the candidates because of its limit.
func (sel *selection) leaveOutLimited(srv *server) {
	sel.candidates = slices.DeleteFunc(sel.candidates, func(other *server) bool { return other == srv })
	sel.recordRateLimited(srv)
}

// recordRateLimited notes the time after which a server that was left out because
// of its limit is expected to admit a request.
func (sel *selection) recordRateLimited(srv *server) {
	wait := srv.rateLimiter.Wait(float64(*srv.rateLimit), sel.request.DaemonCount, sel.now)
	if !sel.rateLimited || wait < sel.rateLimitWait {
		sel.rateLimitWait = wait
	}
	sel.rateLimited = true
}
