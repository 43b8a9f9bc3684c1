// Command flood plays upstreams that send bytes that are no response in place of a
// few of their answers, and watches the memory of the machines.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytiller.example/review/rig"
)

const (
	perSecond = 222
	length    = 62 * time.Second
	// garble: share 0.6 of the upstreams spoil 0.03 of their answers, for 5 s.
	garbledUpstreams = 7
	garbleRate       = 0.03
	garbleFor        = 5 * time.Second
	// linkBytes is what a machine's link of 1000 Mbit/s carries in a second.
	linkBytes = 125_000_000
	chunk     = 250_000
)

// garbleAt are the times at which the disruption begins.
var garbleAt = []time.Duration{6 * time.Second, 17 * time.Second, 28 * time.Second, 39 * time.Second, 50 * time.Second}

// link shares out what the link of one machine carries.
type link struct {
	mu   sync.Mutex
	free time.Time
}

func (l *link) take(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	wait := l.free.Sub(now)
	l.free = l.free.Add(time.Duration(bytes) * time.Second / linkBytes)
	l.mu.Unlock()
	time.Sleep(wait)
}

// links are the links of the machines.
type links struct {
	mu       sync.Mutex
	machines []*rig.Gateway
	all      map[*rig.Gateway]*link
	other    link
}

func (l *links) set(machines []*rig.Gateway) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machines, l.all = machines, map[*rig.Gateway]*link{}
	for _, g := range machines {
		l.all[g] = &link{}
	}
}

// of returns the link of the machine at the other end of a connection.
func (l *links) of(c net.Conn) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.machines {
		if g.Owns(c.RemoteAddr().(*net.TCPAddr).Port) {
			return l.all[g]
		}
	}
	return &l.other
}

func main() {
	rig.Begin(100 * time.Second)
	store := rig.NewStore()
	rig.PutConfig(store, 1, []rig.Route{{
		Name: "usage-report", Host: "report.example", Prefix: "/usage/", Service: "reportkiln", Idempotent: true, Affinity: true, TargetMs: 800, TimeoutMs: 1500,
	}})
	var began atomic.Pointer[time.Time]
	garbling := func() bool {
		t := began.Load()
		if t == nil || !rig.Trouble() {
			return false
		}
		for _, at := range garbleAt {
			if since := time.Since(*t); since >= at && since < at+garbleFor {
				return true
			}
		}
		return false
	}
	var links links
	var spoiled atomic.Int64
	zeros := make([]byte, chunk)
	for i := range 12 {
		u := &rig.Upstream{Service: "reportkiln", Zone: fmt.Sprintf("z%d", i%3+1), Slots: 6, Queue: 3}
		u.Work = func() time.Duration { return 100*time.Millisecond + rand.N(100*time.Millisecond) }
		if i < garbledUpstreams {
			u.Instead = func(u *rig.Upstream, r *rig.Request, c net.Conn) bool {
				if !garbling() || rand.Float64() >= garbleRate {
					return false
				}
				spoiled.Add(1)
				sent, link := 0, links.of(c)
				for {
					link.take(chunk)
					n, err := c.Write(zeros)
					sent += n
					if err != nil {
						break
					}
				}
				rig.Log("attempt %s: %s sent %d bytes that are no response", r.ID, u.ID(), sent)
				return true
			}
		}
		u.Boot(store)
	}
	fleet := rig.NewFleet(store, map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"})
	machines := fleet.StartAll([]string{"z1", "z2", "z3"}, 1)
	links.set(machines)
	var ends []*atomic.Int64
	for _, g := range machines {
		ends = append(ends, fleet.EnforceMemory(g))
	}
	now := time.Now()
	began.Store(&now)
	outcomes := send(machines, now)
	three, counts := 0, []int64{}
	for _, n := range ends {
		counts = append(counts, n.Load())
		if n.Load() >= 3 {
			three++
		}
	}
	rig.Log("answers by outcome: %v; spoiled answers: %d", outcomes, spoiled.Load())
	rig.Verdict(three >= 2, "the processes of the 3 machines ended by themselves %v times, as they used more memory than they have; %d answers were spoiled; clients saw %v", counts, spoiled.Load(), outcomes)
}

// send sends attempts at a constant rate and returns how many ended how.
func send(machines []*rig.Gateway, began time.Time) map[string]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for n := 0; ; n++ {
		at := began.Add(time.Duration(n) * time.Second / perSecond)
		if at.Sub(began) > length {
			break
		}
		time.Sleep(time.Until(at))
		call := rig.Call{
			ID: fmt.Sprintf("c%06d", n), Method: http.MethodGet, Host: "report.example", Path: fmt.Sprintf("/usage/%d", n), Key: fmt.Sprint(rand.IntN(400)),
			Budget: 3 * time.Second,
		}
		machine := machines[n%len(machines)]
		wg.Go(func() {
			o := rig.Once(machine.Frontend, call)
			rig.Log("attempt %s to %s: the client sees: %s", call.ID, machine.Name, o)
			kind := fmt.Sprint(o.Status)
			if !o.Accepted {
				kind = "no connection"
			} else if o.Err != nil {
				kind = "no answer"
			}
			mu.Lock()
			defer mu.Unlock()
			outcomes[kind]++
		})
	}
	wg.Wait()
	return outcomes
}
