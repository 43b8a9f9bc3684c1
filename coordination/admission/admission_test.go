package admission

import (
	"context"
	"errors"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/schedule"
	"bilberrytiller.example/tiller/state/request"
)

// TestSlowRequestDoesNotBlockNext guards against estimating the duration of a
// request from earlier ones. An earlier request may have waited long for its
// upstream, and the next would then be refused as too late although it is not.
func TestSlowRequestDoesNotBlockNext(t *testing.T) {
	c := New()
	class := schedule.Class{Service: "lookups", Owner: "a", Rank: request.RankLookup}
	release, err := c.Admit(t.Context(), class, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	release()
	if _, err := c.Admit(t.Context(), class, time.Now().Add(10*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
}

func TestFloodOfOneRankLeavesSlotsToOthers(t *testing.T) {
	for rank := range request.RankCount {
		c := New()
		flood := schedule.Class{Service: "flood", Owner: "a", Rank: rank}
		for range maxInFlight / 2 {
			if _, err := c.Admit(t.Context(), flood, time.Now().Add(time.Hour)); err != nil {
				t.Fatal(err)
			}
		}
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := c.Admit(ended, flood, time.Now().Add(time.Hour)); !errors.Is(err, context.Canceled) {
			t.Errorf("rank %v exceeds its share of the slots: %v", rank, err)
		}
		other := schedule.Class{Service: "other", Owner: "b", Rank: (rank + 1) % request.RankCount}
		if _, err := c.Admit(t.Context(), other, time.Now().Add(time.Hour)); err != nil {
			t.Errorf("rank %v was refused during a flood of rank %v: %v", other.Rank, rank, err)
		}
	}
}
