package link

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberrytiller.example/tiller/state/request"
)

func TestMain(m *testing.M) {
	// These are defaults: m.Run parses the command line later, so flags given
	// there take precedence.
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestUrgentRankFirstWithMinimumForOthers keeps random ranks backlogged with
// messages of random sizes over several windows, and checks that each gets its
// minimum share and only the most urgent one more.
func TestUrgentRankFirstWithMinimumForOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 4000
		largest := rapid.IntRange(1, 5000).Draw(t, "largest")
		size := rapid.IntRange(1, largest)
		backlogged := [request.RankCount]bool{}
		for rank := range backlogged {
			backlogged[rank] = rapid.Bool().Draw(t, "backlogged")
		}
		var scheduler Scheduler
		now := time.Unix(1000, 0)
		sent := [request.RankCount]int{}
		total := 0
		for range steps {
			now = now.Add(time.Millisecond)
			for rank, q := range scheduler.queues {
				if backlogged[rank] && len(q) == 0 {
					scheduler.Enqueue(NewMessage(request.Rank(rank), size.Draw(t, "size")))
				}
			}
			message := scheduler.Next(now)
			if message == nil {
				break
			}
			scheduler.Grant(message, now)
			sent[message.Rank] += message.Bytes
			total += message.Bytes
		}
		checkShares(t, backlogged, sent, total, largest)
	})
}

func checkShares(t *rapid.T, backlogged [request.RankCount]bool, sent [request.RankCount]int, total, largest int) {
	mostUrgent := true
	for rank, isBacklogged := range backlogged {
		tolerance := float64(total)*0.01 + float64(5*largest)
		got := float64(sent[rank])
		switch {
		case !isBacklogged:
			continue
		case got < MinShare*float64(total)-tolerance:
			t.Fatalf("rank %d sent %d of %d bytes, less than its minimum share", rank, sent[rank], total)
		case !mostUrgent && got > MinShare*float64(total)+tolerance:
			t.Fatalf("rank %d sent %d of %d bytes while a more urgent rank was backlogged", rank, sent[rank], total)
		}
		mostUrgent = false
	}
}

func TestRemovedMessageIsNotSent(t *testing.T) {
	var scheduler Scheduler
	message := NewMessage(request.RankLookup, 1)
	scheduler.Enqueue(message)
	if !scheduler.Remove(message) || scheduler.Remove(message) || scheduler.Next(time.Unix(1, 0)) != nil {
		t.Error("removed message is still queued")
	}
}
