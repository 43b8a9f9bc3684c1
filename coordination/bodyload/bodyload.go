// Package bodyload decides whether a large body may go to a backend server, which ends if
// the requests that it holds exceed its memory.
//
// No server states its memory, so a limit for the servers of a service is learned when one
// of them crashes. What a server holds is estimated: the bodies that this daemon has there,
// and a mean body for each other request that the server's load reports tell of. So daemons
// need to know nothing of each other's bodies, and the limit is one for the whole fleet.
package bodyload

import (
	"math"
	"time"
)

const (
	// SmallBytes is the size up to which a body is never refused.
	SmallBytes = 64 << 10
	// MinLimit is the smallest limit of a server, in bytes.
	MinLimit = 1 << 20
	// limitFraction is the fraction of what a server held at its crash that becomes the limit.
	limitFraction = 0.5
	// crashWindow is how long after the loss of a connection a crash is blamed on what the
	// server held then.
	crashWindow = 2 * time.Second
	// relaxTime is the time in which a limit without further crashes doubles, and forgetTime
	// the time after which it is dropped.
	relaxTime  = time.Minute
	forgetTime = 10 * relaxTime
	// meanWeight is the weight of a new body in the moving average.
	meanWeight = 0.05
)

// Service is what is known of the bodies for a service. It is not safe for concurrent use.
type Service struct {
	mean float64
	// limit is in bytes as of learnedAt, or 0.
	limit     float64
	learnedAt time.Time
}

// Server is what is known of the bodies at a server.
type Server struct {
	// held are the bytes of the bodies that this daemon has there.
	held int64
	// atLoss is the most that the server held when it lost a connection since firstLoss.
	atLoss    float64
	firstLoss time.Time
}

// Limit returns the limit of each server in bytes, or 0 if there is none.
func (s *Service) Limit(now time.Time) int64 {
	age := now.Sub(s.learnedAt)
	if s.limit == 0 || age > forgetTime {
		return 0
	}
	return int64(s.limit * math.Exp2(age.Seconds()/relaxTime.Seconds()))
}

// Admits reports whether a body of n bytes may go to a server that has others requests of
// other daemons. A server without any request takes each body.
func (s *Service) Admits(srv *Server, n int64, others int, now time.Time) bool {
	if n <= SmallBytes || srv.held == 0 && others <= 0 {
		return true
	}
	limit := s.Limit(now)
	return limit == 0 || s.estimate(srv, others)+float64(n) <= float64(limit)
}

func (s *Service) estimate(srv *Server, others int) float64 {
	return float64(srv.held) + float64(max(0, others))*s.mean
}

// Begin records that a request with a body of n bytes, or without one, is sent to a server.
func (s *Service) Begin(srv *Server, n int64) {
	srv.held += n
	s.mean += meanWeight * (float64(n) - s.mean)
}

// End records that a request with a body of n bytes is no longer at a server. lost says that
// the server closed its connection.
func (s *Service) End(srv *Server, n int64, lost bool, others int, now time.Time) {
	if lost {
		if now.Sub(srv.firstLoss) > crashWindow {
			srv.atLoss, srv.firstLoss = 0, now
		}
		srv.atLoss = max(srv.atLoss, s.estimate(srv, others))
	}
	srv.held -= n
}

// Crashed records that a server crashed, and reports whether it lowers the limit. Crashes
// with few bytes have another cause.
func (s *Service) Crashed(srv *Server, now time.Time) bool {
	if srv.atLoss < MinLimit || now.Sub(srv.firstLoss) > crashWindow {
		return false
	}
	limit := max(MinLimit, limitFraction*srv.atLoss)
	srv.atLoss = 0
	if current := s.Limit(now); current > 0 && limit >= float64(current) {
		return false
	}
	s.limit, s.learnedAt = limit, now
	return true
}
