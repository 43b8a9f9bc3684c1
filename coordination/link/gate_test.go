package link

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberrytiller.example/tiller/state/request"
)

// TestMain fixes the seed, so that a run can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "4")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestUrgentFirstWithAMinimumForOthers keeps ranks waiting with messages of
// random sizes over several windows.
func TestUrgentFirstWithAMinimumForOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 4000
		largest := rapid.IntRange(1, 5000).Draw(t, "largest")
		size := rapid.IntRange(1, largest)
		waits := [request.RankCount]bool{}
		for rank := range waits {
			waits[rank] = rapid.Bool().Draw(t, "waits")
		}
		var g Scheduler
		now := time.Unix(1000, 0)
		crossed := [request.RankCount]int{}
		total := 0
		for range steps {
			now = now.Add(time.Millisecond)
			for rank, q := range g.queues {
				if waits[rank] && len(q) == 0 {
					g.Enqueue(NewMessage(request.Rank(rank), size.Draw(t, "size")))
				}
			}
			w := g.Next(now)
			if w == nil {
				break
			}
			g.Grant(w, now)
			crossed[w.Rank] += w.Bytes
			total += w.Bytes
		}
		checkShares(t, waits, crossed, total, largest)
	})
}

func checkShares(t *rapid.T, waits [request.RankCount]bool, crossed [request.RankCount]int, total, largest int) {
	first := true
	for rank, waiting := range waits {
		slack := float64(total)*0.01 + float64(5*largest)
		got := float64(crossed[rank])
		switch {
		case !waiting:
			continue
		case got < MinShare*float64(total)-slack:
			t.Fatalf("rank %d got %d of %d bytes", rank, crossed[rank], total)
		case !first && got > MinShare*float64(total)+slack:
			t.Fatalf("rank %d got %d of %d bytes while a more urgent one waited", rank, crossed[rank], total)
		}
		first = false
	}
}

func TestWithdrawnMessageDoesNotCross(t *testing.T) {
	var g Scheduler
	w := NewMessage(request.RankLookup, 1)
	g.Enqueue(w)
	if !g.Remove(w) || g.Remove(w) || g.Next(time.Unix(1, 0)) != nil {
		t.Error("a withdrawn message still waits")
	}
}
