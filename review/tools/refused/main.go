// Command refused plays a second answer that arrives late after some rejections of a
// non-idempotent service, and looks for attempts that ran and were refused.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"bilberrytiller.example/review/rig"
)

const (
	upstreams = 12
	perSecond = 260
	length    = 48 * time.Second
	// srv_grey, "shed all": all upstreams reject a part of their requests for 8.5 s.
	greyFor  = 8500 * time.Millisecond
	greyRate = 0.3
	// garble, "extra late": share 0.6 of the upstreams send a second answer after
	// 0.03 of their answers, for 5 s.
	garbleFor        = 5 * time.Second
	garbledUpstreams = 7
	garbleRate       = 0.03
)

// Both disruptions come three times, at these times.
var times = []time.Duration{8 * time.Second, 21 * time.Second, 34 * time.Second}

func main() {
	rig.Begin(100 * time.Second)
	store := rig.NewStore()
	rig.PutConfig(store, 1, []rig.Route{{
		Name: "renewal-charge", Host: "till.example", Prefix: "/charge/", Service: "tillpay", Affinity: true, TargetMs: 250, TimeoutMs: 1000,
	}})
	var mu sync.Mutex
	runs := map[string][]string{}
	extras := 0
	began := time.Time{}
	during := func(length time.Duration) bool {
		since := time.Since(began)
		return rig.Trouble() && !began.IsZero() && slices.ContainsFunc(times, func(from time.Duration) bool { return since >= from && since < from+length })
	}
	for i := range upstreams {
		u := &rig.Upstream{Service: "tillpay", Zone: fmt.Sprintf("z%d", i%3+1), Slots: 4, Queue: 2}
		u.Work = func() time.Duration { return 90*time.Millisecond + rand.N(60*time.Millisecond) }
		u.OnRun = func(u *rig.Upstream, r *rig.Request) bool {
			mu.Lock()
			runs[r.ID] = append(runs[r.ID], u.ID())
			mu.Unlock()
			rig.Log("attempt %s is run by %s", r.ID, u.ID())
			return true
		}
		u.Rejects = func() bool { return during(greyFor) && rand.Float64() < greyRate }
		if i < garbledUpstreams {
			u.AfterAnswer = func(u *rig.Upstream, r *rig.Request, answer []byte, write func([]byte)) {
				if !during(garbleFor) || rand.Float64() >= garbleRate {
					return
				}
				mu.Lock()
				extras++
				mu.Unlock()
				time.AfterFunc(10*time.Millisecond+rand.N(20*time.Millisecond), func() {
					rig.Log("attempt %s: %s sends its answer (%.12s) a second time", r.ID, u.ID(), answer)
					write(answer)
				})
			}
		}
		u.Boot(store)
	}
	zones := map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"}
	machines := rig.NewFleet(store, zones).StartAll([]string{"z1", "z2", "z3"}, 3)
	time.Sleep(time.Second)
	began = time.Now()
	statuses, refused := send(machines, began)
	mu.Lock()
	defer mu.Unlock()
	var twice []string
	for id, servers := range runs {
		if len(servers) > 1 {
			twice = append(twice, id)
			rig.Log("attempt %s ran %d times, at %v", id, len(servers), servers)
		}
	}
	refusedRan := 0
	for _, id := range refused {
		if len(runs[id]) > 0 {
			refusedRan++
			rig.Log("attempt %s was answered 503 and has run, at %v", id, runs[id])
		}
	}
	rig.Log("answers by status: %v; second answers sent: %d; answered 503 and has run (REFUSED): %d", statuses, extras, refusedRan)
	rig.Verdict(refusedRan > 0, "%d non-idempotent attempts were answered 503 and have run; %d of %d ran more than once", refusedRan, len(twice), len(runs))
}

// send sends attempts at random times, perSecond on average, each on a connection of its own, and
// returns how many ended with each status, and the attempts that ended with 503.
func send(machines []*rig.Gateway, began time.Time) (map[int]int, []string) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses, refused := map[int]int{}, []string{}
	keys := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.3, 8, 400)
	at := began
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
		if at.Sub(began) > length {
			break
		}
		time.Sleep(time.Until(at))
		call := rig.Call{
			ID: fmt.Sprintf("c%06d", n), Method: http.MethodPost, Host: "till.example", Path: fmt.Sprintf("/charge/%d", n),
			Key: fmt.Sprint(keys.Uint64()), Body: fmt.Sprintf("charge number %d", n), Budget: 1500 * time.Millisecond,
		}
		machine := machines[rand.IntN(len(machines))]
		wg.Go(func() {
			rig.Log("attempt %s is sent to %s", call.ID, machine.Name)
			o := rig.Once(machine.Frontend, call)
			rig.Log("attempt %s: the client sees: %s", call.ID, o)
			mu.Lock()
			statuses[o.Status]++
			if o.Status == http.StatusServiceUnavailable {
				refused = append(refused, call.ID)
			}
			mu.Unlock()
		})
	}
	wg.Wait()
	return statuses, refused
}
