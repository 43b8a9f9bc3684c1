// Package routing holds the operator's configuration of routes and services
// and finds the route of a request.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Version orders configurations. Later ones are greater; zero is none.
type Version uint64

// Configuration is one version of the operator's routes, services and limits.
type Configuration struct {
	Version  Version
	Services map[string]Service
	Limits   ClientLimits

	byHost map[string][]Route
}

// Route says how requests below a path of a host are served.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once. Others run at most once for
	// each attempt of a client.
	Idempotent bool
	// Timeout bounds how long a client waits for the final answer. Zero is
	// no bound.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer earns its full credit.
	LatencyObjective time.Duration
	// MaxAttempts is the most upstreams that one attempt of a client reaches.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the most urgent.
	Priority     int
	TrafficSplit []WeightedService
	// SessionAffinity says that requests with the same affinity key belong to the
	// same upstream where possible.
	SessionAffinity bool
	// Regions are the only regions that may serve the route, if any is named.
	Regions []string
}

// WeightedService is the part of a route's requests that a service gets.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one upstream accepts from all daemons together.
	MaxConnections int
	// ColdPeriod is how long an upstream is cold after its start.
	ColdPeriod time.Duration
	// ColdRate is the requests per second that a cold upstream takes.
	ColdRate float64
}

// ClientLimits bound what a client may send and how long it may take.
type ClientLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New returns a configuration of the given routes.
func New(version Version, routes []Route, services map[string]Service, limits ClientLimits) *Configuration {
	c := &Configuration{Version: version, Services: services, Limits: limits, byHost: map[string][]Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, of := range c.byHost {
		slices.SortFunc(of, func(a, b Route) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return c
}

// Match returns the route of a host with the longest prefix of a path.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	of := c.byHost[strings.ToLower(host)]
	for i := range of {
		if strings.HasPrefix(path, of[i].PathPrefix) {
			return &of[i], true
		}
	}
	return nil, false
}

// PickService returns the service for a request, given a number drawn evenly from
// [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	at := draw * total
	for _, s := range r.TrafficSplit {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// AllowsRegion reports whether the route may be served in a region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}
