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

// trafficMeter records the bytes transferred between regions, by direction, such
// as "north>south".
type trafficMeter struct {
	mu        sync.Mutex
	transfers map[string][]transfer
}

type transfer struct {
	at    time.Time
	bytes int
}

func (m *trafficMeter) record(from, to string, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.transfers[from+">"+to] = append(m.transfers[from+">"+to], transfer{time.Now(), bytes})
}

// maxBytesWithin returns the largest number of bytes transferred in one direction
// within any window of the given length.
func (m *trafficMeter) maxBytesWithin(direction string, within time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	transfers := m.transfers[direction]
	most, sum, first := 0, 0, 0
	for _, t := range transfers {
		sum += t.bytes
		for t.at.Sub(transfers[first].at) >= within {
			sum -= transfers[first].bytes
			first++
		}
		most = max(most, sum)
	}
	return most
}

// linkFleet starts a fleet whose only upstream is in the south, behind a link
// with the given cap. It returns a meter of the traffic between the regions.
func linkFleet(t *testing.T, capMbit float64) (*fleet.Fleet, *trafficMeter) {
	t.Helper()
	opts := shortTTLFleet()
	opts.Services = []catalogue.Service{fleet.Service("lookups", request.RankLookup, true)}
	opts.Upstreams = []fleet.Upstream{{
		Name: "south", Service: "lookups", DataCentre: "south-1", Options: backend.Options{Slots: 64, Work: time.Millisecond},
	}}
	link := catalogue.Link{Between: [2]string{"north", "south"}, CapMbit: capMbit}
	link.Meta = catalogue.Meta{Schema: catalogue.SchemaVersion, Kind: catalogue.KindLink, Name: "north-south", Owner: "tests"}
	opts.Links = []catalogue.Link{link}
	f := fleet.Start(t, opts)
	m := &trafficMeter{transfers: map[string][]transfer{}}
	f.MeterRegionTraffic(m.record)
	return f, m
}

// TestLinkStaysUnderCapDuringPartition guards against hosts that together exceed
// the cap of a link because they cannot coordinate: two hosts in the north flood
// the link while they are disconnected from each other for a time and the
// platform is down.
func TestLinkStaysUnderCapDuringPartition(t *testing.T) {
	const capMbit = 4
	const capBytes = capMbit * 1_000_000 / 8
	f, m := linkFleet(t, capMbit)
	body := strings.Repeat("x", 10_000)
	fl := startLimitFloodOf(body, 8, f.Hosts[0], f.Hosts[1])
	fl.awaitAnswers(t, 60)
	f.Platform.SetFaults(platform.Faults{Down: true})
	f.SetPath(f.Hosts[0], f.Hosts[1], relay.Disconnect)
	f.SetPath(f.Hosts[1], f.Hosts[0], relay.Disconnect)
	fl.awaitAnswers(t, 60)
	f.SetPath(f.Hosts[0], f.Hosts[1], relay.Pass)
	f.SetPath(f.Hosts[1], f.Hosts[0], relay.Pass)
	fl.awaitAnswers(t, 60)
	fl.stopAndWait()
	for _, direction := range []string{"north>south", "south>north"} {
		if most := m.maxBytesWithin(direction, time.Second-deliveryJitter); most > capBytes || most == 0 {
			t.Errorf("%s: %d bytes within a second less deliveryJitter, want 1 to %d", direction, most, capBytes)
		}
	}
	if fl.reasons[request.ReasonLink] == 0 {
		t.Errorf("no request was refused for the cap of the link: %v", fl.reasons)
	}
}
