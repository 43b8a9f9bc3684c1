package proofs

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/backendhttp"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/rawbackend"
)

// setFaults gives every backend server the same faults.
func setFaults(f *fleet.Fleet, faults backend.Faults) {
	for _, b := range f.Backends {
		b.SetFaults(faults)
	}
}

// lookUpOnce sends one idempotent request to one host, once.
func lookUpOnce(f *fleet.Fleet, h *fleet.Host, body, deadline string) caller.Result {
	header := map[string][]string{callerapi.HeaderDeadline: {deadline}}
	return f.Client(h).RunAt(context.Background(), h.CallerAddr.String(), "lookups", "", "", []byte(body), header)
}

func TestWrongAnswersNeverReachCallers(t *testing.T) {
	f := fleet.Start(t, smallFleet())
	for name, faults := range map[string]backend.Faults{"crossed": {WrongRequestID: true}, "truncated": {Truncate: true}} {
		setFaults(f, faults)
		payments := map[*fleet.Host]*fleet.Payment{}
		for _, h := range f.Hosts {
			if got := lookUpOnce(f, h, name, "5000"); got.Outcome != request.OutcomeUnknown {
				t.Errorf("%s look-up: got %s (%s), want unknown", name, got.Outcome, got.Reason)
			}
			payments[h] = f.NewPayment(t, f.Hosts[0], fmt.Sprintf("%s-%s", name, h.ID))
			payments[h].RequireOutcome(h, request.OutcomeUnknown)
		}
		setFaults(f, backend.Faults{})
		for _, h := range f.Hosts {
			payments[h].RequireOutcome(f.Hosts[2], request.OutcomeUnknown)
			payments[h].RequireRuns(1)
			wantDone(t, lookUpOnce(f, h, name, "5000"), "lookups", name)
		}
	}
}

func TestLateAnswersGoToTheirOwnRequests(t *testing.T) {
	f := fleet.Start(t, smallFleet())
	setFaults(f, backend.Faults{ResponseDelayMs: 1500})
	late := f.NewPayment(t, f.Hosts[0], "late")
	late.Deadline = "100"
	late.RequireOutcome(f.Hosts[1], request.OutcomeUnknown)
	if got := lookUpOnce(f, f.Hosts[1], "late", "100"); got.Outcome != request.OutcomeUnknown {
		t.Errorf("late look-up: got %s (%s), want unknown", got.Outcome, got.Reason)
	}
	setFaults(f, backend.Faults{})
	for i := range 20 {
		body := fmt.Sprintf("next-%d", i)
		wantDone(t, lookUpOnce(f, f.Hosts[1], body, "5000"), "lookups", body)
		f.NewPayment(t, f.Hosts[0], body).RequireOutcome(f.Hosts[1], request.OutcomeDone)
	}
	late.Deadline = ""
	late.RequireOutcome(f.Hosts[2], request.OutcomeDone)
	late.RequireRuns(1)
}

func TestDeadlineInTheQueueIsNotRun(t *testing.T) {
	f := fleet.Start(t, slowFleet(1500*time.Millisecond, 1))
	ctx := context.Background()
	first := f.NewPayment(t, f.Hosts[0], "first").StartRun(ctx, f.Hosts[0])
	var queued []*fleet.Payment
	for i := range 6 {
		p := f.NewPayment(t, f.Hosts[0], fmt.Sprintf("queued-%d", i))
		p.Deadline = "300"
		queued = append(queued, p)
	}
	results := make(chan caller.Result, len(queued))
	for i, p := range queued {
		go func() { results <- p.Send(ctx, f.Hosts[i%3]) }()
	}
	notRun := 0
	for range queued {
		if (<-results).Outcome == request.OutcomeNotRun {
			notRun++
		}
	}
	<-first
	ran := 0
	for _, p := range queued {
		ran += p.Runs()
	}
	if notRun == 0 || notRun+ran != len(queued) {
		t.Fatalf("of %d queued payments %d are told not run and %d ran", len(queued), notRun, ran)
	}
}

// rawRequest is a request as a daemon gives it to the backend server.
func rawRequest(key string) *request.Request {
	// The header would let the HTTP library send the request again.
	return &request.Request{
		ID: "id-1", Key: key, Service: "payments", Body: []byte("pay"), Deadline: time.Now().Add(time.Minute),
		Header: http.Header{"Idempotency-Key": {"caller's own"}},
	}
}

const head = "HTTP/1.1 200 OK\r\nTiller-Request-Id: %s\r\n"

func TestAnswersThatAreNotWholeOrNotOwn(t *testing.T) {
	for name, answer := range map[string]string{
		"connection closed": "",
		"no identity":       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"crossed":           "HTTP/1.1 200 OK\r\nTiller-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
		"two identities":    head + "Tiller-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
		"no length":         head + "Connection: close\r\n\r\nok",
		"too large":         head + fmt.Sprintf("Content-Length: %d\r\n\r\n", backendhttp.MaxAnswerBytes+1) + strings.Repeat("x", backendhttp.MaxAnswerBytes+1),
		"broken chunk":      head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
		"shed with 200":     head + "Tiller-Shed: true\r\nContent-Length: 0\r\n\r\n",
		"no HTTP":           "nonsense\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := rawbackend.Start(t, answer)
			client := backendhttp.New(s.Addr, 10)
			defer client.Close()
			for range 2 {
				if got := client.Run(context.Background(), rawRequest("key")); got.Outcome != request.OutcomeUnknown || len(got.Body) != 0 {
					t.Errorf("got %s (%s) %.40q, want unknown", got.Outcome, got.Reason, got.Body)
				}
			}
			runs, conns, cancels := s.Counts()
			if runs != 2 || conns-cancels != 2 {
				t.Errorf("%d requests on %d connections, want 2 on 2", runs, conns-cancels)
			}
		})
	}
}

func TestRequestOnReusedConnectionIsWrittenOnce(t *testing.T) {
	s := rawbackend.Start(t, head+"Content-Length: 0\r\n\r\n")
	client := backendhttp.New(s.Addr, 10)
	if got := client.Run(context.Background(), rawRequest("key")); got.Outcome != request.OutcomeDone {
		t.Fatalf("got %s (%s), want done", got.Outcome, got.Reason)
	}
	s.SetAnswer("")
	if got := client.Run(context.Background(), rawRequest("key")); got.Outcome != request.OutcomeUnknown {
		t.Errorf("got %s (%s), want unknown", got.Outcome, got.Reason)
	}
	if runs, _, _ := s.Counts(); runs != 2 {
		t.Errorf("%d requests were written, want 2", runs)
	}
}

func TestCancelReachesTheBackendServer(t *testing.T) {
	for _, key := range []string{"", "key"} {
		s := rawbackend.Start(t, rawbackend.HoldUntilCancelled)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan request.Answer, 1)
		go func() { done <- backendhttp.New(s.Addr, 10).Run(ctx, rawRequest(key)) }()
		for runs := 0; runs == 0; runs, _, _ = s.Counts() {
			time.Sleep(time.Millisecond)
		}
		cancel()
		if got := <-done; got.Outcome != request.OutcomeUnknown {
			t.Errorf("key %q: got %s (%s), want unknown", key, got.Outcome, got.Reason)
		}
		if _, _, cancels := s.Counts(); cancels == 0 {
			t.Errorf("key %q: no cancellation", key)
		}
	}
}
