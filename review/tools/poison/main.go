// Command poison plays a request that crashes each upstream that runs it and that
// comes again every few seconds, under light traffic.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bilberrytiller.example/review/rig"
)

const (
	upstreams = 12
	// perSecond is the rate of the other requests. With 9 machines and 12 upstreams,
	// each machine sends 0.0185 requests a second to each upstream, more than in the
	// large deployment (1,021 a second, 295 machines, 330 upstreams: 0.0105).
	perSecond = 2
	// period is the time between two attempts with the request that crashes.
	period = 3 * time.Second
	length = 63 * time.Second
	// down is how long a crashed upstream is away.
	down = 2 * time.Second
	// stableWindow is the bound of the settings, and allowed the number in the rule.
	stableWindow = 3 * time.Second
	allowed      = 3
	poisonPath   = "/charge/poison"
)

// arrival is an attempt with the request that crashes, at an upstream.
type arrival struct {
	id, upstream string
	at           time.Time
}

func main() {
	rig.Begin(110 * time.Second)
	store := rig.NewStore()
	rig.PutConfig(store, 1, []rig.Route{{
		Name: "renewal-charge", Host: "till.example", Prefix: "/charge/", Service: "tillpay", Affinity: true, TargetMs: 250, TimeoutMs: 1000,
	}})
	var mu sync.Mutex
	var arrivals []arrival
	for i := range upstreams {
		u := &rig.Upstream{Service: "tillpay", Zone: fmt.Sprintf("z%d", i%3+1), Slots: 4, Queue: 2}
		u.Work = func() time.Duration { return 90*time.Millisecond + rand.N(60*time.Millisecond) }
		u.OnRun = func(u *rig.Upstream, r *rig.Request) bool {
			if r.Path != poisonPath {
				return true
			}
			mu.Lock()
			arrivals = append(arrivals, arrival{r.ID, u.ID(), r.At})
			mu.Unlock()
			rig.Log("attempt %s crashes %s", r.ID, u.ID())
			time.AfterFunc(down, func() { u.Boot(store) })
			return false
		}
		u.Boot(store)
	}
	machines := rig.NewFleet(store, map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"}).StartAll([]string{"z1", "z2", "z3"}, 3)
	time.Sleep(time.Second)
	statuses := traffic(machines)
	mu.Lock()
	defer mu.Unlock()
	late, crashes := map[string]bool{}, len(arrivals)
	for i, a := range arrivals {
		if i >= 3 && a.at.After(arrivals[2].at.Add(stableWindow)) {
			late[a.id] = true
			rig.Log("attempt %s reached %s %.1f s after the third crash", a.id, a.upstream, a.at.Sub(arrivals[2].at).Seconds())
		}
	}
	noticed := 0
	for _, g := range machines {
		noticed += len(g.LogLines("request.crashed_server"))
	}
	rig.Log("other requests by status: %v; lines request.crashed_server in the logs of the machines: %d", statuses, noticed)
	rig.Verdict(len(late) > allowed, "%d attempts with the request reached upstreams later than %s after its third crash, %d are allowed; it crashed upstreams %d times; the other requests ended with %v",
		len(late), stableWindow, allowed, crashes, statuses)
}

// traffic sends the other requests at random times and, as the disruption, the
// request that crashes. It returns how many of the others ended with each status.
func traffic(machines []*rig.Gateway) map[int]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	began := time.Now()
	if rig.Trouble() {
		wg.Go(func() {
			for n := 0; time.Since(began) < length-period; n++ {
				time.Sleep(period)
				g := machines[rand.IntN(len(machines))]
				o := rig.Once(g.Frontend, rig.Call{
					ID: fmt.Sprintf("p%06d", n), Method: http.MethodPost, Host: "till.example", Path: poisonPath, Key: "poison", Body: "the same body", Budget: 1500 * time.Millisecond,
				})
				rig.Log("attempt p%06d to %s: the client sees: %s", n, g.Name, o)
			}
		})
	}
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
		g := machines[rand.IntN(len(machines))]
		call := rig.Call{
			ID: fmt.Sprintf("c%06d", n), Method: http.MethodPost, Host: "till.example", Path: fmt.Sprintf("/charge/%d", n),
			Key: fmt.Sprint(rand.IntN(400)), Body: fmt.Sprintf("charge number %d", n), Budget: 1500 * time.Millisecond,
		}
		wg.Go(func() {
			o := rig.Once(g.Frontend, call)
			rig.Log("attempt %s to %s: the client sees: %s", call.ID, g.Name, o)
			mu.Lock()
			defer mu.Unlock()
			statuses[o.Status]++
		})
	}
	wg.Wait()
	return statuses
}
