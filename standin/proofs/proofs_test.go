// Package proofs tests the guarantees of the system under failures, on fleets of
// real daemon processes. Each test is named after the failure that it injects or
// the guarantee that it checks.
package proofs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/fleet"
)

func TestMain(m *testing.M) { fleet.Main(m) }

// requestTimeout is how long a caller waits for an answer. It is far longer
// than any answer of a working fleet takes.
const requestTimeout = 30 * time.Second

// threeHostFleet returns the options of a fleet of three entry hosts in two
// regions, with one service of each rank and an upstream of each service in
// both regions.
func threeHostFleet() fleet.Options {
	opts := fleet.Options{
		DataCentres: map[string]string{"north-1": "north", "south-1": "south"},
		Hosts:       []string{"north-1", "north-1", "south-1"},
		Services: []catalogue.Service{
			fleet.Service("lookups", request.RankLookup, true),
			fleet.Service("payments", request.RankPayment, false),
			fleet.Service("reports", request.RankReport, true),
		},
	}
	for _, service := range opts.Services {
		for _, dc := range []string{"north-1", "south-1"} {
			opts.Upstreams = append(opts.Upstreams, fleet.Upstream{
				Name: service.Name + "-" + dc, Service: service.Name, DataCentre: dc,
				Options: backend.Options{Slots: 4, Work: 2 * time.Millisecond},
			})
		}
	}
	return opts
}

// runRequest sends a request through a caller and returns its result.
func runRequest(t *testing.T, c *caller.Caller, service, body string) caller.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	result, err := c.Run(ctx, service, "", []byte(body), nil)
	if err != nil {
		t.Fatalf("%s %q: %v", service, body, err)
	}
	return result
}

// requireDone fails the test unless the result is done and is the complete
// answer to body.
func requireDone(t *testing.T, result caller.Result, service, body string) {
	t.Helper()
	want := fmt.Sprintf("ran %s for %s\n", body, service)
	if result.Outcome != request.OutcomeDone || string(result.Body) != want {
		t.Fatalf("%s %q: got %s (%s) %q, want done %q", service, body, result.Outcome, result.Reason, result.Body, want)
	}
}

// TestEveryHostServesEveryService checks, without a failure, that each entry host
// forwards requests of each service to a backend server.
func TestEveryHostServesEveryService(t *testing.T) {
	f := fleet.Start(t, threeHostFleet())
	for _, h := range f.Hosts {
		c := f.Client(h)
		for _, service := range []string{"lookups", "payments", "reports"} {
			body := "request-of-" + h.ID
			requireDone(t, runRequest(t, c, service, body), service, body)
		}
	}
}
