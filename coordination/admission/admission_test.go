package admission

import (
	"context"
	"errors"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/schedule"
	"bilberrytiller.example/tiller/state/request"
)

// A request that waited long for its upstream says nothing of the next one.
func TestSlowAnswerDoesNotKeepOutTheNext(t *testing.T) {
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

func TestFloodOfOneRankLeavesPlacesToOthers(t *testing.T) {
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
			t.Errorf("%v takes more than its share: %v", rank, err)
		}
		other := schedule.Class{Service: "other", Owner: "b", Rank: (rank + 1) % request.RankCount}
		if _, err := c.Admit(t.Context(), other, time.Now().Add(time.Hour)); err != nil {
			t.Errorf("%v beside a flood of %v: %v", other.Rank, rank, err)
		}
	}
}
