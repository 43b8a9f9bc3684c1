package proofs

import (
	"context"
	"net/http"
	"testing"

	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/fleet"
)

// maxPoisonCrashes is the number of backend servers that one request may
// crash in the whole fleet.
const maxPoisonCrashes = 2

// poisonedFleet has six upstreams of the service lookups, each of which
// crashes on a marked request.
func poisonedFleet(t *testing.T) *fleet.Fleet {
	opts := smallFleet()
	for _, name := range []string{"more-1", "more-2", "more-3", "more-4"} {
		u := opts.Upstreams[0]
		u.Name = name
		opts.Upstreams = append(opts.Upstreams, u)
	}
	f := fleet.Start(t, opts)
	for _, b := range f.Backends {
		b.SetFaults(backend.Faults{Poison: true})
	}
	return f
}

func TestPoisonRequestSentAgainThroughEveryHost(t *testing.T) {
	f := poisonedFleet(t)
	poison := http.Header{backend.HeaderPoison: {"yes"}}
	for range 4 {
		for _, h := range f.Hosts {
			ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
			_, err := f.Client(h).Run(ctx, "lookups", "", []byte("poison"), poison)
			cancel()
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	crashes := 0
	for _, b := range f.Backends {
		crashes += b.Stats().Crashes
	}
	if crashes > maxPoisonCrashes {
		t.Errorf("one request crashed %d backend servers, want at most %d", crashes, maxPoisonCrashes)
	}
	result := run(t, f.Client(), "lookups", "poison")
	if result.Outcome != request.OutcomeNotRun || result.Reason != request.ReasonPoison {
		t.Errorf("the request is still taken: %s (%s)", result.Outcome, result.Reason)
	}
	for _, h := range f.Hosts {
		wantDone(t, run(t, f.Client(h), "lookups", "other work"), "lookups", "other work")
	}
}
