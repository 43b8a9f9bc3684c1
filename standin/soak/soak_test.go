package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bilberrytiller.example/standin/objectstore"
	"bilberrytiller.example/standin/originserver"
	"bilberrytiller.example/standin/relay"
)

var (
	seedCount  = flag.Int("seeds", 2, "number of seeds to run")
	firstSeed  = flag.Uint64("first-seed", 1, "first seed")
	faultCount = flag.Int("steps", 25, "number of faults injected per seed")
)

// program is the path of the tillerd binary built by TestMain.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(dir, "tillerd")
	build := exec.Command("go", "build", "-o", program, "bilberrytiller.example/tiller/cmd/tillerd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startGateways starts a store, three backend servers of each service and
// gateways, and waits until the gateways are ready.
func startGateways(t *testing.T, gateways int, o originserver.Options) *Cluster {
	t.Helper()
	dir := t.TempDir()
	cluster, err := NewCluster(program, dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cluster.Close()
		if t.Failed() {
			printLogTails(t, dir)
		}
	})
	must(t, cluster.Configure(1))
	for _, service := range []string{"look", "pay"} {
		for i := range 3 {
			o.ID, o.Seed = fmt.Sprint("i-", service, i), o.Seed+1
			must(t, cluster.AddServer(service, o))
		}
	}
	for range gateways {
		n, err := cluster.AddGateway()
		must(t, err)
		must(t, cluster.Start(n))
	}
	for n := range gateways {
		waitReady(t, cluster, n)
	}
	return cluster
}

