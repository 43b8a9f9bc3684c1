// Package routing holds the operator's configuration of routes and services
// and matches requests to routes.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Version orders configurations. Later versions are greater; zero means none.
type Version uint64

// Configuration is one version of the operator's routes, services and limits.
type Configuration struct {
	Version  Version
	Services map[string]Service
	Limits   ClientLimits

	byHost map[string][]Route

	organisations map[string]*Organisation
	byKey         map[keyDigest]*Organisation
}

// Route defines how requests below a path of a host are served.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once. Others run at most once for
	// each attempt of a client.
	Idempotent bool
	// Timeout limits how long a client waits for the final answer. Zero means
	// that the route sets no limit.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer has its full value.
	LatencyObjective time.Duration
	// MaxAttempts is the maximum number of times that one attempt of a client is
	// sent to a backend server. Failed connection attempts do not count.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the most urgent.
	Priority     int
	TrafficSplit []WeightedService
	// SessionAffinity sends requests with the same affinity key to the same
	// backend server where possible.
	SessionAffinity bool
	// Regions lists the regions that may serve the route. If it is empty, all
	// may.
	Regions []string
	// Public routes accept requests without the key of an organisation.
	Public bool
}

// WeightedService is a service with its weight in a route's traffic split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one backend server accepts from all
	// daemons together.
	MaxConnections int
	// ColdPeriod is how long a backend server stays cold after it starts.
	ColdPeriod time.Duration
	// ColdRate is the number of requests per second that a cold backend server
	// handles.
	ColdRate float64
}

// ClientLimits defines what a client may send and how long it may take. Zero
// means that the gateway's default applies.
type ClientLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New returns a configuration with the given routes, services and limits.
func New(version Version, routes []Route, services map[string]Service, limits ClientLimits) *Configuration {
	c := &Configuration{Version: version, Services: services, Limits: limits, byHost: map[string][]Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, hostRoutes := range c.byHost {
		slices.SortFunc(hostRoutes, func(a, b Route) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return c
}

// Match returns the route of the host with the longest matching path prefix.
// Host names are compared without regard to case.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	routes := c.byHost[strings.ToLower(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// PickService returns the service for a request in proportion to the weights.
// The draw is a uniformly distributed random number in [0, 1). The route must
// have at least one service. One without weight gets requests only if none has
// any.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	offset, picked := draw*total, r.TrafficSplit[0].Service
	for _, s := range r.TrafficSplit {
		if s.Weight <= 0 {
			continue
		}
		// Rounding may leave an offset beyond the last weight.
		picked = s.Service
		if offset < s.Weight {
			break
		}
		offset -= s.Weight
	}
	return picked
}

// AllowsRegion reports whether a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}
