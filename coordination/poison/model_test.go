package poison

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	modelDaemons, modelServers, modelZones = 6, 12, 3
	modelRun, modelDown, modelPublish      = 100 * time.Millisecond, 2 * time.Second, 200 * time.Millisecond
	// modelCheck is the delay of a check after a loss.
	modelCheck = 100 * time.Millisecond
	// crashingDigest is the request that crashes servers; digests from 1 to
	// commonDigests are requests that many clients send.
	crashingDigest, commonDigests = 200, 5
)

// model is a fleet of daemons that send requests to servers. Servers crash on one
// request, by themselves, and a zone at a time.
type model struct {
	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	daemons []*modelDaemon
	servers []*modelServer
	// earlier makes the daemons use the rule of before: no checks, a block after two
	// crashes, no trial runs.
	earlier bool
	unique  uint32
	// crashes are when the crashing request crashed a server.
	crashes                      []time.Time
	commonSent, commonRefused    int
	lateRuns, crashingWasRefused int
}

type modelDaemon struct {
	tracker  *Tracker
	detector *CrashDetector
	// observed are the crashes that this daemon noticed itself.
	observed map[string]bool
}

type modelServer struct {
	incarnation int
	downUntil   time.Time
	running     map[*modelRunning]bool
}

type modelRunning struct {
	daemon *modelDaemon
	digest Digest
	began  time.Time
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newModel(seed uint64, earlier bool) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 5)), now: start, earlier: earlier}
	for i := range modelDaemons {
		m.daemons = append(m.daemons, &modelDaemon{NewTracker(fmt.Sprint("d-", i)), NewCrashDetector(), map[string]bool{}})
	}
	for range modelServers {
		m.servers = append(m.servers, &modelServer{running: map[*modelRunning]bool{}})
	}
	return m
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.events, event{m.now.Add(d), do}) }

// every repeats do at random times, on average once in each period.
func (m *model) every(period time.Duration, do func()) {
	m.after(time.Duration(m.rng.ExpFloat64()*float64(period)), func() { do(); m.every(period, do) })
}

