// Command hot plays the loss of the upstreams of one zone while many clients ask for
// the same thing, and compares how a route that was added later is served with the
// first one.
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
	length = 62 * time.Second
	// down is how long the upstreams of zone z1 stay down each time.
	down = 4500 * time.Millisecond
	// steadyFrom is when the steady state that is judged begins: the upstreams have
	// been back, and not cold, for longer than stable_window.
	steadyFrom = 45 * time.Second
)

// crashAt are the times at which the upstreams of zone z1 go down together.
var crashAt = []time.Duration{8 * time.Second, 18 * time.Second, 28 * time.Second}

// perSecond is the rate of each of the two routes at the machines of each zone.
var perSecond = map[string]float64{"z1": 40, "z2": 3, "z3": 3}

type count struct{ sent, served int }

func main() {
	rig.Begin(100 * time.Second)
	store := rig.NewStore()
	first := rig.Route{Name: "stock-lookup", Host: "stock.example", Prefix: "/stock/", Service: "stockdesk", Idempotent: true, Affinity: true, TargetMs: 200, TimeoutMs: 1200}
	later := first
	later.Name, later.Prefix, later.Affinity = "stock-listing", "/listing/", false
	rig.PutConfig(store, 1, []rig.Route{first})
	var inZone []*rig.Upstream
	for i := range 9 {
		u := &rig.Upstream{Service: "stockdesk", Zone: fmt.Sprintf("z%d", i%3+1), Slots: 9, Queue: 4}
		u.Work = func() time.Duration { return 80*time.Millisecond + rand.N(60*time.Millisecond) }
		u.Boot(store)
		if u.Zone == "z1" {
			inZone = append(inZone, u)
		}
	}
	zones := []string{"z1", "z2", "z3"}
	machines := rig.NewFleet(store, map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"}).StartAll(zones, 1)
	rig.PutConfig(store, 4, []rig.Route{first, later})
	time.Sleep(3 * time.Second)
	began := time.Now()
	for _, at := range crashAt {
		if !rig.Trouble() {
			break
		}
		time.AfterFunc(at, func() {
			rig.Log("the %d upstreams of z1 go down", len(inZone))
			rig.CrashTogether(inZone)
		})
		time.AfterFunc(at+down, func() {
			for _, u := range inZone {
				u.Boot(store)
			}
			rig.Log("the upstreams of z1 are back")
		})
	}
	counts := map[string]*count{first.Name: {}, later.Name: {}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, zone := range zones {
		for _, route := range []rig.Route{first, later} {
			wg.Go(func() { clients(machines[i], route, perSecond[zone], began, counts, &mu, &wg) })
		}
	}
	wg.Wait()
	a, b := counts[first.Name], counts[later.Name]
	for _, g := range machines {
		rig.Log("%s: %d lines request.crashed_server", g.Name, len(g.LogLines("request.crashed_server")))
	}
	shareA, shareB := float64(a.served)/float64(a.sent), float64(b.served)/float64(b.sent)
	rig.Verdict(b.sent >= 20 && shareB < shareA/4, "from %s on, %s after the upstreams were back: the first route was served %d of %d times, the later one %d of %d times",
		steadyFrom, steadyFrom-crashAt[len(crashAt)-1]-down, a.served, a.sent, b.served, b.sent)
}

func clients(g *rig.Gateway, route rig.Route, rate float64, began time.Time, counts map[string]*count, mu *sync.Mutex, wg *sync.WaitGroup) {
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
		call := rig.Call{ID: fmt.Sprintf("%.5s-%.7s%05d", g.Name[5:], route.Name[6:], n), Method: http.MethodGet, Host: route.Host, Path: route.Prefix + "today", Budget: 1200 * time.Millisecond}
		if route.Affinity {
			object := rand.IntN(5000)
			call.Path, call.Key = fmt.Sprintf("%s%d", route.Prefix, object), fmt.Sprint(object)
		}
		steady := time.Since(began) >= steadyFrom
		wg.Go(func() {
			o := rig.Once(g.Frontend, call)
			rig.Log("attempt %s (%s): the client sees: %s", call.ID, call.Path, o)
			mu.Lock()
			defer mu.Unlock()
			if steady {
				counts[route.Name].sent++
				if o.Status == http.StatusOK {
					counts[route.Name].served++
				}
			}
		})
	}
}
