// Command upload plays a few requests with large bodies, within the limits of the
// desired state, and watches the memory of the machines.
package main

import (
	"bufio"
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
	perSecond = 189
	length    = 60 * time.Second
	// bodyBytes is the size of a large body, less than half of max_body_bytes.
	bodyBytes = 30_000_000
	// together is how many clients send a large body to one machine at the same time,
	// and period the time until they do so again.
	together = 3
	period   = 6 * time.Second
	// linkBytes is what a machine's link of 1000 Mbit/s carries in a second.
	linkBytes = 125_000_000
	chunk     = 250_000
)

func main() {
	rig.Begin(100 * time.Second)
	store := rig.NewStore()
	rig.PutConfig(store, 1, []rig.Route{{
		Name: "renewal-charge", Host: "till.example", Prefix: "/charge/", Service: "tillpay", Affinity: true, TargetMs: 250, TimeoutMs: 1000,
	}})
	for i := range 12 {
		u := &rig.Upstream{Service: "tillpay", Zone: fmt.Sprintf("z%d", i%3+1), Slots: 4, Queue: 2}
		u.Work = func() time.Duration { return 90*time.Millisecond + rand.N(60*time.Millisecond) }
		u.Boot(store)
	}
	fleet := rig.NewFleet(store, map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"})
	machines := fleet.StartAll([]string{"z1", "z2", "z3"}, 1)
	var ends []*atomic.Int64
	for _, g := range machines {
		ends = append(ends, fleet.EnforceMemory(g))
	}
	began := time.Now()
	var wg sync.WaitGroup
	if rig.Trouble() {
		for i, g := range machines {
			for k := range together {
				wg.Go(func() { uploads(fmt.Sprintf("u%d-%d", i, k), g, began) })
			}
		}
	}
	outcomes := send(machines, began)
	wg.Wait()
	three, counts := 0, []int64{}
	for _, n := range ends {
		counts = append(counts, n.Load())
		if n.Load() >= 3 {
			three++
		}
	}
	rig.Log("the other requests by outcome: %v", outcomes)
	rig.Verdict(three >= 2, "the processes of the 3 machines ended by themselves %v times, as they used more memory than they have; the other clients saw %v", counts, outcomes)
}

// uploads sends a request with a large body to a machine from time to time. The
// clients that do so share what the machine's link carries.
func uploads(client string, g *rig.Gateway, began time.Time) {
	zeros := make([]byte, chunk)
	for n := 0; ; n++ {
		at := began.Add(4*time.Second + time.Duration(n)*period)
		if at.Sub(began) > length-3*time.Second {
			return
		}
		time.Sleep(time.Until(at))
		c, err := net.DialTimeout("tcp", g.Frontend, time.Second)
		if err != nil {
			rig.Log("a large body to %s: no connection", g.Name)
			continue
		}
		_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
		_, err = fmt.Fprintf(c, "POST /charge/large HTTP/1.1\r\nHost: till.example\r\n%s: %s-%05d\r\n%s: 1500\r\nContent-Length: %d\r\n\r\n", rig.HeaderAttempt, client, n, rig.HeaderDeadline, bodyBytes)
		sent, start := 0, time.Now()
		for sent < bodyBytes && err == nil {
			time.Sleep(time.Until(start.Add(time.Duration(sent) * time.Second * together / linkBytes)))
			var k int
			k, err = c.Write(zeros[:min(chunk, bodyBytes-sent)])
			sent += k
		}
		status := "no answer"
		if resp, readErr := http.ReadResponse(bufio.NewReader(c), nil); readErr == nil {
			status = resp.Status
		}
		rig.Log("a body of %d bytes to %s: %d bytes sent in %d ms, %s", bodyBytes, g.Name, sent, time.Since(start).Milliseconds(), status)
		_ = c.Close()
	}
}

// send sends the other requests at a constant rate and returns how many ended how.
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
			ID: fmt.Sprintf("c%06d", n), Method: http.MethodPost, Host: "till.example", Path: fmt.Sprintf("/charge/%d", n), Key: fmt.Sprint(rand.IntN(400)),
			Body: fmt.Sprintf("charge number %d", n), Budget: 1500 * time.Millisecond,
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
