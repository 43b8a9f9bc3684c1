// Package soak runs gateways as separate processes against an emulated object
// store, injects faults from a seeded random sequence, and checks what clients
// and backend servers observe.
package soak

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bilberrytiller.example/standin/objectstore"
	"bilberrytiller.example/standin/originserver"
	"bilberrytiller.example/standin/relay"
)

// Cluster is a test cluster of an object store, backend servers and gateways on
// the loopback interface.
type Cluster struct {
	Store *objectstore.Store
	Runs  *originserver.Runs

	program      string
	dir          string
	storeAddress string
	servers      []*http.Server

	mu       sync.Mutex
	gateways []*gateway
	origins  map[string]origin
	// version is the latest version of the configuration.
	version int
	// ports holds the ports given to gateways.
	ports map[int]bool
	// machine is nil if the settings state no limits of the machines.
	machine *Machine
	// organisations is the part of the configuration of this name, or nil.
	organisations map[string]any
}

// Machine are the limits of the machine on which a gateway runs.
type Machine struct {
	MemoryMB, MaxFDs int
	// MaxBodyBytes is the limit of request bodies in the configuration.
	MaxBodyBytes int
}

// defaultMaxBodyBytes is the limit of request bodies unless a Machine states another.
const defaultMaxBodyBytes = 65536

// origin is a backend server and its entry in the store.
type origin struct {
	server *originserver.Server
	entry  map[string]any
}

// gateway is a gateway process. ports are the frontend, readiness, directory
// and control listeners, followed by the two internal ports.
type gateway struct {
	name         string
	ports        [6]int
	settingsPath string
	// storePath forwards the gateway's connections to the store.
	storePath *relay.Relay
	cmd       *exec.Cmd
	exited    chan error
}

// NewCluster starts a test cluster with an object store only. program is the path
// of the tillerd binary; settings and logs are written to dir.
func NewCluster(program, dir string) (*Cluster, error) {
	c := &Cluster{Store: objectstore.New(), Runs: originserver.NewRuns(), program: program, dir: dir, origins: map[string]origin{}, ports: map[int]bool{}}
	address, err := c.serve(c.Store)
	c.storeAddress = address
	return c, err
}

