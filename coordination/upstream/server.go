package upstream

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrytiller.example/tiller/coordination/coldrate"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// reportAge is how long a load report is used. Reports come with each
	// answer, so an older one tells of a server that answers little.
	reportAge = time.Second
	// latencyWeight is the weight of the newest latency in the average.
	latencyWeight = 0.1
	// faultWeight and lossWeight are the weights of a failed and of a lost
	// answer in a server's fault average.
	faultWeight = 0.1
	lossWeight  = 0.15
	// faultHalfLife is how soon a fault average falls to half without new
	// faults, so that a server that recovered is used again.
	faultHalfLife = 2 * time.Second
	// faultLimit is the fault average above which other servers are used.
	faultLimit = 0.5
	// slowFactor is how many times slower than the others of its service a
	// server is before others are used.
	slowFactor = 3.0
	// trialPause is the time between two requests to a server that others
	// are used instead of.
	trialPause = 500 * time.Millisecond
	// firstEjection and maxEjection bound how long a server that takes no
	// connection is left out; the time doubles with each failure in a row.
	firstEjection = 250 * time.Millisecond
	maxEjection   = 2 * time.Second
)

// Load is what a server tells of its load with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// server is one backend server as this daemon knows it.
type server struct {
	routing.Backend
	region string
	hash   uint64

	inflight int
	report   struct {
		total, inflight int
		at              time.Time
	}
	// latency is the average time in seconds of answers that did not wait in
	// the server's queue.
	latency float64
	faults  float64
	faultAt time.Time
	// answers counts those to this daemon, shared those to all of the region.
	answers, shared tally
	// doubted is whether shared was over its limit when it was last told.
	doubted bool

	ejections    int
	ejectedUntil time.Time
	nextTrial    time.Time

	coldUntil time.Time
	gate      coldrate.Limiter
	// misdirected says that another server was found at the address.
	misdirected bool
	// missing says that the server's entry is gone and may come back.
	missing bool
}

func newServer(b routing.Backend, region string) *server {
	s := &server{Backend: b, region: region, hash: xxhash.Sum64String(b.ID)}
	return s
}

// estimate returns the requests that the server is thought to hold.
func (s *server) estimate(now time.Time) int {
	if s.report.at.IsZero() || now.Sub(s.report.at) > reportAge {
		return s.inflight
	}
	return max(s.inflight, s.report.total+s.inflight-s.report.inflight)
}

// loadAge returns the age of the latest load report, or less than 0 if there
// is none.
func (s *server) loadAge(now time.Time) time.Duration {
	if s.report.at.IsZero() {
		return -1
	}
	return now.Sub(s.report.at)
}

func (s *server) slots() int { return max(1, s.Slots) }

// cool records that the server is cold until a time. saved is as in
// coldrate.Gate.
func (s *server) cool(until, now time.Time, saved float64) {
	if !until.After(now) || !until.After(s.coldUntil) {
		return
	}
	if !s.cold(now) {
		s.gate.Reset(saved, now)
	}
	s.coldUntil = until
}

func (s *server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// takeLoad records a load report and the latency of the answer it came with.
func (s *server) takeLoad(load Load, latency time.Duration, now time.Time) {
	s.report.total, s.report.inflight, s.report.at = load.Running+load.Waiting, s.inflight, now
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
	if load.Waiting > 0 || latency <= 0 {
		return
	}
	if s.latency == 0 {
		s.latency = latency.Seconds()
		return
	}
	s.latency += latencyWeight * (latency.Seconds() - s.latency)
}

// faultAverage returns the part of the latest answers that failed, lowered by
// the time since.
func (s *server) faultAverage(now time.Time) float64 {
	if s.faults == 0 {
		return 0
	}
	return s.faults * math.Exp2(-now.Sub(s.faultAt).Seconds()/faultHalfLife.Seconds())
}

func (s *server) takeFault(weight, value float64, now time.Time) {
	average := s.faultAverage(now)
	s.faults, s.faultAt = average+weight*(value-average), now
}

// eject leaves the server out for a while.
func (s *server) eject(now time.Time) {
	pause := min(maxEjection, firstEjection<<min(s.ejections, 8))
	s.ejections++
	s.ejectedUntil = now.Add(pause)
}

// failsOthers reports whether the server fails the requests of the region's
// daemons more than others do.
func (s *server) failsOthers(usual average, now time.Time) bool {
	return s.shared.part(now) > sharedLimit+usual.shared
}

// healthy reports whether the server is about as good as the others of its
// service. Where all fail alike, leaving one for another gains nothing and
// finds objects cold.
func (s *server) healthy(usual average, now time.Time) bool {
	if s.faultAverage(now) > faultLimit+usual.faults || s.failsOthers(usual, now) {
		return false
	}
	return usual.latency <= 0 || s.latency <= slowFactor*usual.latency
}
