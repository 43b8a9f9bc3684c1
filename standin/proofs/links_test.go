package proofs

import (
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/platform"
	"bilberrytiller.example/standin/relay"
)

// meter records the bytes that cross between regions, by direction.
type meter struct {
	mu      sync.Mutex
	crossed map[string][]crossing
}

type crossing struct {
	at    time.Time
	bytes int
}

func (m *meter) count(from, to string, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crossed[from+">"+to] = append(m.crossed[from+">"+to], crossing{time.Now(), bytes})
}

// most returns the most bytes that crossed in one direction within a time.
func (m *meter) most(direction string, within time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.crossed[direction]
	most, sum, first := 0, 0, 0
	for _, c := range list {
		sum += c.bytes
		for c.at.Sub(list[first].at) >= within {
			sum -= list[first].bytes
			first++
		}
		most = max(most, sum)
	}
	return most
}

// linkFleet has its only upstream in the south and a thin link to the north.
func linkFleet(t *testing.T, capMbit float64) (*fleet.Fleet, *meter) {
	t.Helper()
	opts := drainFleet()
	opts.Services = []catalogue.Service{fleet.Service("lookups", request.RankLookup, true)}
	opts.Upstreams = []fleet.Upstream{{
		Name: "south", Service: "lookups", DataCentre: "south-1", Options: backend.Options{Slots: 64, Work: time.Millisecond},
	}}
	link := catalogue.Link{Between: [2]string{"north", "south"}, CapMbit: capMbit}
	link.Meta = catalogue.Meta{Schema: catalogue.SchemaVersion, Kind: catalogue.KindLink, Name: "north-south", Owner: "tests"}
	opts.Links = []catalogue.Link{link}
	f := fleet.Start(t, opts)
	m := &meter{crossed: map[string][]crossing{}}
	f.MeterRegionTraffic(m.count)
	return f, m
}

// TestLinkStaysUnderItsCapWhileViewsDiffer floods a thin link from two hosts
// that are cut off from each other for a time, with the platform down.
func TestLinkStaysUnderItsCapWhileViewsDiffer(t *testing.T) {
	const capMbit = 4
	const capBytes = capMbit * 1_000_000 / 8
	f, m := linkFleet(t, capMbit)
	body := strings.Repeat("x", 10_000)
	fl := startLimitFloodOf(body, 8, f.Hosts[0], f.Hosts[1])
	fl.more(t, 60)
	f.Platform.SetFaults(platform.Faults{Down: true})
	f.SetPath(f.Hosts[0], f.Hosts[1], relay.Disconnect)
	f.SetPath(f.Hosts[1], f.Hosts[0], relay.Disconnect)
	fl.more(t, 60)
	f.SetPath(f.Hosts[0], f.Hosts[1], relay.Pass)
	f.SetPath(f.Hosts[1], f.Hosts[0], relay.Pass)
	fl.more(t, 60)
	fl.end()
	for _, direction := range []string{"north>south", "south>north"} {
		if most := m.most(direction, time.Second-deliveryJitter); most > capBytes || most == 0 {
			t.Errorf("%s: %d bytes within a second, cap %d", direction, most, capBytes)
		}
	}
	if fl.reasons[request.ReasonLink] == 0 {
		t.Errorf("no request was refused for the link: %v", fl.reasons)
	}
}
