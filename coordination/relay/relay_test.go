package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func member(region, zone, id string) Member {
	return Member{ID: id, Zone: zone, Region: region, Address: "10.0.0.1:1"}
}

func region() []Member {
	var all []Member
	for _, zone := range []string{"z1", "z2"} {
		for i := range 4 {
			all = append(all, member("r", zone, fmt.Sprint(zone, "-", i)))
		}
	}
	return append(all, member("other", "z0", "z0-0"))
}

func TestOneDaemonOfARegionWatchesTheStore(t *testing.T) {
	var first []string
	for _, m := range region() {
		if _, ok := NewSelector(m, time.Second).Pick(region(), now); !ok {
			first = append(first, m.ID)
		}
	}
	if !slices.Equal(first, []string{"z1-0", "z0-0"}) {
		t.Errorf("%v watch the store, want one of each region", first)
	}
}

func TestDaemonsAskWithinTheirDataCentre(t *testing.T) {
	for self, want := range map[string]string{"z1-3": "z1-0", "z2-0": "z1-0", "z2-3": "z2-0"} {
		got, ok := NewSelector(member("r", self[:2], self), time.Second).Pick(region(), now)
		if !ok || got.ID != want {
			t.Errorf("%s asks %v, want %s", self, got.ID, want)
		}
	}
}

func TestFailedRelaysArePassedOverForAWhile(t *testing.T) {
	c := NewSelector(member("r", "z1", "z1-3"), time.Second)
	c.MarkFailed("z1-0", now)
	if got, _ := c.Pick(region(), now); got.ID != "z1-1" {
		t.Errorf("asks %s after z1-0 failed", got.ID)
	}
	c.MarkFailed("z1-1", now)
	if got, ok := c.Pick(region(), now); ok {
		t.Errorf("asks %s although both relays failed", got.ID)
	}
	if got, _ := c.Pick(region(), now.Add(2*time.Second)); got.ID != "z1-0" {
		t.Errorf("asks %s although the failure is long past", got.ID)
	}
}

// large returns a region with two data centres of 89 daemons, the size to come,
// whose later daemons can carry more.
func large() []Member {
	var all []Member
	for _, zone := range []string{"z1", "z2"} {
		for i := range 89 {
			m := member("r", zone, fmt.Sprintf("%s-%02d", zone, i))
			m.Capacity = float64(i / 30)
			all = append(all, m)
		}
	}
	return all
}

func TestNoDaemonTellsMany(t *testing.T) {
	asked := map[string]int{}
	for _, m := range large() {
		if relay, ok := NewSelector(m, time.Second).Pick(large(), now); ok {
			asked[relay.ID]++
			if relay.Zone == m.Zone && relay.Capacity < m.Capacity {
				t.Errorf("%s asks %s, which can carry less", m.ID, relay.ID)
			}
		}
	}
	for id, n := range asked {
		if n > fanOut+1 {
			t.Errorf("%d daemons ask %s, want %d of its data centre and one of the other at most", n, id, fanOut)
		}
	}
}

func TestDaemonBelowAFailedRelayAsksTheTop(t *testing.T) {
	for _, self := range large() {
		c := NewSelector(self, time.Second)
		above, ok := c.Pick(large(), now)
		if !ok || above.Zone != self.Zone {
			continue
		}
		c.MarkFailed(above.ID, now)
		if next, ok := c.Pick(large(), now); ok && (next.ID == above.ID || next.ID == self.ID) {
			t.Fatalf("%s asks %s after %s failed", self.ID, next.ID, above.ID)
		}
	}
}

// TestNoRingOfRelays follows each daemon's relays to the store, since a ring
// would keep what is old for good.
func TestNoRingOfRelays(t *testing.T) {
	byID := map[string]Member{}
	for _, m := range large() {
		byID[m.ID] = m
	}
	for id := range byID {
		at, hops := id, 0
		for {
			next, ok := NewSelector(byID[at], time.Second).Pick(large(), now)
			if !ok {
				break
			}
			if hops++; hops > 4 {
				t.Fatalf("%s is %d hops from the store", id, hops)
			}
			at = next.ID
		}
	}
}

func TestEntriesThatAreNotRenewedLapse(t *testing.T) {
	l := NewExpiryTracker(time.Minute)
	l.Observe("a", 1, now)
	l.Observe("b", 2, now)
	l.Observe("c", 3, now)
	l.Remove("c")
	l.Observe("b", 4, now.Add(50*time.Second))
	l.Observe("a", 1, now.Add(50*time.Second))
	if got := l.Expired(now.Add(70 * time.Second)); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%v lapsed, want a", got)
	}
}