func (m *model) run(length time.Duration) {
	for end := m.now.Add(length); m.events[0].at.Before(end); {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

func (s *modelServer) name(i int) string { return fmt.Sprintf("s-%d/%d", i, s.incarnation) }

func (m *model) mayRun(d *modelDaemon, digest Digest) bool {
	if m.earlier {
		return d.tracker.Verdict(digest, m.now) != Blocked
	}
	return d.tracker.Admit(digest, m.now)
}

func (m *model) sendCommon() {
	digest := Digest{byte(1 + m.rng.IntN(commonDigests))}
	m.commonSent++
	if !m.send(m.daemons[m.rng.IntN(modelDaemons)], digest) {
		m.commonRefused++
	}
}

func (m *model) sendUnique() {
	m.unique++
	m.send(m.daemons[m.rng.IntN(modelDaemons)], Digest{0, byte(m.unique), byte(m.unique >> 8), byte(m.unique >> 16)})
}

func (m *model) sendCrashing() {
	if !m.send(m.daemons[m.rng.IntN(modelDaemons)], Digest{crashingDigest}) {
		m.crashingWasRefused++
	}
}

// send sends a request to a random server, and to another one while servers accept
// no connection. It returns false if the request is blocked.
func (m *model) send(d *modelDaemon, digest Digest) bool {
	if !m.mayRun(d, digest) {
		return false
	}
	for _, i := range m.rng.Perm(modelServers) {
		if s := m.servers[i]; m.now.Before(s.downUntil) {
			m.foundDown(d, s.name(i))
			continue
		}
		m.begin(d, i, digest)
		return true
	}
	return true
}

func (m *model) begin(d *modelDaemon, i int, digest Digest) {
	s := m.servers[i]
	r := &modelRunning{d, digest, m.now}
	s.running[r] = true
	if digest == (Digest{crashingDigest}) {
		if len(m.crashes) >= 3 && m.now.Sub(m.crashes[2]) > 3*time.Second {
			m.lateRuns++
		}
		m.crashes = append(m.crashes, m.now)
		m.crash(i)
		return
	}
	m.after(modelRun, func() {
		if !s.running[r] {
			return
		}
		delete(s.running, r)
		d.detector.ServerAnswered(s.name(i))
		if !m.earlier {
			d.detector.RequestAnswered(digest, m.now)
		}
		m.clear(d, digest)
	})
}

// clear clears a request that was answered, and publishes that if it was blocked or
// if the daemon noticed the crash itself.
func (m *model) clear(d *modelDaemon, digest Digest) {
	wasBlocked := d.tracker.IsBlocked(digest, m.now)
	for _, c := range d.tracker.ActiveCrashes(digest, m.now) {
		d.tracker.ClearCrash(c, m.now)
		if (wasBlocked || d.observed[c.ID]) && !m.earlier {
			m.publish(d, func(t *Tracker) { t.ClearCrash(c, m.now) })
		}
	}
}

func (m *model) publish(from *modelDaemon, apply func(*Tracker)) {
	m.after(modelPublish, func() {
		for _, d := range m.daemons {
			if d != from {
				apply(d.tracker)
			}
		}
	})
}

// crash ends a server, which is back later as another incarnation.
func (m *model) crash(i int) {
	s := m.servers[i]
	if m.now.Before(s.downUntil) {
		return
	}
	name := s.name(i)
	s.downUntil = m.now.Add(modelDown)
	m.after(modelDown, func() { s.incarnation++ })
	// Daemons see their requests lost in a fixed order, so that a seed fixes a run.
	for _, d := range m.daemons {
		for r := range s.running {
			if r.daemon == d && d.detector.ConnectionLost(name, r.digest, r.began, m.now) && !m.earlier {
				m.after(modelCheck, func() { d.detector.EndCheck(name); m.foundDown(d, name) })
			}
		}
	}
	clear(s.running)
}

func (m *model) foundDown(d *modelDaemon, server string) {
	for _, c := range d.detector.ServerDown(server, m.now) {
		c = d.tracker.WithExpiry(c)
		d.observed[c.ID] = true
		if d.tracker.RecordCrash(c, m.now) {
			m.publish(d, func(t *Tracker) { t.RecordCrash(c, m.now) })
		}
	}
}

// loseZone ends the servers of a zone within half a second.
func (m *model) loseZone() {
	zone := m.rng.IntN(modelZones)
	for i := zone; i < modelServers; i += modelZones {
		m.after(time.Duration(m.rng.IntN(500))*time.Millisecond, func() { m.crash(i) })
	}
}

// TestCrashingRequestIsToldFromLostZone guards against a request that crashes each
// server and is not recognised, and against common requests that are refused after
// losses that they did not cause, whatever the traffic.
func TestCrashingRequestIsToldFromLostZone(t *testing.T) {
	for _, perPair := range []float64{0.005, 0.1, 1, 10} {
		for _, earlier := range []bool{true, false} {
			var late, lateMost, sent, refused int
			for seed := range uint64(4) {
				m := newModel(seed, earlier)
				period := time.Duration(float64(time.Second) / (perPair * modelDaemons * modelServers))
				m.every(2*period, m.sendCommon)
				m.every(2*period, m.sendUnique)
				m.every(3*time.Second, m.sendCrashing)
				m.every(20*time.Second, m.loseZone)
				m.every(10*time.Second, func() { m.crash(m.rng.IntN(modelServers)) })
				m.run(90 * time.Second)
				late, lateMost, sent, refused = late+m.lateRuns, max(lateMost, m.lateRuns), sent+m.commonSent, refused+m.commonRefused
			}
			refusedShare := float64(refused) / float64(max(sent, 1))
			t.Logf("%.3f a second and pair, earlier rule %v: %d late runs, at most %d of 3 allowed; %d of %d common requests refused (%.4f)", perPair, earlier, late, lateMost, refused, sent, refusedShare)
			if earlier {
				continue
			}
			if lateMost > 3 {
				t.Errorf("the crashing request ran %d times later than 3 s after its third crash, want at most 3", lateMost)
			}
			if refusedShare > 0.01 {
				t.Errorf("%.4f of the common requests were refused, want at most 0.01", refusedShare)
			}
		}
	}
}
