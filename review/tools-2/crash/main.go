// Command crash sends three requests that crash each upstream that begins to run them, again
// and again, while the daemons are stopped and started in turn.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"review.example/tools2/rig"
)

const (
	host        = "jepu9.example"
	crashTarget = "/lepu270/crash"
	length      = 104 * time.Second
	// interval is the time after which the crashing request comes again.
	interval     = 4 * time.Second
	stableWindow = 3 * time.Second
	// allowed is the number of retries that the rule allows.
	allowed = 3
)

// crashTargets are the requests that crash upstreams.
var crashTargets = []string{"/lepu270/crash-1", "/lepu270/crash-2", "/lepu270/crash-3"}

// gap is the pause between two machines of a roll.
const gap = 4 * time.Second

// rolls are when the machines are stopped and started in turn, one after the other.
var rolls = []time.Duration{14 * time.Second, 39 * time.Second, 64 * time.Second}

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

// arrival is one arrival of the crashing request at an upstream.
type arrival struct {
	at      time.Time
	attempt string
	via     *rig.Daemon
	// inTouch says that the daemon had run for stableWindow when it got the request.
	inTouch bool
}

func run(repo, folder string, trouble bool) int {
	record, err := rig.NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	work, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer os.RemoveAll(work)
	store := rig.NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	go func() { _ = http.Serve(l, store) }()
	route := func(kind, prefix string) map[string]any {
		return map[string]any{"hostname": host, "path_prefix": prefix, "route_type": kind, "timeout": "1000ms", "target_latency": "200ms", "priority": 0,
			"service_name": "huvo11a", "max_attempts": 2, "session_affinity": false, "allowed_regions": []string{}}
	}
	store.Put("config", "main", map[string]any{"config_version": "r7",
		"routes":   map[string]any{"r-1": route("idempotent", "/lepu270/")},
		"services": map[string]any{"huvo11a": map[string]any{"health_path": "/health", "max_conns": 330, "cold_start": "3s", "cold_per_s": 22.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3000ms", "idle_timeout": "15000ms"}})

	var mu sync.Mutex
	sentBy := map[string]*rig.Daemon{}
	inTouch := map[string]bool{}
	arrivals := map[string][]arrival{}
	var upstreams []*rig.Upstream
	for i := range 12 {
		u, err := rig.NewUpstream(fmt.Sprint("u", i), "huvo11a", rig.Zones[i%len(rig.Zones)][0], store, record)
		if err != nil {
			fmt.Println(err)
			return 2
		}
		u.Crashes = func(r *http.Request) bool { return slices.Contains(crashTargets, r.URL.Path) }
		u.Ran = func(u *rig.Upstream, id string, r *http.Request) {
			attempt := r.Header.Get("X-Bilberrytiller-Attempt-Id")
			if !slices.Contains(crashTargets, r.URL.Path) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			arrivals[r.URL.Path] = append(arrivals[r.URL.Path], arrival{time.Now(), attempt, sentBy[attempt], inTouch[attempt]})
			record.Write("%s %s from %s runs at %s, which crashes (arrival %d)", r.URL.Path, attempt, sentBy[attempt].Name, id, len(arrivals[r.URL.Path]))
		}
		if err := u.Start(); err != nil {
			fmt.Println(err)
			return 2
		}
		defer u.Close()
		upstreams = append(upstreams, u)
	}
	fleet, err := rig.NewFleet(repo, work, l.Addr().String(), record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer fleet.Kill()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		fleet.Kill()
		_ = os.RemoveAll(work)
		os.Exit(2)
	}()
	if err := fleet.Start(); err != nil {
		fmt.Println(err)
		return 2
	}
	began := time.Now()
	end := began.Add(length)
	time.Sleep(stableWindow)

	served, refused, other := 0, 0, 0
	var clients sync.WaitGroup
	// up returns a random daemon of those that take clients.
	up := func() *rig.Daemon {
		for _, i := range rand.Perm(len(fleet)) {
			if d := fleet[i]; d.Ran(0) && d.Ready() {
				return d
			}
		}
		return nil
	}
	// An ordinary client beside the one whose request crashes upstreams.
	clients.Go(func() {
		for time.Now().Before(end) {
			if d := up(); d != nil {
				a := rig.Send(d, http.MethodGet, host, "/lepu270/2f", rig.NewID(), nil, 1200*time.Millisecond)
				mu.Lock()
				switch a.Status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					refused++
				default:
					other++
				}
				mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	for i, target := range crashTargets {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * interval / time.Duration(len(crashTargets)))
			for time.Now().Before(end) {
				if d := up(); d != nil {
					id := rig.NewID()
					mu.Lock()
					sentBy[id], inTouch[id] = d, d.Ran(stableWindow)
					mu.Unlock()
					a := rig.Send(d, http.MethodGet, host, target, id, nil, 1200*time.Millisecond)
					record.Write("%s %s sent to %s: %d", target, id, d.Name, a.Status)
				}
				time.Sleep(interval)
			}
		})
	}
	if trouble {
		for _, at := range rolls {
			time.Sleep(time.Until(began.Add(at)))
			for _, d := range fleet {
				d.Stop(syscall.SIGTERM)
				time.Sleep(500 * time.Millisecond)
				if err := d.Start(false); err != nil {
					fmt.Println(err)
					return 2
				}
				for !d.Ready() && time.Now().Before(end) {
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(gap)
			}
		}
	}
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	record.Print("ordinary requests: %d served, %d refused, %d others", served, refused, other)
	broken := false
	for _, target := range crashTargets {
		all := arrivals[target]
		if len(all) < 2 || served < 100 {
			record.Print("could not run: %d arrivals of %s", len(all), target)
			return 2
		}
		n := retries(all)
		record.Print("%s reached %d upstreams; %d retries by machines in touch later than %s after the third crash; allowed %d",
			target, len(all), n, stableWindow, allowed)
		broken = broken || n > allowed
	}
	if broken {
		record.Print("BUDGET is broken")
		return 1
	}
	return 0
}

// retries counts the client attempts that reached upstreams, by machines in touch, later than
// stableWindow after the third crash. Arrivals of one client attempt count as one.
func retries(all []arrival) int {
	counted := map[string]bool{}
	for i, a := range all {
		if i > 2 && a.inTouch && a.at.After(all[2].at.Add(stableWindow)) {
			counted[a.attempt] = true
		}
	}
	return len(counted)
}
