package feed

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRootTurnedAwayFollowsNeighbours guards against daemons at the top of the tree that the
// store turns away, and that keep an old copy while those below them read the store.
func TestRootTurnedAwayFollowsNeighbours(t *testing.T) {
	for name, turnedAway := range map[string][]string{"root": {"d0"}, "top of a data centre": {"d0", "d1", "d2"}, "data centre": {"d0", "d1", "d2", "d3"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				fleet := startFleet(t, s, "z1", "z1", "z1", "z1", "z2", "z2")
				defer fleet.stop()
				time.Sleep(5 * time.Second)
				s.mu.Lock()
				for _, id := range turnedAway {
					fleet.clients[id].partitioned = true
				}
				s.mu.Unlock()
				time.Sleep(5 * time.Second)
				for _, change := range []string{"a", "b", "c"} {
					s.put(change)
					time.Sleep(2 * time.Second)
					if lagging := fleet.lagging(change); len(lagging) > 0 {
						t.Errorf("%v lack a change 2 s after it was made", lagging)
					}
				}
			})
		})
	}
}
