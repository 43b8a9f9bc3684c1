// Command accept plays a burst of clients that takes a machine to its limit of
// descriptors, and then checks whether the machine takes new connections.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytiller.example/review/rig"
)

const (
	// usual is the number of clients at the machine, each with a connection that it
	// keeps and uses once in period.
	usual  = 1800
	period = 10 * time.Second
	// burst multiplies the clients for burstFor.
	burst    = 2.3
	burstFor = 5 * time.Second
	// stableWindow is the bound of the settings.
	stableWindow = 3 * time.Second
	// checkFor is how long new clients try after the burst, and checkers how many at
	// a time.
	checkFor = 15 * time.Second
	checkers = 10
)

var ids atomic.Int64

func call() rig.Call {
	n := ids.Add(1)
	return rig.Call{
		ID: fmt.Sprintf("c%06d", n), Method: http.MethodGet, Host: "stock.example", Path: fmt.Sprintf("/stock/%d", n), Key: fmt.Sprint(n % 400),
		Budget: 1200 * time.Millisecond,
	}
}

// client opens a connection, sends a request on it at once and then from time to
// time, until stop is closed. It opens another connection if the machine closes it.
func client(g *rig.Gateway, stop chan struct{}, failures *atomic.Int64, opened *sync.WaitGroup) {
	c, err := rig.Dial(g.Frontend)
	opened.Done()
	if err != nil {
		failures.Add(1)
		return
	}
	defer func() { c.Close() }()
	for wait := time.Duration(0); ; wait = period {
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		if c.Done {
			c.Close()
			next, err := rig.Dial(g.Frontend)
			if err != nil {
				failures.Add(1)
				continue
			}
			c = next
		}
		if o := c.Do(call()); o.Status != http.StatusOK {
			failures.Add(1)
			rig.Log("a client at a kept connection: %s", o)
		}
	}
}

// arrive starts clients over a time and waits until they have connected.
func arrive(g *rig.Gateway, count int, over time.Duration, stop chan struct{}, failures *atomic.Int64) {
	var opened sync.WaitGroup
	for range count {
		opened.Add(1)
		go client(g, stop, failures, &opened)
		time.Sleep(over / time.Duration(count))
	}
	opened.Wait()
}

func main() {
	rig.Begin(110 * time.Second)
	store := rig.NewStore()
	rig.PutConfig(store, 1, []rig.Route{{
		Name: "stock-lookup", Host: "stock.example", Prefix: "/stock/", Service: "stockdesk", Idempotent: true, Affinity: true, TargetMs: 200, TimeoutMs: 1000,
	}})
	for i := range 12 {
		u := &rig.Upstream{Service: "stockdesk", Zone: fmt.Sprintf("z%d", i%2+1), Slots: 9, Queue: 4, Work: func() time.Duration { return 30 * time.Millisecond }}
		u.Boot(store)
	}
	machines := rig.NewFleet(store, map[string]string{"z1": "r1", "z2": "r1"}).StartAll([]string{"z1", "z2"}, 1)
	g := machines[0]
	forever := make(chan struct{})
	var failures atomic.Int64
	arrive(g, usual, period, forever, &failures)
	rig.Log("%d clients keep connections to %s; failures so far: %d", usual, g.Name, failures.Load())
	time.Sleep(period)
	rig.Log("failures in usual traffic: %d", failures.Load())
	if failures.Load() > usual/100 {
		rig.CannotRun("usual traffic already fails")
	}
	if rig.Trouble() {
		leave := make(chan struct{})
		extra := int(usual * (burst - 1))
		began := time.Now()
		arrive(g, extra, burstFor/2, leave, &failures)
		rig.Log("burst: %d more clients have come; the machine has %d open files of %d", extra, openFiles(g), 4100)
		time.Sleep(burstFor - time.Since(began))
		close(leave)
		rig.Log("the burst is over after %.1f s", time.Since(began).Seconds())
	}
	time.Sleep(2 * stableWindow)
	check(g)
}

// check lets new clients try for a while, as many as the rule asks for and more.
func check(g *rig.Gateway) {
	ready, named := 0, 0
	var mu sync.Mutex
	outcomes := map[string]int{}
	answered, tried, second := 0, 0, 0
	var wg sync.WaitGroup
	for end := time.Now().Add(checkFor); time.Now().Before(end); second++ {
		if g.IsReady() {
			ready++
		}
		if g.NamesItself() {
			named++
		}
		for range checkers {
			wg.Go(func() {
				one := call()
				o := rig.Once(g.Frontend, one)
				mu.Lock()
				defer mu.Unlock()
				tried++
				if o.Status == http.StatusOK {
					answered++
				}
				outcomes[o.String()]++
				rig.Log("attempt %s on a new connection to %s: %s", one.ID, g.Name, o)
			})
		}
		time.Sleep(time.Second)
	}
	wg.Wait()
	rig.Log("process runs: %v; open files: %d; ready in %d of %d seconds, named by its directory in %d", g.Running(), openFiles(g), ready, second, named)
	broken := answered == 0 && ready == second
	rig.Verdict(broken, "%d of %d new connections got an answer in %s, which began %s after the burst; the machine said it was ready in %d of %d seconds, and its directory named it in %d",
		answered, tried, checkFor, 2*stableWindow, ready, second, named)
}
