// Package upstream chooses the backend server for each request.
//
// All daemons of a region send the requests for one object to the same server, so
// that the server finds the object warm and the load is spread evenly over all
// servers. Where the round trip to other regions is a large part of the latency
// objective, a part of the objects is served in the daemons' own region.
// Load does not move traffic from one region to another. Servers that are cold,
// draining, evacuated, unreachable, failing or slow get less traffic or none.
//
// The package does no I/O and takes the current time from its callers.
package upstream

import (
	"math/rand/v2"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/overload"
	"bilberrytiller.example/tiller/state/routing"
)

// Locality is the location of a daemon.
type Locality struct {
	Zone, Region string
}

// Balancer keeps the state of the backend servers of all services and chooses
// among them. It is safe for concurrent use.
type Balancer struct {
	locality  Locality
	regions   map[string]string
	mu        sync.Mutex
	servers   map[string]*server
	services  map[string]*service
	evacuated map[string]bool
	// roundTrips holds the shortest round trip to a server of each region.
	roundTrips map[string]time.Duration
	// recentlyFailed holds the servers that recently failed a request of this
	// daemon or of another one.
	recentlyFailed map[string]*server
	// announcements are those of the servers whose entries are gone.
	announcements announcements
	// coldPeriods is how long the servers of each service are cold after a
	// start.
	coldPeriods map[string]time.Duration
	// competitions holds the state of the services whose ranks compete, and
	// nearbyLoads the load of their servers by region.
	competitions map[string]*competition
	nearbyLoads  map[loadKey]*nearbyLoad
	// bySharedID holds the servers by the ID that messages use. selectedLoads holds
	// the loads for calls to the relay and for replies to other daemons.
	bySharedID    map[uint32]*server
	selectedLoads [2]loadSelection
	// queue holds the requests that wait for room.
	queue overload.Queue
	// random returns a uniformly distributed number in [0, 1).
	random func() float64
}

// NewBalancer returns a balancer without servers for a daemon at the given
// locality. regions maps each zone to its region.
func NewBalancer(locality Locality, regions map[string]string) *Balancer {
	return &Balancer{
		locality:       locality,
		regions:        regions,
		servers:        map[string]*server{},
		services:       map[string]*service{},
		evacuated:      map[string]bool{},
		roundTrips:     map[string]time.Duration{},
		recentlyFailed: map[string]*server{},
		coldPeriods:    map[string]time.Duration{},
		bySharedID:     map[uint32]*server{},
		nearbyLoads:    map[loadKey]*nearbyLoad{},
		queue:          overload.Queue{Capacity: maxWaiters},
		random:         rand.Float64,
	}
}

// Configure sets the cold period of each service.
func (b *Balancer) Configure(services map[string]routing.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.coldPeriods)
	for name, svc := range services {
		b.coldPeriods[name] = svc.ColdPeriod
	}
}

// ConfigureRanks sets which ranks compete for each service.
func (b *Balancer) ConfigureRanks(c *routing.Configuration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configureRanks(c)
}

// Put adds or updates a server from its entry. A new incarnation starts without
// history.
func (b *Balancer) Put(entry routing.Backend, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.servers[entry.ID]
	if old == nil || old.Incarnation() != entry.Incarnation() || old.Service != entry.Service {
		if old != nil {
			b.announcements.keep(old, now)
			b.dropServer(old)
		}
		srv := newServer(entry, b.regions[entry.Zone])
		b.announcements.restore(srv)
		srv.availability.SetDraining(entry.Draining)
		srv.markCold(now.Add(entry.ColdRemaining), now, b.random())
		b.addServer(srv)
		return
	}
	old.missing = false
	old.Backend.Draining = entry.Draining
	old.availability.SetDraining(entry.Draining)
	if entry.Draining || b.evacuated[entry.Zone] {
		b.queue.WakeAll(old.ID)
	}
	old.Backend.Zone, old.region = entry.Zone, b.regions[entry.Zone]
	if entry.Slots > 0 {
		old.Backend.Slots = entry.Slots
	}
	old.markCold(now.Add(entry.ColdRemaining), now, b.random())
}

// MarkMissing records that a server's entry is gone but may come back. Such a
// server is used only while the entries of more than half of its service's
// servers are missing.
func (b *Balancer) MarkMissing(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.servers[id]; old != nil {
		old.missing = true
		b.queue.WakeAll(id)
	}
}

// Remove forgets a server and its history, except for what its incarnation has announced
// about itself.
func (b *Balancer) Remove(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.servers[id]; old != nil {
		b.announcements.keep(old, now)
		b.dropServer(old)
	}
}

// SetEvacuated starts or ends the evacuation of a zone, whose servers are not
// used meanwhile. After an evacuation they are treated as cold, since they may
// have become cold in the meantime.
func (b *Balancer) SetEvacuated(zone string, on bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.evacuated[zone]
	b.evacuated[zone] = on
	if on == was {
		return
	}
	for _, srv := range b.servers {
		switch {
		case srv.Zone != zone:
		case on:
			b.queue.WakeAll(srv.ID)
		default:
			srv.markCold(now.Add(b.coldPeriods[srv.Service]), now, b.random())
		}
	}
}

// EvacuatedZones returns the zones under evacuation.
func (b *Balancer) EvacuatedZones() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var zones []string
	for zone, on := range b.evacuated {
		if on {
			zones = append(zones, zone)
		}
	}
	return zones
}

// ServerIDs returns the IDs of all servers.
func (b *Balancer) ServerIDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := make([]string, 0, len(b.servers))
	for id := range b.servers {
		ids = append(ids, id)
	}
	return ids
}

// Addresses returns the set of the addresses of all servers.
func (b *Balancer) Addresses() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	addresses := make(map[string]bool, len(b.servers))
	for _, srv := range b.servers {
		addresses[srv.Address] = true
	}
	return addresses
}

func (b *Balancer) addServer(srv *server) {
	b.servers[srv.ID] = srv
	b.bySharedID[srv.sharedID()] = srv
	svc := b.services[srv.Service]
	if svc == nil {
		svc = &service{}
		b.services[srv.Service] = svc
	}
	svc.servers = append(svc.servers, srv)
}

func (b *Balancer) dropServer(srv *server) {
	b.queue.WakeAll(srv.ID)
	delete(b.servers, srv.ID)
	delete(b.bySharedID, srv.sharedID())
	delete(b.recentlyFailed, srv.ID)
	svc := b.services[srv.Service]
	for i, other := range svc.servers {
		if other == srv {
			svc.servers = append(svc.servers[:i:i], svc.servers[i+1:]...)
			return
		}
	}
}
