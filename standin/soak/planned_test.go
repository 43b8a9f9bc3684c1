package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bilberrytiller.example/standin/objectstore"
	"bilberrytiller.example/standin/originserver"
)

var (
	plannedGateways = flag.Int("gateways", 4, "number of gateways under planned work")
	plannedClients  = flag.Int("clients", 16, "number of clients under planned work")
	plannedDuration = flag.Duration("planned", 15*time.Second, "duration of planned work per seed")
)

const (
	// configBound is the time within which a confirmed configuration is in force,
	// and drainBound the time after which a draining server gets no request.
	configBound = 2500 * time.Millisecond
	drainBound  = 2500 * time.Millisecond
	// routeTimeout is the timeout of the routes.
	routeTimeout = 2 * time.Second
	// lateSendTime limits how long a client waits before it uses a new connection. It is
	// below the header timeout of the configuration, which closes unused connections.
	lateSendTime = 2500 * time.Millisecond
	// serversPerService is the number of servers that startGateways adds to each
	// service.
	serversPerService = 3
)

// TestPlannedWorkIsUnnoticed stops, restarts and reloads gateways, changes the
// configuration, drains servers and has servers name limits, in series that overlap.
// Clients use their open connections until the gateway's process is gone. Each
// request that ran must be answered, and each change must be in force in time.
func TestPlannedWorkIsUnnoticed(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { playPlannedWork(t, seed) })
	}
}

// plannedWork is one run of planned work on a cluster.
type plannedWork struct {
	t       *testing.T
	cluster *Cluster
	seed    uint64
	stop    chan struct{}
	working sync.WaitGroup

	// mustRun reports that a request for the route of the latest version must run. Else it
	// must not be denied.
	mustRun bool
	// changing is read-locked from a change until it must be in force, and locked while
	// the store is restored.
	changing sync.RWMutex

	// mu guards running and version.
	mu sync.Mutex
	// running holds the gateways that are ready and have not been told to stop.
	running map[int]bool
	version int
}

func playPlannedWork(t *testing.T, seed uint64) {
	cluster := startGateways(t, *plannedGateways, originserver.Options{Slots: 16, Work: 20 * time.Millisecond})
	p := &plannedWork{t: t, cluster: cluster, seed: seed, stop: make(chan struct{}), running: map[int]bool{}, version: 1}
	for n := range *plannedGateways {
		p.running[n] = true
		p.working.Go(func() { p.restartGateway(n, p.random(n)) })
	}
	p.working.Go(func() { p.changeConfiguration(p.random(1000)) })
	p.working.Go(func() { p.drainServers(p.random(1001)) })
	p.working.Go(func() { p.limitServers(p.random(1002)) })
	p.working.Go(func() { p.writeOddEntries(p.random(1003)) })
	answers := make(chan int, *plannedClients)
	for c := range *plannedClients {
		go func() { answers <- p.client(c, p.random(2000+c)) }()
	}
	time.Sleep(*plannedDuration)
	close(p.stop)
	p.working.Wait()
	answered := 0
	for range *plannedClients {
		answered += <-answers
	}
	if answered == 0 {
		t.Error("no request was answered with status 200")
	}
}

func (p *plannedWork) random(stream int) *rand.Rand {
	return rand.New(rand.NewPCG(p.seed, uint64(stream)))
}

// pause waits for a random time up to most. It returns false when the work ends.
func (p *plannedWork) pause(random *rand.Rand, most time.Duration) bool {
	select {
	case <-p.stop:
		return false
	case <-time.After(time.Duration(random.Int64N(int64(most)))):
		return true
	}
}

func (p *plannedWork) setRunning(n int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[n] = running
}

func (p *plannedWork) isRunning(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[n]
}

// restartGateway stops and starts a gateway again and again, reloads it in between,
// and at times stops it before it is ready.
func (p *plannedWork) restartGateway(n int, random *rand.Rand) {
	for p.pause(random, 8*time.Second) {
		for range random.IntN(4) {
			p.signal(n, syscall.SIGHUP)
			p.pause(random, 50*time.Millisecond)
		}
		for range 1 + random.IntN(2) {
			p.setRunning(n, false)
			// A process that has not installed its signal handler yet ends at once.
			wasReady := p.cluster.Ready(n)
			for range 1 + random.IntN(2) {
				p.signal(n, syscall.SIGTERM)
				p.pause(random, 100*time.Millisecond)
			}
			if err := p.cluster.AwaitExit(n); err != nil && wasReady {
				p.t.Errorf("gateway %d exited with %v after SIGTERM", n, err)
			}
			if err := p.cluster.Start(n); err != nil {
				p.t.Error(err)
				return
			}
			if random.IntN(2) == 0 {
				p.awaitReady(n)
			}
		}
		p.awaitReady(n)
		p.setRunning(n, true)
	}
}

