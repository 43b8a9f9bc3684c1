package upstream

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/coordination/bodyload"
	"bilberrytiller.example/tiller/coordination/coldrate"
	"bilberrytiller.example/tiller/coordination/serverlimit"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// maxReportAge is how long a load report is used. Each answer carries a
	// report, so an older one is from a server that answers rarely.
	maxReportAge = time.Second
	// workFactorHalfLife is the age at which half of a reported work factor's
	// deviation from the usual speed is still expected.
	workFactorHalfLife = 300 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
	// failureWeight and lossWeight are the weights of a failed and of a lost
	// answer in a server's failure average.
	failureWeight = 0.1
	lossWeight    = 0.15
	// failureHalfLife is the half-life of a failure average without new
	// failures, so that a server that recovered is used again.
	failureHalfLife = 2 * time.Second
	// failureLimit is how far a failure average may exceed the baseline before
	// other servers are preferred.
	failureLimit = 0.5
	// slowFactor is how many times slower than the service's baseline a server
	// may be before other servers are preferred.
	slowFactor = 3.0
	// probeInterval is the time between two requests to an unhealthy server.
	probeInterval = 500 * time.Millisecond
)

// Load is the load that a server reports with an answer.
type Load struct {
	Running, Waiting, Slots int
	// WorkFactor is how many times longer than usual work takes on the server's
	// machine at this moment, which the server shares with others. It is 0 if
	// the server does not report it.
	WorkFactor float64
}

// workFactor returns WorkFactor, or 1 if the server does not report it.
func (l Load) workFactor() float64 {
	if l.WorkFactor <= 0 {
		return 1
	}
	return l.WorkFactor
}

// server is the state of one backend server as seen by this daemon.
type server struct {
	routing.Backend
	region string
	hash   uint64

	// inflight is the number of this daemon's requests in flight at the server.
	inflight int
	// bodies are those of the requests at the server.
	bodies bodyload.Server
	// report is the latest load report: the number of requests at the server,
	// and inflight at that time.
	report struct {
		total, inflight int
		workFactor      float64
		at              time.Time
	}
	// learned is the latest load that another daemon told, and sustained the load
	// over several reports of any daemon.
	learned   learnedLoad
	sustained sustainedLoad
	// latency is the moving average, in seconds, of answers that did not wait
	// in the server's queue, at the usual speed of its machine.
	latency float64
	// roundTrip is the time, in seconds, that a round trip to the server takes.
	// It is part of latency.
	roundTrip float64
	// failures is the moving average of failed answers as of failuresAt.
	failures   float64
	failuresAt time.Time
	// localAnswers counts the answers to this daemon, regionAnswers those to
	// all daemons of the region.
	localAnswers, regionAnswers decayingCount
	// suspected is whether the server failed in the region, compared with others, at the
	// last update.
	suspected bool

	// nextProbe is when the server may get its next request if it is unhealthy.
	nextProbe time.Time

	coldUntil   time.Time
	coldLimiter coldrate.Limiter
	// missing is set while the server's entry is gone but may come back.
	missing bool
	// rateLimit is the limit that the server named last, or nil if its latest
	// answer named none. limitNamedAt is the time of the answer.
	rateLimit    *RateLimit
	limitNamedAt time.Time
	rateLimiter  serverlimit.Limiter
	// availability is whether the server may get requests by what it and its entry say,
	// and by whether it was found at its address. It is kept when the entry goes and comes back.
	availability *availability.State
}

func newServer(b routing.Backend, region string) *server {
	return &server{Backend: b, region: region, hash: xxhash.Sum64String(b.ID), availability: &availability.State{}}
}

// estimatedRequests returns the estimated number of requests at the server: the
// latest load report, adjusted by the change in this daemon's own requests
// since. Without a recent report, it counts only the latter.
func (s *server) estimatedRequests(now time.Time) int {
	if s.report.at.IsZero() || now.Sub(s.report.at) > maxReportAge {
		return s.inflight
	}
	return max(s.inflight, s.report.total+s.inflight-s.report.inflight)
}

// othersRequests returns the estimated number of other daemons' requests at the server.
func (s *server) othersRequests(now time.Time) int { return s.estimatedRequests(now) - s.inflight }

// loadAge returns the age of the latest load report, or a negative value if
// there is none.
func (s *server) loadAge(now time.Time) time.Duration {
	if s.report.at.IsZero() {
		return -1
	}
	return now.Sub(s.report.at)
}

func (s *server) slots() int { return max(1, s.Slots) }

// markCold records that the server is cold until the given time. initialTokens
// is passed to coldrate.Limiter.Reset.
func (s *server) markCold(until, now time.Time, initialTokens float64) {
	if !until.After(now) || !until.After(s.coldUntil) {
		return
	}
	if !s.isCold(now) {
		s.coldLimiter.Reset(initialTokens, now)
	}
	s.coldUntil = until
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// recordLoad records a load report and the latency of the answer that carried
// it.
func (s *server) recordLoad(load Load, latency time.Duration, now time.Time) {
	s.report.total, s.report.inflight, s.report.at = load.Running+load.Waiting, s.inflight, now
	s.report.workFactor = load.workFactor()
	s.sustained.record(s.report.total, now)
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
	if load.Waiting > 0 || latency <= 0 {
		return
	}
	usual := latency.Seconds() / load.workFactor()
	if s.latency == 0 {
		s.latency = usual
		return
	}
	s.latency += latencyWeight * (usual - s.latency)
}

// recordRoundTrip updates the round trip with the time of a connect. A shorter
// one is more exact, since delays only add to it.
func (s *server) recordRoundTrip(d time.Duration) {
	if d <= 0 {
		return
	}
	if s.roundTrip == 0 || d.Seconds() < s.roundTrip {
		s.roundTrip = d.Seconds()
		return
	}
	s.roundTrip += latencyWeight * (d.Seconds() - s.roundTrip)
}

// expectedWorkFactor returns how many times longer than usual work is expected
// to take on the server's machine. With the age of the report, it approaches 1.
func (s *server) expectedWorkFactor(now time.Time) float64 {
	if s.report.at.IsZero() {
		return 1
	}
	remaining := math.Exp2(-now.Sub(s.report.at).Seconds() / workFactorHalfLife.Seconds())
	return 1 + (s.report.workFactor-1)*remaining
}

// failureAverage returns the moving average of failures, decayed by the time
// since its last update.
func (s *server) failureAverage(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-now.Sub(s.failuresAt).Seconds()/failureHalfLife.Seconds())
}

// updateFailureAverage adds an answer to the average: a value of 1 for a
// failure, 0 for a success.
func (s *server) updateFailureAverage(weight, value float64, now time.Time) {
	average := s.failureAverage(now)
	s.failures, s.failuresAt = average+weight*(value-average), now
}

// failsInRegion reports whether the server fails the requests of the region's
// daemons more often than the others of its service do.
func (s *server) failsInRegion(baseline serviceBaseline, now time.Time) bool {
	return s.regionAnswers.failureRatio(now) > regionFailureLimit+baseline.regionFailures
}

// healthy reports whether the server performs about as well as the others of
// its service. If all of them fail alike, moving an object to another server
// gains nothing and finds the object cold there.
func (s *server) healthy(baseline serviceBaseline, now time.Time) bool {
	if s.failureAverage(now) > failureLimit+baseline.failures || s.failsInRegion(baseline, now) {
		return false
	}
	return baseline.latency <= 0 || s.latency <= slowFactor*baseline.latency
}
