package gateway

import (
	"time"

	"bilberrytiller.example/tiller/coordination/budget"
	"bilberrytiller.example/tiller/coordination/poison"
	"bilberrytiller.example/tiller/coordination/quota"
	"bilberrytiller.example/tiller/coordination/relay"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/transport/upstreamhttp"
)

// Settings configure a gateway.
type Settings struct {
	// HostID is the name of the host.
	HostID   string
	Locality upstream.Locality
	// Regions maps each data centre to its region.
	Regions map[string]string
	// ClientListen, ReadyListen, DirectoryListen, PeerListen and MetricsListen
	// are the addresses to listen on.
	ClientListen, ReadyListen, DirectoryListen, PeerListen, MetricsListen string
	// Capacity is the capacity of the host in cores: the cores that it may use, or
	// those that its network link can keep busy if they are fewer.
	Capacity float64
	// LinkMbps is the bandwidth of the host's network link in Mbit/s, or 0 if unknown.
	LinkMbps float64
	// MemoryBytes is the memory that the process may use, and MaxDescriptors the number of
	// descriptors that it may open. Zero means that the limit is not known.
	MemoryBytes    int64
	MaxDescriptors int
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// MaxDirectoryTTL is the longest time for which clients may cache a directory
	// answer.
	MaxDirectoryTTL time.Duration
	// MaxDenialAge is the age of the configuration up to which a request may be denied
	// because it has no route or an unknown key. Zero means any age.
	MaxDenialAge time.Duration
	// RetryLimits bound the retries of the whole fleet.
	RetryLimits budget.Limits
	// QuotaBounds say how exactly quotas are kept. Without a window, there are none.
	QuotaBounds quota.Bounds
}

// Headers are the names of the headers that the gateway reads and writes.
type Headers struct {
	upstreamhttp.HeaderNames
	// RetryAfter is the header that tells a refused client after how many seconds
	// to retry.
	RetryAfter string
}

// Member is the registered entry of a daemon.
type Member struct {
	ID          string
	Incarnation string
	Zone        string
	Region      string
	// ClientAddress accepts client requests, PeerAddress calls of other daemons.
	ClientAddress string
	PeerAddress   string
	// Capacity is the capacity of the host in cores, as in Settings.
	Capacity float64
	// Crashes are the server crashes that the daemon observed, with the requests
	// they are attributed to.
	Crashes []poison.Crash
	// Left is set if the daemon has left, so that its entry counts as removed.
	Left bool
}

// Relay returns the daemon as a relay and as a parent for quotas.
func (m Member) Relay() relay.Member {
	return relay.Member{ID: m.ID, Zone: m.Zone, Region: m.Region, Address: m.PeerAddress, Capacity: m.Capacity}
}