// awaitReady waits until a gateway is ready. It must not exit on its own.
func (p *plannedWork) awaitReady(n int) {
	for !p.cluster.Ready(n) {
		exitErr, restarted, err := p.cluster.RestartIfExited(n)
		if err != nil {
			p.t.Error(err)
			return
		}
		if restarted {
			p.t.Errorf("gateway %d exited on its own: %v", n, exitErr)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (p *plannedWork) signal(n int, s syscall.Signal) {
	if err := p.cluster.Signal(n, s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Error(err)
	}
}

// changeConfiguration makes series of changes, and checks after each series that the
// last version is in force on all gateways that ran all the while.
func (p *plannedWork) changeConfiguration(random *rand.Rand) {
	for p.pause(random, 2*time.Second) {
		p.changeSeries(random)
	}
}

func (p *plannedWork) changeSeries(random *rand.Rand) {
	p.changing.RLock()
	defer p.changing.RUnlock()
	for range 1 + random.IntN(5) {
		p.version++
		if err := p.cluster.Configure(p.version); err != nil {
			p.t.Error(err)
		}
		p.pause(random, 300*time.Millisecond)
	}
	if err := p.cluster.Configure(p.version + 1); err != nil {
		p.t.Error(err)
	}
	p.version++
	var before []int
	for n := range *plannedGateways {
		if p.isRunning(n) {
			before = append(before, n)
		}
	}
	time.Sleep(configBound)
	for _, n := range before {
		p.checkVersion(n)
	}
}

func (p *plannedWork) checkVersion(n int) {
	id := fmt.Sprint("probe-", time.Now().UnixNano(), "-", p.version, "-", n)
	status, _, err := sendRequest(http.DefaultClient, p.cluster.ClientURL(n), VersionPath(p.version)+"x", id)
	lacks := status == http.StatusNotFound || p.mustRun && len(p.cluster.Runs.ServersOf(id)) == 0
	if lacks && p.isRunning(n) {
		p.t.Errorf("gateway %d lacks version %d of the configuration %s after it was confirmed (%v)", n, p.version, configBound, err)
	}
}

// drainServers drains one server at a time, and checks that it gets no request once
// it has been draining for long enough.
func (p *plannedWork) drainServers(random *rand.Rand) {
	for p.pause(random, 3*time.Second) {
		id := p.randomServer(random)
		p.changing.RLock()
		if err := p.cluster.SetDraining(id, true); err != nil {
			p.t.Error(err)
		}
		time.Sleep(drainBound)
		p.changing.RUnlock()
		drained := time.Now()
		p.pause(random, 2*time.Second)
		for _, at := range p.cluster.Runs.TimesOf(id) {
			if at.After(drained) {
				p.t.Errorf("%s began a request %s after it was draining", id, at.Sub(drained)+drainBound)
				break
			}
		}
		if err := p.cluster.SetDraining(id, false); err != nil {
			p.t.Error(err)
		}
	}
}

func (p *plannedWork) limitServers(random *rand.Rand) {
	for p.pause(random, time.Second) {
		id := p.randomServer(random)
		p.cluster.SetRateLimit(id, 1+30*random.Float64())
		p.pause(random, 4*time.Second)
		p.cluster.SetRateLimit(id, 0)
	}
}

// writeOddEntries writes entries of servers, and of other kinds, that cannot be used or
// read, and removes them again.
func (p *plannedWork) writeOddEntries(random *rand.Rand) {
	specs := []any{
		objectstore.Deep, map[string]any{"address": objectstore.Deep}, map[string]any{"slots": -1}, "text", nil,
		map[string]any{"service_name": "look", "address": "127.0.0.1:0", "zone": "z1", "slots": 1 << 40, "state": "ready"},
		map[string]any{"service_name": "pay", "address": "127.0.0.1:65536", "zone": "z1", "slots": 8, "state": "ready"},
	}
	for p.pause(random, 2*time.Second) {
		kind := []string{"servers", "servers", "config", "tillers"}[random.IntN(4)]
		if err := p.cluster.Store.Put(kind, "odd", specs[random.IntN(len(specs))]); err != nil {
			p.t.Error(err)
		}
		p.pause(random, 3*time.Second)
		p.cluster.Store.Delete(kind, "odd")
	}
}

func (p *plannedWork) randomServer(random *rand.Rand) string {
	service := []string{"look", "pay"}[random.IntN(2)]
	return fmt.Sprint("i-", service, random.IntN(serversPerService))
}

// client sends requests one after the other. It keeps to one gateway and its open
// connection until that is closed, then goes to another one. It returns the number
// of requests that were answered with status 200.
func (p *plannedWork) client(c int, random *rand.Rand) (answered int) {
	unused := make(chan net.Conn, 1)
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case conn := <-unused:
			return conn, nil
		default:
			return new(net.Dialer).DialContext(ctx, network, address)
		}
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	n := random.IntN(*plannedGateways)
	for i := 0; ; i++ {
		select {
		case <-p.stop:
			return answered
		default:
		}
		id, path := fmt.Sprintf("%d-%d-%d", p.seed, c, i), "/look/x"
		if random.IntN(2) == 0 {
			path = "/pay/x"
		}
		sent := time.Now()
		status, body, err := sendRequest(client, p.cluster.ClientURL(n), path, id)
		checkResponse(p.t, p.cluster, id, path, status, body, err)
		complete := status == http.StatusOK && err == nil
		if !complete && len(p.cluster.Runs.ServersOf(id)) > 0 && time.Since(sent) < routeTimeout {
			p.t.Errorf("%s ran, but its client got status %d from gateway %d after %s, error %v", id, status, n, time.Since(sent), err)
		}
		if complete {
			answered++
			time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
			continue
		}
		if err != nil && !isClosed(err) {
			p.t.Errorf("%s got error %v from gateway %d", id, err, n)
		}
		transport.CloseIdleConnections()
		n = random.IntN(*plannedGateways)
		if random.IntN(4) == 0 {
			p.connectEarly(n, random, unused)
		}
	}
}

// connectEarly connects to a gateway and waits before the connection is used.
func (p *plannedWork) connectEarly(n int, random *rand.Rand, unused chan<- net.Conn) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.cluster.ClientURL(n), "http://"))
	if err != nil {
		return
	}
	p.pause(random, lateSendTime)
	unused <- conn
}

// isClosed reports whether an error means that a gateway's process is gone, or that
// it closed the connection without an answer. net/http has no value for the error of a
// connection that was closed before anything was sent on it.
func isClosed(err error) bool {
	if strings.Contains(err.Error(), "server closed idle connection") {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}
