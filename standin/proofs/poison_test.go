package proofs

import (
	"context"
	"net/http"
	"testing"

	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/fleet"
)

// maxPoisonCrashes is the number of backend servers that one request may crash
// in the whole fleet before it is rejected as poison.
const maxPoisonCrashes = 2

// poisonFleet starts a fleet with six upstreams of the service lookups, each of
// which crashes on a request with the header backend.HeaderPoison.
func poisonFleet(t *testing.T) *fleet.Fleet {
	opts := threeHostFleet()
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

// TestPoisonRequestRetriedThroughEveryHost guards against a request that crashes
// one backend server after the other because its caller retries it through
// different entry hosts. The fleet must reject it as poison and go on serving
// other requests.
func TestPoisonRequestRetriedThroughEveryHost(t *testing.T) {
	f := poisonFleet(t)
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
	result := runRequest(t, f.Client(), "lookups", "poison")
	if result.Outcome != request.OutcomeNotRun || result.Reason != request.ReasonPoison {
		t.Errorf("poison request: got %s (%s), want not-run (poison)", result.Outcome, result.Reason)
	}
	for _, h := range f.Hosts {
		requireDone(t, runRequest(t, f.Client(h), "lookups", "other work"), "lookups", "other work")
	}
}
