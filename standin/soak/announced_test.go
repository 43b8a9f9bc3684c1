package soak

import (
	"net/http"
	"testing"
	"time"

	"bilberrytiller.example/standin/originserver"
)

// TestGatewaysObeyAnnouncements has servers under load announce in their answers that they
// leave, while their entries stay ready, and ask for a pause. It counts what arrives at
// them after the gateways must know. Servers that left are used again after a restart at
// the same address, and the others after their pause.
func TestGatewaysObeyAnnouncements(t *testing.T) {
	const (
		gateways, clients = 2, 8
		settle            = 500 * time.Millisecond
		pause             = 2 * time.Second
		// allowed is the number of requests that may arrive from one gateway in a pause.
		allowed = 2
	)
	cluster := startGateways(t, gateways, originserver.Options{Slots: 8, Work: 10 * time.Millisecond})
	ids := map[string][]string{}
	for _, service := range []string{"look", "pay"} {
		for _, name := range []string{"-leaving", "-pausing"} {
			id := "i-" + service + name
			must(t, cluster.AddServer(service, originserver.Options{ID: id, Slots: 8, Work: 10 * time.Millisecond}))
			ids[name] = append(ids[name], id)
		}
	}
	stop := make(chan struct{})
	results := make(chan []result, clients)
	for c := range clients {
		go func() { results <- sendLoad(cluster, 1, c, gateways, stop) }()
	}
	waitFor(t, func() bool { return arrivedAtEach(cluster, append(ids["-leaving"], ids["-pausing"]...), 20*gateways) })
	for _, id := range ids["-leaving"] {
		cluster.Origin(id).SetLeaving(true)
	}
	for _, id := range ids["-pausing"] {
		cluster.Origin(id).Pause(pause)
	}
	began := time.Now()
	time.Sleep(pause)
	for _, id := range ids["-leaving"] {
		cluster.Origin(id).SetLeaving(false)
	}
	before := map[string]int{}
	for _, id := range ids["-pausing"] {
		before[id] = len(cluster.Origin(id).Arrivals())
	}
	// The clients go on until the servers are back after their pause.
	waitFor(t, func() bool {
		for id, n := range before {
			if len(cluster.Origin(id).Arrivals()) < n+20 {
				return false
			}
		}
		return true
	})
	ended := time.Now()
	restarted := map[string]int{}
	for _, id := range ids["-leaving"] {
		restarted[id] = len(cluster.Origin(id).Arrivals())
		must(t, cluster.RestartServer(id))
	}
	waitFor(t, func() bool {
		for id, n := range restarted {
			if len(cluster.Origin(id).Arrivals()) < n+20 {
				return false
			}
		}
		return true
	})
	close(stop)
	answered := 0
	for range clients {
		for _, r := range <-results {
			checkResponse(t, cluster, r.id, r.path, r.status, r.body, r.err)
			if r.status == http.StatusOK {
				answered++
			}
		}
	}
	for _, id := range ids["-leaving"] {
		if n := arrivedBetween(cluster, id, began.Add(settle), ended); n > 0 {
			t.Errorf("%d requests arrived at %s after it had announced that it leaves, want 0", n, id)
		}
	}
	for _, id := range ids["-pausing"] {
		if n := arrivedBetween(cluster, id, began.Add(settle), began.Add(pause)); n > allowed*gateways {
			t.Errorf("%d requests arrived at %s in the pause that it had asked for, want at most %d", n, id, allowed*gateways)
		}
	}
	if answered == 0 {
		t.Error("no request was answered with status 200")
	}
}

// arrivedAtEach reports whether at least n requests have arrived at each server.
func arrivedAtEach(c *Cluster, ids []string, n int) bool {
	for _, id := range ids {
		if len(c.Origin(id).Arrivals()) < n {
			return false
		}
	}
	return true
}

func arrivedBetween(c *Cluster, id string, from, to time.Time) (n int) {
	for _, at := range c.Origin(id).Arrivals() {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}
