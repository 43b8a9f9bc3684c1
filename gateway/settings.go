package gateway

import (
	"time"

	"bilberrytiller.example/tiller/coordination/budget"
	"bilberrytiller.example/tiller/coordination/poison"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/transport/upstreamhttp"
)

// Settings are what a gateway is started with.
type Settings struct {
	// HostID names the host.
	HostID   string
	Locality upstream.Locality
	// Regions gives the region of each data centre.
	Regions map[string]string
	// ClientListen, ReadyListen, DirectoryListen, PeerListen and
	// MetricsListen are the addresses to listen on.
	ClientListen, ReadyListen, DirectoryListen, PeerListen, MetricsListen string
	// Capacity is what the host can carry, in cores that its link keeps busy.
	Capacity float64
	// StopTimeout is how long a graceful stop may take.
	StopTimeout time.Duration
	// MaxDirectoryTTL is the longest that clients keep an answer of the directory.
	MaxDirectoryTTL time.Duration
	// RetryLimits bounds the repeated sends of the fleet.
	RetryLimits budget.Limits
}

// Headers are the names of the headers that the gateway reads and writes.
type Headers struct {
	upstreamhttp.Names
	// RetryAfter tells a refused client in seconds when to come back.
	RetryAfter string
}

// Member is a daemon as it registered itself.
type Member struct {
	ID          string
	Incarnation string
	Zone        string
	Region      string
	// ClientAddress takes clients' requests, PeerAddress other daemons.
	ClientAddress string
	PeerAddress   string
	// Capacity compares what the hosts can carry.
	Capacity float64
	// Crashes are the crashes of servers that the daemon saw and the requests
	// that they are charged to.
	Crashes []poison.Crash
}