func (c *Cluster) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// AddServer starts a backend server of a service and registers it in the store.
func (c *Cluster) AddServer(service string, o originserver.Options) error {
	server := originserver.New(o, c.Runs)
	address, err := c.serve(server)
	if err != nil {
		return err
	}
	entry := map[string]any{
		"service_name": service, "address": address, "zone": "z1", "config_version": "v1", "slots": o.Slots,
		"state": "ready", "cold_left": "0ms", "sequence": 1, "born": time.Now().UnixMilli(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.origins[o.ID] = origin{server, entry}
	return c.Store.Put("servers", o.ID, entry)
}

// SetEndlessRate sets the fraction of the answers of each backend server in whose place
// it sends bytes without end.
func (c *Cluster) SetEndlessRate(rate float64) {
	for _, o := range c.origins {
		o.server.SetEndlessRate(rate)
	}
}

// SetMachine sets the limits of the machines. It must be called before Configure and
// AddGateway.
func (c *Cluster) SetMachine(m Machine) { c.machine = &m }

// SetOrganisation makes all requests need the key of an organisation, which has a quota.
// It must be called before Configure.
func (c *Cluster) SetOrganisation(key string, perSecond, burst float64) {
	c.organisations = map[string]any{"shop": map[string]any{"api_keys": []string{key}, "rate_per_s": perSecond, "burst": burst}}
}

// PID returns the process ID of a gateway.
func (c *Cluster) PID(n int) int { return c.gateways[n].cmd.Process.Pid }

// Exited reports whether the process of a gateway has exited by itself, and with which
// error.
func (c *Cluster) Exited(n int) (exited bool, err error) {
	select {
	case err := <-c.gateways[n].exited:
		c.gateways[n].exited <- err
		return true, err
	default:
		return false, nil
	}
}

// Addresses returns the addresses of a gateway for clients, the readiness check, the
// directory and other gateways.
func (c *Cluster) Addresses(n int) []string {
	var addresses []string
	for _, port := range c.gateways[n].ports[:4] {
		addresses = append(addresses, fmt.Sprint("127.0.0.1:", port))
	}
	return addresses
}

// ErrNoPeakMemory means that the system does not tell the peak memory of a process.
var ErrNoPeakMemory = errors.New("no peak memory of the process")

// PeakMemoryMB returns the peak resident memory of a gateway's process, in MB.
func (c *Cluster) PeakMemoryMB(n int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.gateways[n].cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := bytes.Cut(status, []byte("VmHWM:"))
	kb := 0
	if _, err := fmt.Sscan(string(rest), &kb); !found || err != nil {
		return 0, errors.Join(ErrNoPeakMemory, err)
	}
	return kb >> 10, nil
}

// Origin returns a backend server.
func (c *Cluster) Origin(id string) *originserver.Server { return c.origins[id].server }

// SetRateLimit sets the limit that a backend server names.
func (c *Cluster) SetRateLimit(id string, perSecond float64) {
	c.origins[id].server.SetRateLimit(perSecond)
}

// SetDraining changes the entry of a backend server, which goes on serving.
func (c *Cluster) SetDraining(id string, draining bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.origins[id].entry
	entry["state"] = "ready"
	if draining {
		entry["state"] = "draining"
	}
	return c.Store.Put("servers", id, entry)
}

// RestartServer registers a new incarnation of a backend server, which has the address of
// the one before.
func (c *Cluster) RestartServer(id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.origins[id].entry
	entry["born"] = time.Now().UnixMilli()
	return c.Store.Put("servers", id, entry)
}

// VersionPath returns the path of the route that only the given version of the
// configuration has.
func VersionPath(version int) string { return fmt.Sprintf("/only-%d/", version) }

// Configure writes a version of the configuration to the store, with one route
// for look-ups and one for payments, each to a separate service, and one that only
// this version has.
func (c *Cluster) Configure(version int) error {
	route := func(prefix, routeType, service string) map[string]any {
		return map[string]any{
			"hostname": "field.example", "path_prefix": prefix, "route_type": routeType, "timeout": "2000ms", "target_latency": "300ms",
			"priority": 0, "service_name": service, "max_attempts": 2, "session_affinity": true, "allowed_regions": []string{},
		}
	}
	maxBodyBytes := defaultMaxBodyBytes
	if c.machine != nil {
		maxBodyBytes = c.machine.MaxBodyBytes
	}
	service := map[string]any{"health_path": "/health", "max_conns": 330, "cold_start": "3s", "cold_per_s": 22.0}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
	configuration := map[string]any{
		"config_version": fmt.Sprint("r", version),
		"routes":         map[string]any{"a": route("/look/", "idempotent", "look"), "b": route("/pay/", "non_idempotent", "pay"), fmt.Sprint("c", version): route(VersionPath(version), "idempotent", "look")},
		"services":       map[string]any{"look": service, "pay": service},
		"limits":         map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	}
	if c.organisations != nil {
		configuration["tenants"] = c.organisations
	}
	return c.Store.Put("config", "main", configuration)
}

// AddGateway allocates ports for a gateway, writes its settings file and
// returns its index. Start starts the process.
func (c *Cluster) AddGateway() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.gateways)
	g := &gateway{name: fmt.Sprint("edge-", n+1)}
	for i := range g.ports {
		port, err := c.allocatePort()
		if err != nil {
			return 0, err
		}
		g.ports[i] = port
	}
	storePath, err := relay.New("127.0.0.1", c.storeAddress)
	if err != nil {
		return 0, err
	}
	g.storePath = storePath
	g.settingsPath = filepath.Join(c.dir, g.name+".toml")
	c.gateways = append(c.gateways, g)
	return n, c.writeSettings()
}

const (
	// firstPort and lastPort are below the ports that the system gives to connections,
	// which would take the port of a gateway that is not running.
	firstPort = 18_000
	lastPort  = 32_000
)

// allocatePort returns a free port that no other gateway has been given. The caller
// holds mu.
func (c *Cluster) allocatePort() (int, error) {
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if c.ports[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		c.ports[port] = true
		return port, nil
	}
	return 0, fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}

// maxSeeds is the number of gateways listed as seeds in the settings.
const maxSeeds = 3

