// Package upstream decides which backend server a request goes to.
//
// The requests of one object go to the same server, whichever daemon takes
// them, so that the server finds the object warm and all servers are equally
// full. No region's traffic moves with the load. Servers that are cold,
// leaving, evacuated, unreachable, faulty or slow get less or nothing.
//
// The package does no I/O and has no clock of its own.
package upstream

import (
	"math/rand/v2"
	"sync"
	"time"

	"bilberrytiller.example/tiller/state/routing"
)

// Locality is where a daemon stands.
type Locality struct {
	Zone, Region string
}

// Balancer holds the backend servers of all services. It is safe for concurrent
// use.
type Balancer struct {
	place     Locality
	regions   map[string]string
	mu        sync.Mutex
	servers   map[string]*server
	services  map[string]*service
	evacuated map[string]bool
	// failing are the servers that failed any request lately, here or elsewhere.
	failing map[string]*server
	// coldStarts is how long a service's servers are cold after a start.
	coldStarts map[string]time.Duration
	// random returns an even number in [0, 1).
	random func() float64
}

// NewBalancer returns an empty set for a daemon at place. regions gives the region
// of each zone.
func NewBalancer(place Locality, regions map[string]string) *Balancer {
	return &Balancer{
		place:      place,
		regions:    regions,
		servers:    map[string]*server{},
		services:   map[string]*service{},
		evacuated:  map[string]bool{},
		failing:    map[string]*server{},
		coldStarts: map[string]time.Duration{},
		random:     rand.Float64,
	}
}

// Configure takes the cold starts of services.
func (s *Balancer) Configure(services map[string]routing.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.coldStarts)
	for name, svc := range services {
		s.coldStarts[name] = svc.ColdPeriod
	}
}

// Put takes a server's entry. A new incarnation starts without history.
func (s *Balancer) Put(b routing.Backend, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.servers[b.ID]
	if old == nil || old.Incarnation() != b.Incarnation() || old.Service != b.Service {
		if old != nil {
			s.drop(old)
		}
		srv := newServer(b, s.regions[b.Zone])
		srv.cool(now.Add(b.ColdRemaining), now, s.random())
		s.add(srv)
		return
	}
	old.missing = false
	old.Backend.Draining = b.Draining
	old.Backend.Zone, old.region = b.Zone, s.regions[b.Zone]
	if b.Slots > 0 {
		old.Backend.Slots = b.Slots
	}
	old.cool(now.Add(b.ColdRemaining), now, s.random())
}

// MarkMissing records that a server's entry is gone and may come back. The server
// is used only while as many others of its service are missing too.
func (s *Balancer) MarkMissing(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.servers[id]; old != nil {
		old.missing = true
	}
}

// Remove drops a server.
func (s *Balancer) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.servers[id]; old != nil {
		s.drop(old)
	}
}

// SetEvacuated stops or resumes the use of a zone's servers. They may have become
// cold meanwhile.
func (s *Balancer) SetEvacuated(zone string, on bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.evacuated[zone]
	s.evacuated[zone] = on
	if on || !was {
		return
	}
	for _, srv := range s.servers {
		if srv.Zone == zone {
			srv.cool(now.Add(s.coldStarts[srv.Service]), now, s.random())
		}
	}
}

// EvacuatedZones returns the zones that are evacuated.
func (s *Balancer) EvacuatedZones() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var zones []string
	for zone, on := range s.evacuated {
		if on {
			zones = append(zones, zone)
		}
	}
	return zones
}

// ServerIDs returns the names of all servers.
func (s *Balancer) ServerIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.servers))
	for id := range s.servers {
		ids = append(ids, id)
	}
	return ids
}

// Addresses returns the addresses of all servers.
func (s *Balancer) Addresses() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := make(map[string]bool, len(s.servers))
	for _, srv := range s.servers {
		in[srv.Address] = true
	}
	return in
}

func (s *Balancer) add(srv *server) {
	s.servers[srv.ID] = srv
	of := s.services[srv.Service]
	if of == nil {
		of = &service{}
		s.services[srv.Service] = of
	}
	of.servers = append(of.servers, srv)
}

func (s *Balancer) drop(srv *server) {
	delete(s.servers, srv.ID)
	delete(s.failing, srv.ID)
	of := s.services[srv.Service]
	for i, other := range of.servers {
		if other == srv {
			of.servers = append(of.servers[:i:i], of.servers[i+1:]...)
			return
		}
	}
}
