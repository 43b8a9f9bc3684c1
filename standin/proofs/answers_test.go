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

// setBackendFaults sets the faults of every backend server.
func setBackendFaults(f *fleet.Fleet, faults backend.Faults) {
	for _, b := range f.Backends {
		b.SetFaults(faults)
	}
}

// sendLookup sends an idempotent request to a host once, with a deadline in
// milliseconds.
func sendLookup(f *fleet.Fleet, h *fleet.Host, body, deadline string) caller.Result {
	header := map[string][]string{callerapi.HeaderDeadline: {deadline}}
	return f.Client(h).RunAt(context.Background(), h.CallerAddr.String(), "lookups", "", "", []byte(body), header)
}

// TestInvalidAnswersNeverReachCallers guards against callers that receive the
// answer to another request or half an answer. The outcome must be unknown. After
// the backend servers have recovered, a payment must keep that outcome and not run
// again, and a look-up must be answered.
func TestInvalidAnswersNeverReachCallers(t *testing.T) {
	f := fleet.Start(t, threeHostFleet())
	for name, faults := range map[string]backend.Faults{"wrong-id": {WrongRequestID: true}, "truncated": {Truncate: true}} {
		setBackendFaults(f, faults)
		payments := map[*fleet.Host]*fleet.Payment{}
		for _, h := range f.Hosts {
			if got := sendLookup(f, h, name, "5000"); got.Outcome != request.OutcomeUnknown {
				t.Errorf("%s look-up: got %s (%s), want unknown", name, got.Outcome, got.Reason)
			}
			payments[h] = f.NewPayment(t, f.Hosts[0], fmt.Sprintf("%s-%s", name, h.ID))
			payments[h].RequireOutcome(h, request.OutcomeUnknown)
		}
		setBackendFaults(f, backend.Faults{})
		for _, h := range f.Hosts {
			payments[h].RequireOutcome(f.Hosts[2], request.OutcomeUnknown)
			payments[h].RequireRuns(1)
			requireDone(t, sendLookup(f, h, name, "5000"), "lookups", name)
		}
	}
}

// TestLateAnswersAreNotGivenToOtherRequests guards against an answer that arrives
// after its request has timed out and is taken for the answer to a later request.
// A late answer to a payment must be kept for its key.
func TestLateAnswersAreNotGivenToOtherRequests(t *testing.T) {
	f := fleet.Start(t, threeHostFleet())
	setBackendFaults(f, backend.Faults{ResponseDelayMs: 1500})
	late := f.NewPayment(t, f.Hosts[0], "late")
	late.Deadline = "100"
	late.RequireOutcome(f.Hosts[1], request.OutcomeUnknown)
	if got := sendLookup(f, f.Hosts[1], "late", "100"); got.Outcome != request.OutcomeUnknown {
		t.Errorf("late look-up: got %s (%s), want unknown", got.Outcome, got.Reason)
	}
	setBackendFaults(f, backend.Faults{})
	for i := range 20 {
		body := fmt.Sprintf("next-%d", i)
		requireDone(t, sendLookup(f, f.Hosts[1], body, "5000"), "lookups", body)
		f.NewPayment(t, f.Hosts[0], body).RequireOutcome(f.Hosts[1], request.OutcomeDone)
	}
	late.Deadline = ""
	late.RequireOutcome(f.Hosts[2], request.OutcomeDone)
	late.RequireRuns(1)
}

// TestRequestExpiredInQueueIsNotRun guards against a payment that runs although
// its caller was told that it did not run, because its deadline passed in the
// queue.
func TestRequestExpiredInQueueIsNotRun(t *testing.T) {
	f := fleet.Start(t, slowPaymentFleet(1500*time.Millisecond, 1))
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
		t.Fatalf("of %d queued payments %d were reported as not run and %d ran", len(queued), notRun, ran)
	}
}

// rawRequest returns a payment as a daemon passes it to the HTTP client for
// backend servers.
func rawRequest(key string) *request.Request {
	// With an Idempotency-Key header, net/http would resend the request after a
	// connection error.
	return &request.Request{
		ID: "id-1", Key: key, Service: "payments", Body: []byte("pay"), Deadline: time.Now().Add(time.Minute),
		Header: http.Header{"Idempotency-Key": {"caller's own"}},
	}
}

// responseHead is the start of a valid response. %s stands for the ID of the
// request.
const responseHead = "HTTP/1.1 200 OK\r\nTiller-Request-Id: %s\r\n"

// TestInvalidAnswersHaveUnknownOutcome guards against a malformed, incomplete or
// mismatched HTTP response that is passed on, that makes the client send the
// request again, or whose connection is reused.
func TestInvalidAnswersHaveUnknownOutcome(t *testing.T) {
	for name, answer := range map[string]string{
		"connection closed": "",
		"no request ID":     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"wrong request ID":  "HTTP/1.1 200 OK\r\nTiller-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
		"two request IDs":   responseHead + "Tiller-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
		"no content length": responseHead + "Connection: close\r\n\r\nok",
		"too large":         responseHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", backendhttp.MaxAnswerBytes+1) + strings.Repeat("x", backendhttp.MaxAnswerBytes+1),
		"broken chunk":      responseHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
		"shed with 200":     responseHead + "Tiller-Shed: true\r\nContent-Length: 0\r\n\r\n",
		"not HTTP":          "nonsense\r\n\r\n",
		"status 000":        strings.Replace(responseHead, "200", "000", 1) + "Content-Length: 0\r\n\r\n",
		"status 999":        strings.Replace(responseHead, "200", "999", 1) + "Content-Length: 0\r\n\r\n",
		"HTTP/2.0":          strings.Replace(responseHead, "HTTP/1.1", "HTTP/2.0", 1) + "Content-Length: 0\r\n\r\n",
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
				t.Errorf("%d requests were written on %d connections, want 2 on 2", runs, conns-cancels)
			}
		})
	}
}

// TestRequestOnReusedConnectionIsNotResent guards against an HTTP client that sends
// a request again when a reused connection is closed without an answer: the first
// copy may have run.
func TestRequestOnReusedConnectionIsNotResent(t *testing.T) {
	s := rawbackend.Start(t, responseHead+"Content-Length: 0\r\n\r\n")
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

// TestCancellationReachesBackendServer guards against a backend server that goes on
// with a request because nothing tells it that the caller has cancelled it.
func TestCancellationReachesBackendServer(t *testing.T) {
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
			t.Errorf("key %q: the backend server received no cancellation", key)
		}
	}
}