// writeSettings rewrites the settings files of all gateways, because the list
// of seeds changes as gateways are added.
func (c *Cluster) writeSettings() error {
	var seeds []string
	for _, g := range c.gateways[:min(maxSeeds, len(c.gateways))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprint("127.0.0.1:", g.ports[3])))
	}
	for _, g := range c.gateways {
		text := fmt.Sprintf(settingsTemplate, g.name, g.ports[4], g.ports[5], strings.Join(seeds, ", "),
			g.ports[0], g.ports[1], g.ports[2], g.ports[3], g.storePath.Addr())
		if c.machine != nil {
			text += fmt.Sprintf(machineTemplate, c.machine.MemoryMB, c.machine.MaxFDs)
		}
		if err := replaceFile(g.settingsPath, text); err != nil {
			return err
		}
	}
	return nil
}

// replaceFile writes a file that a starting gateway may read at the same time.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// settingsTemplate is the template of a gateway's settings file.
const settingsTemplate = `node_name = %q
zone = "z1"
region = "r1"
ip = "127.0.0.1"
internal_ports = [%d, %d]
seeds = [%s]
[zones]
z1 = "r1"
[listen]
frontend = "127.0.0.1:%d"
readiness = "127.0.0.1:%d"
directory = "127.0.0.1:%d"
control = "127.0.0.1:%d"
[bounds]
grace = "6s"
retry_window = "10s"
retry_budget_ratio = 0.2
retry_slack = 58
quota_window = "5s"
quota_overshoot = 0.1
quota_slack = 20
ttl_max = "5s"
[platform_settings]
address = %q
`

const machineTemplate = `[limits]
cpu_share = 1.0
cores = 1
link_mbps = 1000.0
memory_mb = %d
max_fds = %d
`

// Start starts the process of a gateway that is not running.
func (c *Cluster) Start(n int) error {
	g := c.gateways[n]
	log, err := os.OpenFile(filepath.Join(c.dir, g.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	return c.startWithOutput(n, log)
}

// startWithOutput starts the process of a gateway, which writes its log to output.
func (c *Cluster) startWithOutput(n int, output *os.File) error {
	g := c.gateways[n]
	g.cmd = exec.Command(c.program, "gateway")
	if c.machine != nil {
		g.cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, fmt.Sprint(c.machine.MaxFDs), c.program, "gateway")
	}
	g.cmd.Env = append(os.Environ(), "BILBERRYTILLER_NODE_FILE="+g.settingsPath)
	g.cmd.Stdout, g.cmd.Stderr = output, output
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan error, 1)
	go func() { g.exited <- g.cmd.Wait() }()
	return nil
}

// RestartIfExited restarts a gateway whose process has exited on its own, as
// the platform does, and returns the error of the exited process. restarted is
// false if the process is still running.
func (c *Cluster) RestartIfExited(n int) (exitErr error, restarted bool, err error) {
	select {
	case exitErr = <-c.gateways[n].exited:
		return exitErr, true, c.Start(n)
	default:
		return nil, false, nil
	}
}

// Signal sends a signal to the process of a gateway.
func (c *Cluster) Signal(n int, s syscall.Signal) error { return c.gateways[n].cmd.Process.Signal(s) }

// AwaitExit waits for the process of a gateway to exit and returns the error of
// exec.Cmd.Wait.
func (c *Cluster) AwaitExit(n int) error { return <-c.gateways[n].exited }

// ClientURL returns the URL at which a gateway serves clients.
func (c *Cluster) ClientURL(n int) string {
	return fmt.Sprintf("http://127.0.0.1:%d", c.gateways[n].ports[0])
}

// Ready reports whether the readiness check of a gateway succeeds.
func (c *Cluster) Ready(n int) bool {
	resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/v1/ready", c.gateways[n].ports[1]))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close kills the gateways and closes the servers.
func (c *Cluster) Close() {
	for n, g := range c.gateways {
		if g.cmd == nil {
			continue
		}
		_ = c.Signal(n, syscall.SIGCONT)
		_ = c.Signal(n, syscall.SIGKILL)
		<-g.exited
		g.exited <- nil
	}
	for _, g := range c.gateways {
		g.storePath.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}
