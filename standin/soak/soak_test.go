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
)

var (
	seeds = flag.Int("seeds", 2, "seeds of the soak to play")
	first = flag.Uint64("first-seed", 1, "the first of them")
	steps = flag.Int("steps", 25, "faults of each seed")
)

// program is the tillerd that TestMain built.
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

// newField starts a field of gateways that are ready.
func newField(t *testing.T, gateways int, o originserver.Options) *Field {
	t.Helper()
	dir := t.TempDir()
	f, err := NewField(program, dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			showLogs(t, dir)
		}
	})
	must(t, f.Configure(1))
	for _, service := range []string{"look", "pay"} {
		for i := range 3 {
			o.ID, o.Seed = fmt.Sprint("i-", service, i), o.Seed+1
			must(t, f.AddServer(service, o))
		}
	}
	for range gateways {
		n, err := f.AddGateway()
		must(t, err)
		must(t, f.Start(n))
	}
	for n := range gateways {
		awaitReady(t, f, n)
	}
	return f
}

// awaitReady waits until a gateway is ready. One that ended by itself is
// started again: a port that it listened on may have been given to a client's
// connection while it was down.
func awaitReady(t *testing.T, f *Field, n int) {
	t.Helper()
	await(t, func() bool {
		how, ended, err := f.Revive(n)
		must(t, err)
		if ended {
			t.Logf("gateway %d ended by itself: %v", n, how)
		}
		return f.Ready(n)
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// await waits for a condition; the test's own timeout ends it.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		time.Sleep(20 * time.Millisecond)
	}
}

func showLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		lines := strings.Split(string(text), "\n")
		t.Logf("%s, last lines:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-30):], "\n"))
	}
}

// ask sends one request and returns its status, 0 if there was no answer.
func ask(client *http.Client, url, path, id string) (int, string, error) {
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

// check holds what one client saw against what ran.
func check(t *testing.T, f *Field, id, path string, status int, body string, err error) {
	t.Helper()
	runs := f.Runs.ServersOf(id)
	if path == "/pay/x" && len(runs) > 1 {
		t.Errorf("payment %s ran on %v", id, runs)
	}
	if status == http.StatusServiceUnavailable && len(runs) > 0 {
		t.Errorf("%s was refused with 503 and ran on %v", id, runs)
	}
	if status == http.StatusOK && err == nil && body != originserver.ResponseBody(id, []byte("body of "+id)) {
		t.Errorf("%s got %q", id, body)
	}
}

// seen is what a client saw of a request.
type seen struct {
	id, path, body string
	status         int
	err            error
}

// TestSoak plays seeds of faults, in series and overlapping, and checks that
// no payment ran twice, no refused request ran, and every answer is the whole
// answer to its own request.
func TestSoak(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	const gateways, clients = 3, 8
	f := newField(t, gateways, originserver.Options{Slots: 4, Work: 20 * time.Millisecond, DropRate: 0.03, TruncateRate: 0.03, Seed: seed})
	stop := make(chan struct{})
	results := make(chan []seen, clients)
	for c := range clients {
		go func() { results <- load(f, seed, c, gateways, stop) }()
	}
	random := rand.New(rand.NewPCG(seed, 2))
	for range *steps {
		fault(t, f, random, gateways)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	f.Store.SetFaults(objectstore.Faults{})
	for n := range gateways {
		awaitReady(t, f, n)
	}
	close(stop)
	answered := 0
	for range clients {
		for _, s := range <-results {
			check(t, f, s.id, s.path, s.status, s.body, s.err)
			if s.status == http.StatusOK {
				answered++
			}
		}
	}
	if answered == 0 {
		t.Error("no request was answered")
	}
}

// load sends requests until stop, each to a random gateway.
func load(f *Field, seed uint64, c, gateways int, stop <-chan struct{}) []seen {
	random := rand.New(rand.NewPCG(seed, uint64(100+c)))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var all []seen
	for i := 0; ; i++ {
		select {
		case <-stop:
			return all
		default:
		}
		s := seen{id: fmt.Sprintf("%d-%d-%d", seed, c, i), path: "/look/x"}
		if random.IntN(2) == 0 {
			s.path = "/pay/x"
		}
		s.status, s.body, s.err = ask(client, f.ClientURL(random.IntN(gateways)), s.path, s.id)
		all = append(all, s)
		time.Sleep(time.Millisecond)
	}
}

// fault makes one thing go wrong, and mends some of it.
func fault(t *testing.T, f *Field, random *rand.Rand, gateways int) {
	t.Helper()
	n := random.IntN(gateways)
	switch random.IntN(7) {
	case 0:
		signal(t, f, n, syscall.SIGKILL)
		_ = f.Ended(n)
		must(t, f.Start(n))
	case 1:
		signal(t, f, n, syscall.SIGSTOP)
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		signal(t, f, n, syscall.SIGCONT)
	case 2:
		f.Store.SetFaults(objectstore.Faults{Down: random.IntN(2) == 0, Unresponsive: random.IntN(2) == 0})
	case 3:
		f.Store.SetFaults(objectstore.Faults{DropWriteResponses: random.IntN(2) == 0, SuppressEvents: random.IntN(2) == 0})
	case 4:
		f.Store.CompactHistory()
	case 5:
		signal(t, f, n, syscall.SIGHUP)
	case 6:
		f.Store.SetFaults(objectstore.Faults{})
	}
}

// signal sends a signal to a gateway, which may have ended by itself.
func signal(t *testing.T, f *Field, n int, s syscall.Signal) {
	t.Helper()
	if err := f.Signal(n, s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

// TestPlannedStopCutsNoRequest stops a gateway under load; clients see each of
// their requests answered.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	f := newField(t, 1, originserver.Options{Slots: 8, Work: 30 * time.Millisecond})
	stopping := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				id := fmt.Sprintf("stop-%d-%d", c, i)
				status, _, err := ask(client, f.ClientURL(0), "/pay/x", id)
				if err != nil && errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if status != http.StatusOK && len(f.Runs.ServersOf(id)) > 0 {
					t.Errorf("%s ran and got %d, %v", id, status, err)
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
	must(t, f.Signal(0, syscall.SIGTERM))
	if err := f.Ended(0); err != nil {
		t.Errorf("the gateway ended with %v", err)
	}
	f.gateways[0].ended <- nil
	clients.Wait()
}

// TestGatewayStartsWhileTheStoreIsDown learns all from its seed.
func TestGatewayStartsWhileTheStoreIsDown(t *testing.T) {
	f := newField(t, 1, originserver.Options{Slots: 4, Work: time.Millisecond})
	f.Store.SetFaults(objectstore.Faults{Unresponsive: true})
	n, err := f.AddGateway()
	must(t, err)
	must(t, f.Start(n))
	await(t, func() bool { return f.Ready(n) })
	if status, _, err := ask(http.DefaultClient, f.ClientURL(n), "/look/x", "late-1"); status != http.StatusOK {
		t.Errorf("got %d, %v", status, err)
	}
}
