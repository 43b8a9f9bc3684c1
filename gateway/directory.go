package gateway

import (
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/entry"
)

// directoryTTL is how long clients may cache a directory answer.
const directoryTTL = 2 * time.Second

// directory holds what is known of the entry hosts of the daemon's data centre.
type directory struct {
	self Member
	load *hostLoad

	mu       sync.Mutex
	selector *entry.Selector
	// addresses maps the host ID of each daemon of the data centre to its client address.
	addresses map[string]string
}

func newDirectory(self Member, load *hostLoad) *directory {
	return &directory{self: self, load: load, selector: entry.NewSelector(entry.Host{ID: self.ID, Capacity: self.Capacity})}
}

// SetMembers sets the daemons of the fleet, which share the fleet-wide limits.
func (g *Gateway) SetMembers(all []Member) {
	g.daemons.Store(int64(len(all)))
	g.directory.setMembers(all)
	g.quotas.setMembers(all, g.self.ID)
}

func (d *directory) setMembers(all []Member) {
	var hosts []entry.Host
	addresses := map[string]string{}
	for _, m := range all {
		if m.Zone == d.self.Zone {
			hosts = append(hosts, entry.Host{ID: m.ID, Capacity: m.Capacity})
			addresses[m.ID] = m.ClientAddress
		}
	}
	addresses[d.self.ID] = d.self.ClientAddress
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.SetHosts(hosts)
	d.addresses = addresses
}

// named returns the client addresses of the large hosts to name, or none.
func (d *directory) named(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, id := range d.selector.Select(now) {
		if address := d.addresses[id]; address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// HostStatuses returns the statuses of the data centre's large hosts that are known to
// be alive, the daemon's own among them, and whether there are large hosts at all.
func (g *Gateway) HostStatuses(now time.Time) (all []entry.Status, tiered bool) {
	g.observeOwnHost(now)
	g.directory.mu.Lock()
	defer g.directory.mu.Unlock()
	return g.directory.selector.Statuses(now), g.directory.selector.Tiered()
}

func (g *Gateway) observeOwnHost(now time.Time) {
	own := entry.Status{ID: g.self.ID, Ready: g.Ready(), LinkUse: g.directory.load.utilisation(), At: now, Stamp: time.Now().UnixNano()}
	g.directory.mu.Lock()
	defer g.directory.mu.Unlock()
	g.directory.selector.Observe(own, now)
}

// ObserveHosts applies the statuses that another daemon of the data centre knows.
func (g *Gateway) ObserveHosts(all []entry.Status) {
	now := time.Now()
	g.directory.mu.Lock()
	defer g.directory.mu.Unlock()
	for _, st := range all {
		if st.ID != g.self.ID {
			g.directory.selector.Observe(st, now)
		}
	}
}

func (g *Gateway) daemonCount() int { return max(1, int(g.daemons.Load())) }

// Resolve returns the addresses for clients to connect to and how long clients
// may cache them: those of the data centre's large hosts if it has such hosts (package
// entry), and otherwise only the daemon's own, the only one whose liveness it is
// certain of. Clients query the directories nearest to them, which distributes them
// over nearby hosts.
func (g *Gateway) Resolve() ([]string, time.Duration) {
	ttl := min(directoryTTL, g.settings.Load().MaxDirectoryTTL)
	if !g.Ready() {
		return nil, ttl
	}
	now := time.Now()
	g.observeOwnHost(now)
	if named := g.directory.named(now); len(named) > 0 {
		g.metrics.root.Add("directory_answers_large", 1)
		return named, ttl
	}
	return []string{g.self.ClientAddress}, ttl
}
