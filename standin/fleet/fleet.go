// Package fleet starts a small fleet for tests. The platform and the backend
// servers run in the test's own process; each daemon is a separate process
// that can be killed, paused, stopped or disconnected.
//
// A test binary that uses this package must run its tests through Main.
package fleet

import (
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bilberrytiller.example/tiller/cli/tillerctl"
	"bilberrytiller.example/tiller/cli/tillerd"
	tiller "bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/cli"
	"bilberrytiller.example/standin/platform"
	"bilberrytiller.example/standin/relay"
)

// loopback is the source address of a daemon's connections to the platform.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Secret is the shared secret of every fleet.
const Secret = "a-secret-of-a-test-fleet"

// Main runs the tests of a package that starts fleets, with the commands
// tillerd, tillerctl and standin on their PATH.
func Main(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tillerd":   func() { os.Exit(tillerd.Main()) },
		"tillerctl": func() { os.Exit(tillerctl.Main()) },
		"standin":   func() { os.Exit(cli.Main()) },
	})
}

// T is the part of testing.TB that a fleet needs. Programs that start a fleet
// implement it themselves.
type T interface {
	Helper()
	Cleanup(func())
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Options configure a fleet.
type Options struct {
	// DataCentres maps each data centre to its region.
	DataCentres map[string]string
	// Hosts lists the data centre of each entry host.
	Hosts []string
	// Services are the services of the catalogue.
	Services []catalogue.Service
	// Upstreams are the backend servers, each with the service that it runs.
	Upstreams []Upstream
	// Links are written to the catalogue unchanged.
	Links []catalogue.Link
	// Args are additional flags of every daemon.
	Args []string
	// Seeds passes to each daemon, when it starts, the peer addresses of the hosts
	// that are running.
	Seeds bool
}

// Upstream configures one backend server.
type Upstream struct {
	Name       string
	Service    string
	DataCentre string
	Options    backend.Options
	// Services are further services that the server runs.
	Services []string
}

// Fleet is a running fleet. It is stopped at the end of its test.
type Fleet struct {
	t    T
	opts Options
	// upstreams holds the catalogue entry of each backend server by name.
	upstreams map[string]catalogue.Upstream
	Platform  *platform.Server
	// PlatformURL is the base URL of the platform.
	PlatformURL string
	Backends    map[string]*backend.Server
	// backendServers holds the HTTP server of each backend server by name.
	backendServers map[string]*httptest.Server
	Hosts          []*Host
}

// Service returns a service entry of the given rank with default values.
func Service(name string, rank request.Rank, idempotent bool) catalogue.Service {
	s := catalogue.Service{Meta: meta(catalogue.KindService, name)}
	s.Class = catalogue.Class{Rank: rank, Idempotent: idempotent, Deadline: catalogue.Duration(10 * time.Second)}
	return s
}

// Start starts a fleet and waits until every daemon sees all the others as
// alive and has applied the catalogue.
func Start(t T, opts Options) *Fleet {
	t.Helper()
	f := &Fleet{
		t: t, opts: opts, Platform: platform.New(),
		Backends: map[string]*backend.Server{}, upstreams: map[string]catalogue.Upstream{}, backendServers: map[string]*httptest.Server{},
	}
	server := httptest.NewServer(f.Platform)
	t.Cleanup(server.Close)
	f.PlatformURL = server.URL
	for dc, region := range opts.DataCentres {
		f.Apply(&catalogue.DataCentre{Meta: meta(catalogue.KindDataCentre, dc), Region: region})
	}
	for i := range opts.Services {
		f.Apply(&opts.Services[i])
	}
	for i := range opts.Links {
		f.Apply(&opts.Links[i])
	}
	for _, u := range opts.Upstreams {
		f.startBackend(u)
	}
	for i, dc := range opts.Hosts {
		f.Hosts = append(f.Hosts, f.startHost(i, dc))
	}
	f.PublishHosts()
	f.WaitConverged()
	return f
}

// Apply writes a catalogue entry to the platform regardless of its version,
// and returns the new version.
func (f *Fleet) Apply(entry catalogue.Entry) uint64 {
	f.t.Helper()
	data, err := catalogue.Encode(entry)
	if err != nil {
		f.t.Fatal(err)
	}
	name := entry.ID().String()
	version, err := f.Platform.Replace(tiller.KindCatalogue, name, data)
	if err != nil {
		f.t.Fatalf("apply %s: %v", name, err)
	}
	return version
}

// UpstreamEntry returns the catalogue entry of an upstream.
func (f *Fleet) UpstreamEntry(name string) *catalogue.Upstream {
	f.t.Helper()
	id := catalogue.ID{Kind: catalogue.KindUpstream, Name: name}
	obj, err := f.Platform.Object(tiller.KindCatalogue, id.String())
	if err != nil {
		f.t.Fatal(err)
	}
	entry, err := catalogue.Decode(obj.Data)
	if err != nil {
		f.t.Fatal(err)
	}
	return entry.(*catalogue.Upstream)
}

// PublishHosts sets the platform's list of hosts to the current hosts, with
// the given ones marked as leaving.
func (f *Fleet) PublishHosts(leaving ...*Host) { f.Platform.SetHosts(f.HostList(leaving...)) }

// HostList returns the list that PublishHosts sets.
func (f *Fleet) HostList(leaving ...*Host) []tiller.Host {
	var hosts []tiller.Host
	for _, h := range f.Hosts {
		state := tiller.HostLive
		if slices.Contains(leaving, h) {
			state = tiller.HostLeaving
		}
		hosts = append(hosts, tiller.Host{
			ID: h.ID, DataCentre: h.DataCentre, Region: h.Region, Peer: h.peerRelay.Addr(), Caller: h.CallerAddr, State: state,
		})
	}
	return hosts
}

// Client returns a caller that knows the given hosts, or all hosts if none are
// given.
func (f *Fleet) Client(hosts ...*Host) *caller.Caller {
	if len(hosts) == 0 {
		hosts = f.Hosts
	}
	var entries []string
	for _, h := range hosts {
		entries = append(entries, h.CallerAddr.String())
	}
	return caller.New(entries)
}

// PeerBytes returns the number of bytes that a host has exchanged with its
// peers so far, on connections opened by either side.
func (f *Fleet) PeerBytes(h *Host) int64 {
	var sum int64
	for _, other := range f.Hosts {
		if other != h {
			sum += other.peerRelay.Bytes(h.IP) + h.peerRelay.Bytes(other.IP)
		}
	}
	return sum
}

// SetPath sets the mode of the network path from one host to another.
func (f *Fleet) SetPath(from, to *Host, mode relay.Mode) { to.peerRelay.SetMode(from.IP, mode) }

// SetPlatformPath sets the mode of the network path from a host to the
// platform.
func (f *Fleet) SetPlatformPath(h *Host, mode relay.Mode) { h.platformRelay.SetMode(loopback, mode) }

// MeterRegionTraffic calls count, from now on, for the bytes sent between
// hosts of different regions, with the source and the destination region.
func (f *Fleet) MeterRegionTraffic(count func(from, to string, bytes int)) {
	region := map[netip.Addr]string{}
	for _, h := range f.Hosts {
		region[h.IP] = h.Region
	}
	for _, h := range f.Hosts {
		h.peerRelay.SetMeter(func(source netip.Addr, back bool, bytes int) {
			from, to := region[source], h.Region
			if back {
				from, to = to, from
			}
			if from != "" && to != "" && from != to {
				count(from, to, bytes)
			}
		})
	}
}

// SetHostPaths sets the mode of the paths between one host and all others, in
// both directions.
func (f *Fleet) SetHostPaths(h *Host, mode relay.Mode) {
	for _, other := range f.Hosts {
		if other != h {
			f.SetPath(h, other, mode)
			f.SetPath(other, h, mode)
		}
	}
}

// SetRegionPaths sets the mode of the paths between the hosts of two regions,
// in both directions.
func (f *Fleet) SetRegionPaths(a, b string, mode relay.Mode) {
	for _, x := range f.Hosts {
		for _, y := range f.Hosts {
			if x.Region == a && y.Region == b {
				f.SetPath(x, y, mode)
				f.SetPath(y, x, mode)
			}
		}
	}
}

// WaitConverged waits until every running daemon sees exactly the running
// daemons as alive and has applied the newest catalogue.
func (f *Fleet) WaitConverged() {
	f.t.Helper()
	want := f.Platform.CatalogueVersion()
	Eventually(f.t, "fleet converged", func() bool {
		for _, h := range f.Hosts {
			if h.Running() && !f.converged(h, want) {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) converged(h *Host, want uint64) bool {
	status, err := h.Status()
	if err != nil || status.CatalogueVersion < want {
		return false
	}
	alive := map[string]bool{}
	for _, m := range status.Members {
		alive[m.Host] = m.State == "alive"
	}
	for _, other := range f.Hosts {
		if other.Running() != alive[other.ID] {
			return false
		}
	}
	return true
}

func (f *Fleet) startBackend(u Upstream) {
	s := backend.New(u.Options)
	server := httptest.NewServer(s)
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.Backends[u.Name] = s
	f.backendServers[u.Name] = server
	entry := catalogue.Upstream{
		Meta: meta(catalogue.KindUpstream, u.Name), Services: append([]string{u.Service}, u.Services...), DataCentre: u.DataCentre,
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: u.Options.Slots, Connections: 330,
	}
	f.upstreams[u.Name] = entry
	f.Apply(&entry)
}

// SetUpstreamDrain sets or clears the drain flag of an upstream's catalogue
// entry.
func (f *Fleet) SetUpstreamDrain(name string, drain bool) {
	f.t.Helper()
	entry := f.upstreams[name]
	entry.Drain = drain
	f.Apply(&entry)
}

// StopBackend stops a backend server and closes its connections, including
// those of requests in progress.
func (f *Fleet) StopBackend(name string) {
	server := f.backendServers[name]
	_ = server.Listener.Close()
	server.CloseClientConnections()
}

// startHost starts a host's daemon on a loopback address of its own, so that
// its connections can be told apart from those of other hosts.
func (f *Fleet) startHost(i int, dc string) *Host {
	f.t.Helper()
	ip := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
	h := &Host{ID: fmt.Sprintf("host-%d", i+1), DataCentre: dc, Region: f.opts.DataCentres[dc], IP: ip, t: f.t}
	var err error
	if h.platformRelay, err = relay.New(ip.String(), strings.TrimPrefix(f.PlatformURL, "http://")); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(h.platformRelay.Close)
	f.launch(h)
	return h
}

// AddHost starts a daemon on a new host. The platform lists the host only
// after the next call of PublishHosts.
func (f *Fleet) AddHost(dc string) *Host {
	f.t.Helper()
	h := f.startHost(len(f.Hosts), dc)
	f.Hosts = append(f.Hosts, h)
	return h
}

// Restart starts a new daemon on a host whose daemon has exited.
func (f *Fleet) Restart(h *Host) {
	f.t.Helper()
	f.launch(h)
	f.PublishHosts()
}

// Replace starts a new daemon on a host whose daemon is paused, and returns a
// Host for the paused daemon.
func (f *Fleet) Replace(h *Host) *Host {
	f.t.Helper()
	old := &Host{
		ID: h.ID, DataCentre: h.DataCentre, Region: h.Region, IP: h.IP, CallerAddr: h.CallerAddr, OperatorAddr: h.OperatorAddr,
		peerRelay: h.peerRelay, platformRelay: h.platformRelay, t: h.t, cmd: h.cmd, log: h.log, exited: h.exited,
	}
	old.currentCallerAddr.Store(h.currentCallerAddr.Load())
	f.t.Cleanup(old.Kill)
	f.Restart(h)
	return old
}

func (f *Fleet) launch(h *Host) {
	f.t.Helper()
	listen := net.JoinHostPort(h.IP.String(), "0")
	peerRelay, err := relay.New(h.IP.String(), "")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(peerRelay.Close)
	args := append([]string{
		"--host-id", h.ID, "--datacentre", h.DataCentre, "--region", h.Region, "--platform", "http://" + h.platformRelay.Addr().String(),
		"--caller-listen", listen, "--peer-listen", listen, "--operator-listen", listen, "--secret", Secret,
		"--peer-advertise", peerRelay.Addr().String(),
	}, f.opts.Args...)
	args = append(args, f.seeds(h)...)
	h.log = &logBuffer{ready: make(chan string, 1)}
	h.cmd = exec.Command("tillerd", args...)
	h.cmd.Stderr = h.log
	if err := h.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	h.exited = make(chan struct{})
	go h.reap(h.cmd, h.exited)
	f.t.Cleanup(h.Kill)
	ready, ok := h.awaitReady()
	if !ok {
		f.t.Fatalf("%s did not start:\n%s", h.ID, h.Log())
	}
	h.CallerAddr, h.OperatorAddr = ready["caller"], ready["operator"]
	addr := h.CallerAddr
	h.currentCallerAddr.Store(&addr)
	peerRelay.SetTarget(ready["peer"].String())
	h.peerRelay = peerRelay
}

func (f *Fleet) seeds(h *Host) []string {
	var args []string
	for _, other := range f.Hosts {
		if f.opts.Seeds && other != h && other.Running() {
			args = append(args, "--peer", other.peerRelay.Addr().String())
		}
	}
	return args
}

// Eventually polls until a condition holds. It fails the test after a minute,
// which is far longer than anything in a fleet takes.
func Eventually(t T, what string, condition func() bool) {
	t.Helper()
	const limit, period = time.Minute, 20 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(period) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", limit, what)
}

func meta(kind catalogue.Kind, name string) catalogue.Meta {
	return catalogue.Meta{Schema: catalogue.SchemaVersion, Kind: kind, Name: name, Owner: "tests"}
}