// waitReady waits until a gateway is ready. It must not exit on its own.
func waitReady(t *testing.T, cluster *Cluster, n int) {
	t.Helper()
	waitFor(t, func() bool {
		exitErr, restarted, err := cluster.RestartIfExited(n)
		must(t, err)
		if restarted {
			t.Errorf("gateway %d exited on its own: %v", n, exitErr)
		}
		return cluster.Ready(n)
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// waitFor polls a condition until it holds. The timeout of the test binary
// bounds the wait.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		time.Sleep(20 * time.Millisecond)
	}
}

func printLogTails(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		lines := strings.Split(string(text), "\n")
		t.Logf("%s, last lines:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-30):], "\n"))
	}
}

// sendRequest sends one request and returns the status and body of the
// response. The status is 0 if there was no response.
func sendRequest(client *http.Client, url, path, id string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, strings.NewReader("body of "+id))
	if err != nil {
		return 0, "", err
	}
	req.Host = "field.example"
	req.Header.Set("X-Bilberrytiller-Attempt-Id", id)
	req.Header.Set("X-Bilberrytiller-Affinity-Key", id[len(id)-1:])
	req.Header.Set("X-Bilberrytiller-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// checkResponse compares what a client received with the recorded runs of its
// request: a payment runs at most once, a request refused with 503 has not run,
// and a response that was read whole is that of the request.
func checkResponse(t *testing.T, cluster *Cluster, id, path string, status int, body string, err error) {
	t.Helper()
	servers := cluster.Runs.ServersOf(id)
	if path == "/pay/x" && len(servers) > 1 {
		t.Errorf("payment %s ran on %v", id, servers)
	}
	if status == http.StatusServiceUnavailable && len(servers) > 0 {
		t.Errorf("%s was refused with status 503 but ran on %v", id, servers)
	}
	if status == http.StatusOK && err == nil && body != originserver.ResponseBody(id, []byte("body of "+id)) {
		t.Errorf("%s got body %q", id, body)
	}
}

// result is a request with the response that its client received.
type result struct {
	id, path, body string
	status         int
	err            error
}

// TestSoak injects a seeded sequence of faults, which may overlap, into gateways
// under load, and into servers that send bytes without end. It checks that no payment runs twice, no request refused with 503
// runs, no client receives the response to another request, and that the gateways follow
// the store at the end, also if it was restored from older copies.
func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	const gateways, clients = 3, 8
	cluster := startGateways(t, gateways, originserver.Options{Slots: 4, Work: 20 * time.Millisecond, DropRate: 0.03, TruncateRate: 0.03, Seed: seed})
	stop := make(chan struct{})
	results := make(chan []result, clients)
	for c := range clients {
		go func() { results <- sendLoad(cluster, seed, c, gateways, stop) }()
	}
	random := rand.New(rand.NewPCG(seed, 2))
	d := &storeDrills{copies: []objectstore.Copy{cluster.Store.Copy()}}
	for range *faultCount {
		injectFault(t, cluster, random, gateways, d)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	cluster.Store.SetFaults(objectstore.Faults{})
	must(t, cluster.Rewrite())
	for n := range gateways {
		cluster.SetStorePath(n, relay.Disconnect)
		cluster.SetStorePath(n, relay.Pass)
		waitReady(t, cluster, n)
		checkMemory(t, cluster, n)
	}
	time.Sleep(storeRecovery)
	must(t, cluster.Configure(2))
	time.Sleep(configBound)
	checkInForce(t, cluster, gateways, 2)
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
	if answered == 0 {
		t.Error("no request was answered with status 200")
	}
}

// checkMemory checks that the process of a gateway has never used more memory than the
// machines of the small deployments have.
func checkMemory(t *testing.T, cluster *Cluster, n int) {
	t.Helper()
	const limitMB = 284
	mb, err := cluster.PeakMemoryMB(n)
	if err != nil || mb > limitMB {
		t.Errorf("gateway %d has used %d MB (%v), want at most %d", n, mb, err, limitMB)
	}
}

// sendLoad sends requests one after the other, each to a random gateway, until
// stop is closed.
func sendLoad(cluster *Cluster, seed uint64, c, gateways int, stop <-chan struct{}) []result {
	random := rand.New(rand.NewPCG(seed, uint64(100+c)))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var all []result
	for i := 0; ; i++ {
		select {
		case <-stop:
			return all
		default:
		}
		r := result{id: fmt.Sprintf("%d-%d-%d", seed, c, i), path: "/look/x"}
		if random.IntN(2) == 0 {
			r.path = "/pay/x"
		}
		r.status, r.body, r.err = sendRequest(client, cluster.ClientURL(random.IntN(gateways)), r.path, r.id)
		all = append(all, r)
		time.Sleep(time.Millisecond)
	}
}

// injectFault injects or clears one random fault. Killed and paused gateways
// are started or resumed before it returns; faults of the store last until a
// later call changes them.
func injectFault(t *testing.T, cluster *Cluster, random *rand.Rand, gateways int, d *storeDrills) {
	t.Helper()
	n := random.IntN(gateways)
	switch random.IntN(13) {
	case 0:
		sendSignal(t, cluster, n, syscall.SIGKILL)
		_ = cluster.AwaitExit(n)
		must(t, cluster.Start(n))
	case 1:
		sendSignal(t, cluster, n, syscall.SIGSTOP)
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		sendSignal(t, cluster, n, syscall.SIGCONT)
	case 2:
		cluster.Store.SetFaults(objectstore.Faults{Down: random.IntN(2) == 0, Unresponsive: random.IntN(2) == 0})
	case 3:
		cluster.Store.SetFaults(objectstore.Faults{DropWriteResponses: random.IntN(2) == 0, SuppressEvents: random.IntN(2) == 0})
	case 4:
		cluster.Store.CompactHistory()
	case 5:
		sendSignal(t, cluster, n, syscall.SIGHUP)
	case 6:
		cluster.Store.SetFaults(objectstore.Faults{})
	case 7:
		cluster.SetEndlessRate(0.1)
	case 8:
		cluster.SetEndlessRate(0)
	case 9:
		d.copies = append(d.copies, cluster.Store.Copy())
		must(t, cluster.SetDraining(fmt.Sprint("i-look", random.IntN(2)), random.IntN(2) == 0))
	case 10:
		d.restore(t, cluster, random)
	case 11:
		cluster.SetStorePath(n, []relay.Mode{relay.Blackhole, relay.Disconnect}[random.IntN(2)])
	case 12:
		cluster.SetStorePath(n, relay.Disconnect)
		cluster.SetStorePath(n, relay.Pass)
	}
}

// storeRecovery is how long after an outage of the store changes may be late.
const storeRecovery = 3 * time.Second

// storeDrills are the copies of the store from which it is restored.
type storeDrills struct{ copies []objectstore.Copy }

// restore restores the store from one of the last copies, after writes that it loses. The
// writers write again after a while, or only at the end.
func (d *storeDrills) restore(t *testing.T, cluster *Cluster, random *rand.Rand) {
	t.Helper()
	for i := range lostWrites {
		must(t, cluster.Store.Put("noise", "n", i))
	}
	must(t, cluster.Rewrite())
	// The gateways must have seen what is lost.
	time.Sleep(drillOutage)
	last := d.copies[max(0, len(d.copies)-3):]
	cluster.Store.Restore(last[random.IntN(len(last))])
	if random.IntN(3) > 0 {
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		must(t, cluster.Rewrite())
	}
}

// sendSignal sends a signal to a gateway, whose process may already have exited.
func sendSignal(t *testing.T, cluster *Cluster, n int, s syscall.Signal) {
	t.Helper()
	if err := cluster.Signal(n, s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

// TestGracefulStopCutsNoRequest guards against a gateway that exits on SIGTERM
// while it still has requests in flight: a request that ran must be answered
// with status 200, and the gateway must exit without an error.
func TestGracefulStopCutsNoRequest(t *testing.T) {
	cluster := startGateways(t, 1, originserver.Options{Slots: 8, Work: 30 * time.Millisecond})
	stopping := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				id := fmt.Sprintf("stop-%d-%d", c, i)
				status, _, err := sendRequest(client, cluster.ClientURL(0), "/pay/x", id)
				if err != nil && errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if status != http.StatusOK && len(cluster.Runs.ServersOf(id)) > 0 {
					t.Errorf("%s ran but got status %d, error %v", id, status, err)
				}
				if i == 20 && c == 0 {
					close(stopping)
				}
				if err != nil {
					return
				}
			}
		})
	}
	<-stopping
	must(t, cluster.Signal(0, syscall.SIGTERM))
	if err := cluster.AwaitExit(0); err != nil {
		t.Errorf("gateway exited with %v", err)
	}
	cluster.gateways[0].exited <- nil
	clients.Wait()
}

