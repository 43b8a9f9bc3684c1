// Package fleet starts a small fleet for tests: a platform and backend
// servers in the test's own process, and each daemon as a process of its own
// that can be killed, paused, stopped or cut off.
//
// A test binary that uses it must run its tests through Main.
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

// loopback is where a daemon's connections to the platform come from.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Secret is the secret of every fleet.
const Secret = "a-secret-of-a-test-fleet"

// Main runs the tests of a package that starts fleets. The commands tillerd,
// tillerctl and standin are on the PATH of its tests.
func Main(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tillerd":   func() { os.Exit(tillerd.Main()) },
		"tillerctl": func() { os.Exit(tillerctl.Main()) },
		"standin":   func() { os.Exit(cli.Main()) },
	})
}

// T is what a fleet needs of the test or program that starts it. A testing.TB
// is one.
type T interface {
	Helper()
	Cleanup(func())
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Options describe a fleet.
type Options struct {
	// DataCentres maps each data centre to its region.
	DataCentres map[string]string
	// Hosts names the data centre of each entry host.
	Hosts []string
	// Services are the services; each upstream names its own.
	Services []catalogue.Service
	// Upstreams describe the backend servers.
	Upstreams []Upstream
	// Links are entered in the catalogue as they are.
	Links []catalogue.Link
	// Args are more flags for every daemon.
	Args []string
	// Seeds tells each daemon that starts the peer addresses of the hosts
	// that run.
	Seeds bool
}

// Upstream describes one backend server.
type Upstream struct {
	Name       string
	Service    string
	DataCentre string
	Options    backend.Options
	// Services are more services that it runs.
	Services []string
}

// Fleet is a running fleet. It ends with its test.
type Fleet struct {
	t    T
	opts Options
	// upstreams are the entries of the backend servers, by name.
	upstreams map[string]catalogue.Upstream
	Platform  *platform.Server
	// PlatformURL is the platform's base URL.
	PlatformURL string
	Backends    map[string]*backend.Server
	// backendServers are the listeners of the backend servers.
	backendServers map[string]*httptest.Server
	Hosts          []*Host
}

// Service returns a service entry of the given rank with common values.
func Service(name string, rank request.Rank, idempotent bool) catalogue.Service {
	s := catalogue.Service{Meta: meta(catalogue.KindService, name)}
	s.Class = catalogue.Class{Rank: rank, Idempotent: idempotent, Deadline: catalogue.Duration(10 * time.Second)}
	return s
}

// Start starts a fleet and waits until every daemon sees every other and has
// the catalogue in force.
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

// Apply writes an entry to the platform, whatever its version, and returns
// its new version.
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

// PublishHosts tells the platform the hosts as they are, some of them as leaving.
func (f *Fleet) PublishHosts(leaving ...*Host) { f.Platform.SetHosts(f.HostList(leaving...)) }

// HostList returns the hosts as ListHosts lists them.
func (f *Fleet) HostList(leaving ...*Host) []tiller.Host {
	var hosts []tiller.Host
	for _, h := range f.Hosts {
		state := tiller.HostLive
		if slices.Contains(leaving, h) {
			state = tiller.HostLeaving
		}
		hosts = append(hosts, tiller.Host{
			ID: h.ID, DataCentre: h.DataCentre, Region: h.Region, Peer: h.relay.Addr(), Caller: h.CallerAddr, State: state,
		})
	}
	return hosts
}

// Client returns a caller that knows the given hosts, or all hosts.
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

// PeerBytes returns the bytes that a host has exchanged with its peers so
// far, on connections that it opened and that they opened.
func (f *Fleet) PeerBytes(h *Host) int64 {
	var sum int64
	for _, other := range f.Hosts {
		if other != h {
			sum += other.relay.Bytes(h.IP) + h.relay.Bytes(other.IP)
		}
	}
	return sum
}

// SetPath changes what happens on the path from one host to another.
func (f *Fleet) SetPath(from, to *Host, mode relay.Mode) { to.relay.SetMode(from.IP, mode) }

// SetPlatformPath changes what happens on the path from a host to the platform.
func (f *Fleet) SetPlatformPath(h *Host, mode relay.Mode) { h.platform.SetMode(loopback, mode) }

// MeterRegionTraffic has the bytes between hosts of two regions counted from now on,
// by the regions that they leave and reach.
func (f *Fleet) MeterRegionTraffic(count func(from, to string, bytes int)) {
	region := map[netip.Addr]string{}
	for _, h := range f.Hosts {
		region[h.IP] = h.Region
	}
	for _, h := range f.Hosts {
		h.relay.SetMeter(func(source netip.Addr, back bool, bytes int) {
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

// SetHostPaths changes the paths between one host and all others, both ways.
func (f *Fleet) SetHostPaths(h *Host, mode relay.Mode) {
	for _, other := range f.Hosts {
		if other != h {
			f.SetPath(h, other, mode)
			f.SetPath(other, h, mode)
		}
	}
}

// SetRegionPaths changes the paths between the hosts of two regions, both ways.
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

// WaitConverged waits until every running daemon sees all running daemons
// alive, and has the newest catalogue in force.
func (f *Fleet) WaitConverged() {
	f.t.Helper()
	want := f.Platform.CatalogueVersion()
	Eventually(f.t, "fleet converges", func() bool {
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

// SetUpstreamDrain drains an upstream by its entry, or takes it back into use.
func (f *Fleet) SetUpstreamDrain(name string, drain bool) {
	f.t.Helper()
	entry := f.upstreams[name]
	entry.Drain = drain
	f.Apply(&entry)
}

// StopBackend ends a backend server, cutting what it runs.
func (f *Fleet) StopBackend(name string) {
	server := f.backendServers[name]
	_ = server.Listener.Close()
	server.CloseClientConnections()
}

// startHost starts a host's daemon on a loopback address of its own, so that
// its connections can be told from those of other hosts.
func (f *Fleet) startHost(i int, dc string) *Host {
	f.t.Helper()
	ip := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
	h := &Host{ID: fmt.Sprintf("host-%d", i+1), DataCentre: dc, Region: f.opts.DataCentres[dc], IP: ip, t: f.t}
	var err error
	if h.platform, err = relay.New(ip.String(), strings.TrimPrefix(f.PlatformURL, "http://")); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(h.platform.Close)
	f.launch(h)
	return h
}

// AddHost starts a daemon on a new host, which the platform does not list
// until ListHosts.
func (f *Fleet) AddHost(dc string) *Host {
	f.t.Helper()
	h := f.startHost(len(f.Hosts), dc)
	f.Hosts = append(f.Hosts, h)
	return h
}

// Restart starts a new daemon on a host whose daemon has ended.
func (f *Fleet) Restart(h *Host) {
	f.t.Helper()
	f.launch(h)
	f.PublishHosts()
}

// Replace starts a new daemon on a host whose daemon is paused, and returns
// the host as it was.
func (f *Fleet) Replace(h *Host) *Host {
	f.t.Helper()
	old := &Host{
		ID: h.ID, DataCentre: h.DataCentre, Region: h.Region, IP: h.IP, CallerAddr: h.CallerAddr, OperatorAddr: h.OperatorAddr,
		relay: h.relay, platform: h.platform, t: h.t, cmd: h.cmd, log: h.log, exited: h.exited,
	}
	old.callerAddr.Store(h.callerAddr.Load())
	f.t.Cleanup(old.Kill)
	f.Restart(h)
	return old
}

func (f *Fleet) launch(h *Host) {
	f.t.Helper()
	listen := net.JoinHostPort(h.IP.String(), "0")
	relayListener, err := relay.New(h.IP.String(), "")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(relayListener.Close)
	args := append([]string{
		"--host-id", h.ID, "--datacentre", h.DataCentre, "--region", h.Region, "--platform", "http://" + h.platform.Addr().String(),
		"--caller-listen", listen, "--peer-listen", listen, "--operator-listen", listen, "--secret", Secret,
		"--peer-advertise", relayListener.Addr().String(),
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
	h.callerAddr.Store(&addr)
	relayListener.SetTarget(ready["peer"].String())
	h.relay = relayListener
}

func (f *Fleet) seeds(h *Host) []string {
	var args []string
	for _, other := range f.Hosts {
		if f.opts.Seeds && other != h && other.Running() {
			args = append(args, "--peer", other.relay.Addr().String())
		}
	}
	return args
}

// Eventually waits until a condition holds. It fails the test only when the
// condition has not held for far longer than anything in a fleet takes.
func Eventually(t T, what string, holds func() bool) {
	t.Helper()
	const limit, period = time.Minute, 20 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(period) {
		if holds() {
			return
		}
	}
	t.Fatalf("waited %v: %s", limit, what)
}

func meta(kind catalogue.Kind, name string) catalogue.Meta {
	return catalogue.Meta{Schema: catalogue.SchemaVersion, Kind: kind, Name: name, Owner: "tests"}
}
