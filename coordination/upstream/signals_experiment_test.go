package upstream

import (
	"fmt"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/availability"
)

// Servers announce something at announceAt. What callers get is counted from then on.
const (
	announceAt      = 1500 * time.Millisecond
	experimentSeeds = 10
)

// announcementRun plays a service of which every third server announces something.
type announcementRun struct {
	daemons int
	load    float64
	// announce sets what a server says. ends is 1 to 3 s after announceAt.
	announce func(s *overloadRun, id string, srv *overloadServer, ends time.Time)
}

// warm lets each server have its objects in memory.
func (s *overloadRun) warm() {
	for i := range s.layout.objects {
		key := fmt.Sprint("0-", i)
		c, _ := s.daemons[0].Choose(Request{Service: "stock", Key: key, Route: s.kinds[0].route, ObjectiveLeft: time.Second, TimeLeft: time.Second, DaemonCount: len(s.daemons)}, start)
		c.Done(Result{Outcome: Abandoned}, start)
		s.servers[c.Backend.ID].memory = append(s.servers[c.Backend.ID].memory, key)
	}
}

// announcementResult sums the runs of all seeds.
type announcementResult struct {
	overloadResult
	// peakThird and peakOthers are the most requests per slot at a server, on average over
	// the seeds; sent is the requests at the servers that announce, per server.
	peakThird, peakOthers, sent float64
}

// share returns the share of requests answered in time.
func (r announcementResult) share() float64 { return float64(r.inTime) / float64(r.total) }

func (r announcementResult) String() string {
	total := float64(r.total)
	return fmt.Sprintf("in time %.3f, late %.3f, refused for good %.3f, failed %.3f; sends to ended servers %d; most requests per slot %.2f at the third, %.2f at others; %.1f requests at each of the third",
		r.share(), float64(r.late)/total, float64(r.refusedAgain)/total, float64(r.failed)/total, r.unreachable, r.peakThird, r.peakOthers, r.sent)
}

func (c announcementRun) play() (sum announcementResult) {
	for seed := range uint64(experimentSeeds) {
		s := newOverloadRun(manyObjects, []*overloadKind{{name: "lookup", objective: 600 * time.Millisecond, share: 1, worth: 1}}, c.daemons, false, seed)
		s.steady, s.countFrom = true, start.Add(announceAt)
		third := map[string]bool{}
		for i := 0; i < s.layout.servers; i += 3 {
			id := fmt.Sprint("i-", i)
			third[id] = true
			length := time.Second + time.Duration(s.random.Float64()*float64(2*time.Second))
			s.after(announceAt, func() { c.announce(s, id, s.servers[id], start.Add(announceAt+length)) })
		}
		s.warm()
		s.after(announceAt, func() {
			for _, srv := range s.servers {
				srv.peak, srv.arrived = 0, 0
			}
		})
		r := s.play(c.load)[0]
		sum.total += r.total
		sum.inTime += r.inTime
		sum.late += r.late
		sum.refusedAgain += r.refusedAgain
		sum.failed += r.failed
		sum.unreachable += r.unreachable
		peaks := map[bool]int{}
		for id, srv := range s.servers {
			peaks[third[id]] = max(peaks[third[id]], srv.peak)
			if third[id] {
				sum.sent += float64(srv.arrived) / float64(len(third)) / experimentSeeds
			}
		}
		sum.peakThird += float64(peaks[true]) / overloadSlots / experimentSeeds
		sum.peakOthers += float64(peaks[false]) / overloadSlots / experimentSeeds
	}
	return sum
}

// pause lets a server reject all requests until the end of its pause, the same for all
// daemons.
func pause(_ *overloadRun, _ string, srv *overloadServer, ends time.Time) {
	srv.announce = func(now time.Time) availability.Signal { return availability.Signal{Pause: max(0, ends.Sub(now))} }
}

// pauseReturningAtOnce is pause with daemons that use the server for all of its objects
// once the pause that it asked for has ended.
func pauseReturningAtOnce(s *overloadRun, id string, srv *overloadServer, ends time.Time) {
	pause(s, id, srv, ends)
	s.after(ends.Sub(s.now), func() {
		for _, b := range s.daemons {
			b.servers[id].availability = &availability.State{}
		}
	})
}

// newsDelay is how long news of a leaving takes from one daemon to all others.
const newsDelay = 500 * time.Millisecond

// leave lets a server announce that it leaves until it ends. Its entry does not change.
func leave(_ *overloadRun, _ string, srv *overloadServer, ends time.Time) {
	srv.announce = func(time.Time) availability.Signal { return availability.Signal{Leaving: true} }
	srv.gone = ends
}

// leaveWithNews is leave with daemons that tell each other of it.
func leaveWithNews(s *overloadRun, id string, srv *overloadServer, ends time.Time) {
	leave(s, id, srv, ends)
	told := false
	srv.announce = func(time.Time) availability.Signal {
		signal := availability.Signal{Leaving: true}
		if !told {
			told = true
			s.after(overloadWarm+overloadOneWay+newsDelay, func() {
				for _, b := range s.daemons {
					b.servers[id].availability.Record(signal, 0, s.now)
				}
			})
		}
		return signal
	}
}

// TestThirdOfServersAnnounces plays servers of which a third ask for pauses of 1 to 3 s, or
// leave after as long. Its log is the table in docs/design/server-signals.md. It guards
// against returns that cost callers much more than all at once, or that meet at the
// servers, and against telling other daemons of a leaving, which costs callers more than it
// gains.
func TestThirdOfServersAnnounces(t *testing.T) {
	for _, daemons := range []int{9, 74} {
		for _, load := range []float64{0.2, 0.4, 0.6} {
			play := func(name string, announce func(*overloadRun, string, *overloadServer, time.Time)) announcementResult {
				r := announcementRun{daemons, load, announce}.play()
				t.Logf("%d daemons, load %.1f, %s: %s", daemons, load, name, r)
				return r
			}
			play("nothing announced", func(*overloadRun, string, *overloadServer, time.Time) {})
			atOnce, spread := play("pauses, return at once", pauseReturningAtOnce), play("pauses, return spread", pause)
			if atOnce.share()-spread.share() > 0.07 || spread.peakThird > atOnce.peakThird+0.2 {
				t.Errorf("spread returns: %.3f in time and %.2f requests per slot, want about %.3f and at most %.2f", spread.share(), spread.peakThird, atOnce.share(), atOnce.peakThird)
			}
			alone, told := play("leaving", leave), play("leaving, daemons tell each other", leaveWithNews)
			if told.share() > alone.share()+0.01 {
				t.Errorf("%.3f in time where daemons tell each other of a leaving, %.3f where they do not: it pays", told.share(), alone.share())
			}
		}
	}
}
