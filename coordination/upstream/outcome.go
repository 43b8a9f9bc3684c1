package upstream

import "time"

// Outcome is what became of a request at a server.
type Outcome int

// The outcomes.
const (
	// Answered is a whole answer that is no failure of the server.
	Answered Outcome = iota
	// Failed is a whole answer that says the server failed.
	Failed
	// Shed says that the server did not run the request.
	Shed
	// Misdirected says that another server has the address.
	Misdirected
	// Lost says that the request was sent and not answered whole.
	Lost
	// Unreachable says that no connection could be opened.
	Unreachable
	// Abandoned says that this daemon ended the request.
	Abandoned
)

var outcomeNames = [...]string{"answered", "failed", "shed", "misdirected", "lost", "unreachable", "abandoned"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is what was seen of a request at a server.
type Result struct {
	Outcome Outcome
	// Load is the server's load, if it told.
	Load *Load
	// Latency is the time from the send to the whole answer, or to the end of the
	// wait for it.
	Latency time.Duration
	// ColdLeft is how much longer the server says that it is cold.
	ColdLeft time.Duration
}

// Done ends a choice and records what became of the request.
func (c *Choice) Done(r Result, now time.Time) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	srv := c.server
	srv.inflight--
	if r.Load != nil {
		latency := r.Latency
		if r.Outcome != Answered {
			latency = 0
		}
		srv.takeLoad(*r.Load, latency, now)
		if of := c.set.services[srv.Service]; of != nil && r.Load.Waiting == 0 {
			of.cold.take(latency)
		}
	}
	srv.cool(now.Add(r.ColdLeft), now, c.set.random())
	outcome := r.Outcome
	if outcome == Abandoned && c.set.hangs(srv, r.Latency) {
		outcome = Lost
	}
	srv.judge(outcome, c.EstimatedRequests, now)
	if (outcome == Failed || outcome == Lost) && c.set.servers[srv.ID] == srv {
		c.set.failing[srv.ID] = srv
	}
}

// hangFactor is how many times longer than usual a request is without an answer
// before its server counts as hanging. The wait in a full queue is three times as
// long at most.
const hangFactor = 5

// hangs reports whether a request that was given up had waited too long for its
// answer to be a matter of load.
func (s *Balancer) hangs(srv *server, waited time.Duration) bool {
	of := s.services[srv.Service]
	return of != nil && of.usual.latency > 0 && waited.Seconds() > hangFactor*of.usual.latency
}

// judge records an outcome in the server's averages. held is what the server
// was thought to hold at the send: a full server may shed.
func (s *server) judge(outcome Outcome, held int, now time.Time) {
	switch outcome {
	case Answered:
		s.ejections = 0
		s.takeFault(faultWeight, 0, now)
		s.answers.count(false, now)
	case Failed:
		s.takeFault(faultWeight, 1, now)
		s.answers.count(true, now)
	case Shed:
		if held < s.slots() {
			s.takeFault(faultWeight, 1, now)
		}
	case Lost:
		s.takeFault(lossWeight, 1, now)
		s.answers.count(true, now)
	case Misdirected:
		s.misdirected = true
	case Unreachable:
		s.eject(now)
	case Abandoned:
	}
}
