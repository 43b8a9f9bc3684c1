package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/objects"
)

var now = time.Unix(1000, 0)

func member(region, zone, id string) Member {
	return Member{ID: id, Zone: zone, Region: region, Address: "10.0.0.1:1"}
}

func testRegion() []Member {
	var all []Member
	for _, zone := range []string{"z1", "z2"} {
		for i := range 4 {
			all = append(all, member("r", zone, fmt.Sprint(zone, "-", i)))
		}
	}
	return append(all, member("other", "z0", "z0-0"))
}

func TestOneDaemonPerRegionWatchesStore(t *testing.T) {
	var watchers []string
	for _, m := range testRegion() {
		if _, ok := NewSelector(m, time.Second).Pick(testRegion(), now); !ok {
			watchers = append(watchers, m.ID)
		}
	}
	if !slices.Equal(watchers, []string{"z1-0", "z0-0"}) {
		t.Errorf("%v watch the store, want one daemon per region", watchers)
	}
}

func TestDaemonsPreferRelaysInOwnDataCentre(t *testing.T) {
	for self, want := range map[string]string{"z1-3": "z1-0", "z2-0": "z1-0", "z2-3": "z2-0"} {
		got, ok := NewSelector(member("r", self[:2], self), time.Second).Pick(testRegion(), now)
		if !ok || got.ID != want {
			t.Errorf("%s uses relay %v, want %s", self, got.ID, want)
		}
	}
}

func TestFailedRelaysAreSkippedUntilRetry(t *testing.T) {
	selector := NewSelector(member("r", "z1", "z1-3"), time.Second)
	selector.MarkFailed("z1-0", now)
	if got, _ := selector.Pick(testRegion(), now); got.ID != "z1-1" {
		t.Errorf("relay is %s after z1-0 failed, want z1-1", got.ID)
	}
	selector.MarkFailed("z1-1", now)
	if got, ok := selector.Pick(testRegion(), now); ok {
		t.Errorf("relay is %s although both relays failed", got.ID)
	}
	if got, _ := selector.Pick(testRegion(), now.Add(2*time.Second)); got.ID != "z1-0" {
		t.Errorf("relay is %s after the retry delay, want z1-0", got.ID)
	}
}

// largeRegion returns a region with two data centres of 89 daemons each, the
// planned size. Daemons with higher IDs have a higher capacity.
func largeRegion() []Member {
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

func TestFanOutIsBounded(t *testing.T) {
	children := map[string]int{}
	for _, m := range largeRegion() {
		if relay, ok := NewSelector(m, time.Second).Pick(largeRegion(), now); ok {
			children[relay.ID]++
			if relay.Zone == m.Zone && relay.Capacity < m.Capacity {
				t.Errorf("%s uses relay %s, which has a lower capacity", m.ID, relay.ID)
			}
		}
	}
	for id, n := range children {
		if n > fanOut+1 {
			t.Errorf("%d daemons use relay %s, want at most %d of its data centre and one of the other", n, id, fanOut)
		}
	}
}

func TestFailedParentIsReplaced(t *testing.T) {
	replaced, alone := 0, 0
	for _, self := range largeRegion() {
		selector := NewSelector(self, time.Second)
		parent, ok := selector.Pick(largeRegion(), now)
		if !ok || parent.Zone != self.Zone {
			continue
		}
		selector.MarkFailed(parent.ID, now)
		next, ok := selector.Pick(largeRegion(), now)
		switch {
		case !ok:
			alone++
		case next.ID == parent.ID || next.ID == self.ID:
			t.Fatalf("%s uses relay %s after %s failed", self.ID, next.ID, parent.ID)
		default:
			replaced++
		}
	}
	// The second daemon of each data centre has none but the first.
	if replaced != 2*87 || alone != 2 {
		t.Errorf("%d failed parents were replaced and %d were not, want %d and 2", replaced, alone, 2*87)
	}
}

// TestRelaysFormNoCycle follows each daemon's relays to the store. Daemons in a
// cycle would never see new content.
func TestRelaysFormNoCycle(t *testing.T) {
	byID := map[string]Member{}
	for _, m := range largeRegion() {
		byID[m.ID] = m
	}
	for id := range byID {
		current, hops := id, 0
		for {
			next, ok := NewSelector(byID[current], time.Second).Pick(largeRegion(), now)
			if !ok {
				break
			}
			if hops++; hops > 4 {
				t.Fatalf("%s is %d hops from the store", id, hops)
			}
			current = next.ID
		}
	}
}

func TestEntriesWithoutRenewalExpire(t *testing.T) {
	tracker := NewExpiryTracker(time.Minute)
	tracker.Observe("a", objects.Position{Revision: 1}, now)
	tracker.Observe("b", objects.Position{Revision: 2}, now)
	tracker.Observe("c", objects.Position{Revision: 3}, now)
	tracker.Remove("c")
	tracker.Observe("b", objects.Position{Revision: 4}, now.Add(50*time.Second))
	tracker.Observe("a", objects.Position{Revision: 1}, now.Add(50*time.Second))
	if got := tracker.Expired(now.Add(70 * time.Second)); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%v expired, want [a]", got)
	}
}

// TestNoEntryExpiresAfterSuspension guards against entries that are deleted right after
// an outage in which their renewals were missed, and against ones that then stay.
func TestNoEntryExpiresAfterSuspension(t *testing.T) {
	tracker := NewExpiryTracker(time.Minute)
	tracker.Observe("a", objects.Position{Revision: 1}, now)
	tracker.Suspend(now.Add(time.Hour))
	if got := tracker.Expired(now.Add(time.Hour + time.Minute)); len(got) > 0 {
		t.Errorf("%v expired a minute after the suspension", got)
	}
	if got := tracker.Expired(now.Add(time.Hour + 70*time.Second)); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%v expired 70 s after the suspension, want [a]", got)
	}
}

// TestNewEraCountsAsRenewal guards against a daemon whose entry is deleted since the
// store, restored from an older copy, lost its renewals.
func TestNewEraCountsAsRenewal(t *testing.T) {
	tracker := NewExpiryTracker(time.Minute)
	tracker.Observe("a", objects.Position{Revision: 4}, now)
	tracker.Observe("a", objects.Position{Era: 1, Revision: 4}, now.Add(50*time.Second))
	if got := tracker.Expired(now.Add(70 * time.Second)); len(got) > 0 {
		t.Errorf("%v expired 20 s into the new era", got)
	}
}

// TestNeighboursAreAllOthersInTurn guards against a daemon that is turned away by the store
// and always asks the same neighbour, or itself.
func TestNeighboursAreAllOthersInTurn(t *testing.T) {
	selector := NewSelector(member("r", "z2", "z2-0"), time.Second)
	all := testRegion()
	asked := map[string]bool{}
	for attempt := range len(all) - 1 {
		m, ok := selector.Neighbour(all, attempt)
		if !ok || m.ID == "z2-0" || asked[m.ID] {
			t.Fatalf("attempt %d: got %v, %t", attempt, m, ok)
		}
		if asked[m.ID] = true; attempt < 3 != (m.Zone == "z2") || attempt < 7 != (m.Region == "r") {
			t.Errorf("attempt %d asks %s, want those of the data centre first, then those of the region", attempt, m.ID)
		}
	}
	if m, ok := selector.Neighbour([]Member{member("r", "z2", "z2-0")}, 3); ok {
		t.Errorf("a daemon alone asks %v", m)
	}
}
