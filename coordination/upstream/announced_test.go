package upstream

import (
	"fmt"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/state/routing"
)

var (
	leaves = Result{Outcome: Answered, Signal: availability.Signal{Leaving: true}}
	pauses = Result{Outcome: Shed, Signal: availability.Signal{Pause: 2 * time.Second}}
)

// homeOf returns the server that a request for an object goes to.
func homeOf(t *testing.T, b *Balancer, key string, now time.Time) routing.Backend {
	t.Helper()
	c := mustChoose(t, b, newRequest(key), now)
	c.Done(Result{Outcome: Abandoned}, now)
	return c.Backend
}

// TestAnnouncementsBindTheirIncarnation covers what may and may not end a leaving and a
// pause: no entry of the same incarnation does, also after it was gone, and each entry of
// another incarnation does.
func TestAnnouncementsBindTheirIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		play func(b *Balancer, home routing.Backend)
		back bool
	}{
		"nothing":       {func(*Balancer, routing.Backend) {}, false},
		"a ready entry": {func(b *Balancer, home routing.Backend) { b.Put(home, start) }, false},
		"entry gone and back": {func(b *Balancer, home routing.Backend) {
			b.Remove(home.ID, start)
			b.Put(home, start)
		}, false},
		"another incarnation": {func(b *Balancer, home routing.Backend) {
			home.StartedAtMs++
			b.Put(home, start)
		}, true},
		"an old entry after another incarnation": {func(b *Balancer, home routing.Backend) {
			next := home
			next.StartedAtMs++
			b.Put(next, start)
			b.Put(home, start)
		}, false},
	} {
		for signal, result := range map[string]Result{"leaving": leaves, "pause": pauses} {
			t.Run(name+" after "+signal, func(t *testing.T) {
				b := newTestBalancer("n1")
				choice := mustChoose(t, b, newRequest("7"), start)
				choice.Done(result, start)
				c.play(b, choice.Backend)
				if got := homeOf(t, b, "7", start).ID == choice.Backend.ID; got != c.back {
					t.Errorf("home chosen again: %t, want %t", got, c.back)
				}
			})
		}
	}
}

// TestLateAnnouncementIsKept guards against an answer that is lost on the balancer since
// the entry of its server has gone in the meantime, or has gone and come back.
func TestLateAnnouncementIsKept(t *testing.T) {
	for _, comesBack := range []bool{false, true} {
		b := newTestBalancer("n1")
		choice, waiting := mustChoose(t, b, newRequest("7"), start), mustChoose(t, b, newRequest("7"), start)
		b.Remove(choice.Backend.ID, start)
		if comesBack {
			b.Put(choice.Backend, start)
		}
		choice.Done(leaves, start)
		b.Put(choice.Backend, start)
		if homeOf(t, b, "7", start).ID == choice.Backend.ID || waiting.maySendAt(start) {
			t.Errorf("entry back before the answer %t: a server may get requests that had announced its leaving", comesBack)
		}
	}
}

// TestChosenServerIsCheckedAgain guards against sends that were decided on before the
// server's announcement.
func TestChosenServerIsCheckedAgain(t *testing.T) {
	for name, result := range map[string]Result{"leaving": leaves, "pause": pauses, "misdirected": {Outcome: Misdirected}, "neither": {Outcome: Answered}} {
		b := newTestBalancer("n1")
		waiting, other := mustChoose(t, b, newRequest("7"), start), mustChoose(t, b, newRequest("7"), start)
		other.Done(result, start)
		if got, want := waiting.maySendAt(start), name == "neither"; got != want {
			t.Errorf("%s: got MaySend %t, want %t", name, got, want)
		}
	}
}

// TestPauseOfAllServersHasTrueRetryAfter guards against clients that repeat requests
// while no server accepts any, and that wait although a server they tried does.
func TestPauseOfAllServersHasTrueRetryAfter(t *testing.T) {
	b := newTestBalancer("n1")
	var tried []routing.Incarnation
	for i := range 6 {
		r := newRequest("7")
		r.Tried = tried
		choice := mustChoose(t, b, r, start)
		choice.Done(Result{Outcome: Shed, Signal: availability.Signal{Pause: time.Duration(3+i) * time.Second}}, start)
		tried = append(tried, choice.Backend.Incarnation())
	}
	for name, r := range map[string]Request{"first": newRequest("7"), "tried": {Service: "stock", Key: "7", Tried: tried[:1], DaemonCount: 9}} {
		_, refusal := b.Choose(r, start.Add(time.Second))
		if refusal == nil || refusal.Reason != ReasonPaused || refusal.RetryAfter != 2*time.Second {
			t.Errorf("%s: got refusal %+v, want one for 2 s because of pauses", name, refusal)
		}
	}
	if after, paused := b.AllPaused(newRequest("7"), start); !paused || after != 3*time.Second {
		t.Errorf("got all paused %t for %s, want for 3 s", paused, after)
	}
	if _, paused := b.AllPaused(newRequest("7"), start.Add(3*time.Second)); paused {
		t.Error("all servers count as paused after the end of one's pause")
	}
}

// TestPauseIsNoFailure guards against a server that is avoided after its pause because of
// the rejection that asked for it.
func TestPauseIsNoFailure(t *testing.T) {
	b := newTestBalancer("n1")
	choice := mustChoose(t, b, newRequest("7"), start)
	choice.Done(pauses, start)
	if failures := choice.server.failureAverage(start); failures != 0 {
		t.Errorf("got failure average %v, want 0", failures)
	}
}

