package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"bilberrytiller.example/standin/originserver"
)

// keyTransport sends requests with an organisation's key.
type keyTransport struct {
	http.RoundTripper
	key string
}

func (k keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+k.key)
	return k.RoundTripper.RoundTrip(r)
}

// TestQuotaHoldsThroughKillOfAll kills all gateways at once while clients ask for three
// times an organisation's quota. It counts the runs at the servers, and repeats the kill
// until the gateways have released each other, which needs starts within a second.
func TestQuotaHoldsThroughKillOfAll(t *testing.T) {
	const (
		gateways, clients, kills = 4, 6, 5
		perSecond, burst         = 100.0, 20.0
		window, overshoot, slack = 5 * time.Second, 0.1, 20.0
	)
	cluster := startGateways(t, gateways, originserver.Options{Slots: 16, Work: 5 * time.Millisecond})
	cluster.SetOrganisation("k-1", perSecond, burst)
	must(t, cluster.Configure(2))
	stop := make(chan struct{})
	statuses := make(chan map[int]int, clients)
	for c := range clients {
		go func() {
			client := &http.Client{Transport: keyTransport{&http.Transport{}, "k-1"}}
			defer client.CloseIdleConnections()
			seen := map[int]int{}
			defer func() { statuses <- seen }()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(clients * time.Second / (3 * perSecond)):
				}
				status, _, _ := sendRequest(client, cluster.ClientURL(i%gateways), "/look/x", fmt.Sprint("quota-", c, "-", i))
				seen[status]++
			}
		}()
	}
	time.Sleep(3 * time.Second)
	released := 0
	for kill := 0; kill < kills && released < gateways; kill++ {
		for n := range gateways {
			sendSignal(t, cluster, n, syscall.SIGKILL)
		}
		for n := range gateways {
			_ = cluster.AwaitExit(n)
			must(t, cluster.Start(n))
		}
		for n := range gateways {
			waitReady(t, cluster, n)
		}
		began := time.Now()
		waitFor(t, func() bool { return len(runsAfter(cluster, began)) >= perSecond })
		t.Logf("%v requests ran %s after all were ready", perSecond, time.Since(began))
		released = 0
		for n := range gateways {
			if strings.Contains(lastStart(t, cluster, n), "released=true") {
				released++
			}
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	sum := map[int]int{}
	for range clients {
		for status, n := range <-statuses {
			sum[status] += n
		}
	}
	t.Logf("statuses %v", sum)
	if released < gateways {
		t.Errorf("%d of %d gateways were released after the last kill", released, gateways)
	}
	allowed := (perSecond*window.Seconds()+burst)*(1+overshoot) + slack
	runs := runsAfter(cluster, time.Time{})
	most, first := 0, 0
	for i, at := range runs {
		for at.Sub(runs[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	t.Logf("at most %d requests ran in a window", most)
	if float64(most) > allowed {
		t.Errorf("%d requests ran in a window, want at most %v", most, allowed)
	}
}

// runsAfter returns when requests ran at all servers, in order.
func runsAfter(c *Cluster, after time.Time) []time.Time {
	var all []time.Time
	for i := range 3 {
		all = append(all, c.Runs.TimesOf(fmt.Sprint("i-look", i))...)
	}
	all = slices.DeleteFunc(all, func(at time.Time) bool { return at.Before(after) })
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// lastStart returns the log of a gateway's latest process.
func lastStart(t *testing.T, c *Cluster, n int) string {
	t.Helper()
	log, err := os.ReadFile(filepath.Join(c.dir, c.gateways[n].name+".log"))
	must(t, err)
	return string(log[max(0, strings.LastIndex(string(log), "gateway.start")):])
}
