package upstream

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxSharedLoads bounds the loads of servers in one message to another daemon.
	maxSharedLoads = 128
	// maxSharedLoadAge is the age above which a load is not passed on. It covers the
	// way up and down the relay tree.
	maxSharedLoadAge = time.Second
	// selectionInterval is how long the loads selected for a message are used for
	// others.
	selectionInterval = 100 * time.Millisecond
)

// SharedLoad is a server's load as one of the region's daemons saw it last.
type SharedLoad struct {
	// Server is the hash of the server's ID.
	Server uint32
	// Requests is the number of requests at the server.
	Requests int
	At       time.Time
}

// learnedLoad is a load that another daemon reported.
type learnedLoad struct {
	total, inflight int
	at              time.Time
	// fromRelay is set if it came from the daemon's relay and not from a daemon
	// that calls this one.
	fromRelay bool
}

func (s *server) sharedID() uint32 { return uint32(s.hash) }

// SharedLoads returns the latest loads of the servers of services whose ranks
// compete, the newest first: those known here and to the daemons that call this
// one, and with all set also those that the relay told. Callers must not modify them.
func (b *Balancer) SharedLoads(all bool, now time.Time) []SharedLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	selected := &b.selectedLoads[0]
	if all {
		selected = &b.selectedLoads[1]
	}
	if now.Sub(selected.at) >= selectionInterval {
		*selected = loadSelection{now, b.selectLoads(all, now)}
	}
	return selected.loads
}

// loadSelection holds the loads selected for messages to other daemons.
type loadSelection struct {
	at    time.Time
	loads []SharedLoad
}

func (b *Balancer) selectLoads(all bool, now time.Time) []SharedLoad {
	var loads []SharedLoad
	for service := range b.competitions {
		if svc := b.services[service]; svc != nil {
			loads = appendLoads(loads, svc.servers, all, now)
		}
	}
	slices.SortFunc(loads, func(a, b SharedLoad) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Server, b.Server)) })
	return loads[:min(maxSharedLoads, len(loads))]
}

func appendLoads(loads []SharedLoad, servers []*server, all bool, now time.Time) []SharedLoad {
	for _, srv := range servers {
		load := SharedLoad{Server: srv.sharedID(), Requests: srv.report.total, At: srv.report.at}
		if srv.learned.at.After(load.At) {
			if srv.learned.fromRelay && !all {
				continue
			}
			load.Requests, load.At = srv.learned.total, srv.learned.at
		}
		if now.Sub(load.At) <= maxSharedLoadAge {
			loads = append(loads, load)
		}
	}
	return loads
}

// ApplySharedLoads records loads that another daemon told, where they are newer
// than those known. fromRelay is set if that daemon is this one's relay.
func (b *Balancer) ApplySharedLoads(loads []SharedLoad, fromRelay bool, now time.Time) {
	if len(loads) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, load := range loads[:min(maxSharedLoads, len(loads))] {
		srv := b.bySharedID[load.Server]
		if srv == nil || b.competitions[srv.Service] == nil || load.At.After(now) || !load.At.After(srv.report.at) || !load.At.After(srv.learned.at) {
			continue
		}
		srv.learned = learnedLoad{load.Requests, srv.inflight, load.At, fromRelay}
		srv.sustained.record(load.Requests, load.At)
	}
}

// latestLoad returns the number of requests that the latest report of any daemon
// tells, adjusted by the change in this daemon's own since, and the report's time.
func (s *server) latestLoad() (requests float64, at time.Time) {
	if s.learned.at.After(s.report.at) {
		return float64(s.learned.total + s.inflight - s.learned.inflight), s.learned.at
	}
	return float64(s.report.total + s.inflight - s.report.inflight), s.report.at
}

// expectedRequests returns the expected number of requests at the server: the
// older its latest report, the less differs it from the sustained load.
func (s *server) expectedRequests(now time.Time) float64 {
	sustained := s.sustained.expected(now)
	reported, at := s.latestLoad()
	if at.IsZero() {
		return max(float64(s.inflight), sustained)
	}
	remaining := math.Exp2(-now.Sub(at).Seconds() / reportHalfLife.Seconds())
	return max(float64(s.inflight), sustained+(reported-sustained)*remaining)
}