// TestObjectsReturnGradually guards against all objects of a server that come back in the
// moment in which its pause ends.
func TestObjectsReturnGradually(t *testing.T) {
	b := newTestBalancer("n1")
	choice := mustChoose(t, b, newRequest("7"), start)
	home := choice.Backend.ID
	var objects []string
	for i := range 600 {
		if key := fmt.Sprint(i); homeOf(t, b, key, start).ID == home {
			objects = append(objects, key)
		}
	}
	choice.Done(pauses, start)
	end := start.Add(pauses.Signal.Pause)
	returned := func(now time.Time) (n int) {
		for _, key := range objects {
			if homeOf(t, b, key, now).ID == home {
				n++
			}
		}
		return n
	}
	if n := returned(end.Add(-1)); n != 0 {
		t.Errorf("%d objects at the server during its pause, want 0", n)
	}
	if n := returned(end); n != 1 {
		t.Errorf("%d requests at once after the pause, want 1", n)
	}
	end = end.Add(time.Second)
	trial := mustChoose(t, b, newRequest("7"), end)
	trial.Done(Result{Outcome: Answered}, end)
	half, all := returned(end.Add(125*time.Millisecond)), returned(end.Add(250*time.Millisecond))
	if trial.Backend.ID != home || half < len(objects)/3 || half > len(objects)*2/3 || all != len(objects) {
		t.Errorf("%d of %d objects are back after 125 ms and %d after 250 ms, want about half and all", half, len(objects), all)
	}
}

// TestReturningServersServeWithoutOthers guards against requests that are refused although
// servers answer again.
func TestReturningServersServeWithoutOthers(t *testing.T) {
	b := newTestBalancer("n1")
	for i := 2; i <= 6; i++ {
		b.Remove(fmt.Sprint("i-", 8000+i), start)
	}
	mustChoose(t, b, newRequest("7"), start).Done(pauses, start)
	end := start.Add(pauses.Signal.Pause)
	mustChoose(t, b, newRequest("7"), end).Done(Result{Outcome: Answered}, end)
	for i := range 20 {
		mustChoose(t, b, newRequest(fmt.Sprint(i)), end.Add(time.Millisecond)).Done(Result{Outcome: Answered}, end)
	}
}

// newRankedBalancer returns a balancer whose ranks compete.
func newRankedBalancer() *Balancer {
	b := newTestBalancer("n1")
	b.ConfigureRanks(routing.New(1, []routing.Route{
		{Name: "a", Host: "h", PathPrefix: "/a/", LatencyObjective: time.Second, TrafficSplit: []routing.WeightedService{{Service: "stock", Weight: 1}}},
		{Name: "b", Host: "h", PathPrefix: "/b/", Priority: 1, LatencyObjective: time.Second, TrafficSplit: []routing.WeightedService{{Service: "stock", Weight: 1}}},
	}, nil, routing.ClientLimits{}))
	return b
}

// TestWaiterIsDecidedOnAfterPause guards against a request that waits at a server that
// finds its object cold, although the pause of its home has ended.
func TestWaiterIsDecidedOnAfterPause(t *testing.T) {
	b := newRankedBalancer()
	mustChoose(t, b, newRequest("7"), start).Done(pauses, start)
	now := start.Add(pauses.Signal.Pause - 30*time.Millisecond)
	for _, srv := range b.servers {
		srv.recordLoad(Load{Running: 4, Waiting: 5, Slots: 4}, 0, now)
		srv.sustained = sustainedLoad{average: 3, at: now}
	}
	r := newRequest("7")
	r.ObjectiveLeft, r.TimeLeft = time.Second, 2*time.Second
	_, refusal := b.Choose(r, now)
	if refusal == nil || refusal.Waiter == nil || refusal.Recheck != 30*time.Millisecond {
		t.Errorf("got %+v, want a wait with a decision at the end of the pause", refusal)
	}
}

// TestWaitersLeaveUnusableServer guards against requests that go on waiting for room at a
// server that may get none any more.
func TestWaitersLeaveUnusableServer(t *testing.T) {
	for name, play := range map[string]func(b *Balancer, c *Choice){
		"leaving": func(_ *Balancer, c *Choice) { c.Done(leaves, start) },
		"pause":   func(_ *Balancer, c *Choice) { c.Done(pauses, start) },
		"draining": func(b *Balancer, c *Choice) {
			entry := c.Backend
			entry.Draining = true
			b.Put(entry, start)
		},
		"removed":   func(b *Balancer, c *Choice) { b.Remove(c.Backend.ID, start) },
		"missing":   func(b *Balancer, c *Choice) { b.MarkMissing(c.Backend.ID) },
		"evacuated": func(b *Balancer, c *Choice) { b.SetEvacuated(c.Backend.Zone, true, start) },
		"unreachable": func(_ *Balancer, c *Choice) {
			c.Done(Result{Outcome: Unreachable}, start)
		},
	} {
		b := newRankedBalancer()
		choice := mustChoose(t, b, newRequest("7"), start)
		var waiters [2]*Waiter
		for i := range waiters {
			waiters[i] = &Waiter{Server: choice.Backend.ID, Rank: i, Ready: make(chan struct{}, 1)}
			b.Wait(waiters[i], start)
		}
		play(b, choice)
		late := &Waiter{Server: choice.Backend.ID, Ready: make(chan struct{}, 1)}
		b.Wait(late, start)
		if len(late.Ready) == 0 {
			t.Errorf("%s: a waiter that was decided on before is not woken", name)
		}
		for i, w := range waiters {
			if len(w.Ready) == 0 {
				t.Errorf("%s: waiter %d is not woken", name, i)
			}
		}
	}
}