// TestGatewayStartsWhileStoreIsDown guards against a gateway that needs the
// store to start: with the store unresponsive, it must get the configuration
// and the servers from its seed.
func TestGatewayStartsWhileStoreIsDown(t *testing.T) {
	cluster := startGateways(t, 1, originserver.Options{Slots: 4, Work: time.Millisecond})
	cluster.Store.SetFaults(objectstore.Faults{Unresponsive: true})
	n, err := cluster.AddGateway()
	must(t, err)
	must(t, cluster.Start(n))
	waitFor(t, func() bool { return cluster.Ready(n) })
	if status, _, err := sendRequest(http.DefaultClient, cluster.ClientURL(n), "/look/x", "late-1"); status != http.StatusOK {
		t.Errorf("got status %d, error %v; want 200", status, err)
	}
}

// TestGatewaysKeepServerLimits guards against servers that get several times the
// requests that they named as their limit, from all gateways together.
func TestGatewaysKeepServerLimits(t *testing.T) {
	const (
		gateways, clients = 3, 8
		limit             = 12.0
		stable, window    = 3 * time.Second, 4 * time.Second
		allowed           = 1.5*limit*4 + 5
	)
	cluster := startGateways(t, gateways, originserver.Options{Slots: 8, Work: 20 * time.Millisecond})
	for _, service := range []string{"look", "pay"} {
		must(t, cluster.AddServer(service, originserver.Options{ID: "i-" + service + "-limited", Slots: 8, Work: 20 * time.Millisecond, RateLimit: limit}))
	}
	stop := make(chan struct{})
	results := make(chan []result, clients)
	for c := range clients {
		go func() { results <- sendLoad(cluster, 1, c, gateways, stop) }()
	}
	limited := []string{"i-look-limited", "i-pay-limited"}
	waitFor(t, func() bool {
		return len(cluster.Runs.TimesOf(limited[0])) > gateways && len(cluster.Runs.TimesOf(limited[1])) > gateways
	})
	time.Sleep(stable)
	from := time.Now()
	time.Sleep(2 * window)
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
	for _, server := range limited {
		if n := mostWithin(cluster.Runs.TimesOf(server), from, window); float64(n) > allowed {
			t.Errorf("%s with a limit of %v a second began %d requests in %s, want at most %v", server, limit, n, window, allowed)
		}
	}
	if answered == 0 {
		t.Error("no request was answered with status 200")
	}
}

// mostWithin returns the largest number of times in any window that begins after
// from. The times must be sorted.
func mostWithin(times []time.Time, from time.Time, window time.Duration) int {
	most, first := 0, 0
	for last, at := range times {
		for times[first].Before(from) && first < last || at.Sub(times[first]) > window {
			first++
		}
		if at.After(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}
