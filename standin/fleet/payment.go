package fleet

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/state/request"

	"bilberrytiller.example/standin/caller"
)

// paymentService is the service to which payments are sent.
const paymentService = "payments"

// Payment is a request with a fixed key. A test can send it to any host and
// any number of times.
type Payment struct {
	t   testing.TB
	f   *Fleet
	Key string
	// Body is the request body, the same for each send.
	Body string
	// Deadline is in milliseconds; an empty string selects the deadline of the
	// service.
	Deadline string
}

// NewPayment returns a payment whose key is owned by the given host.
func (f *Fleet) NewPayment(t testing.TB, owner *Host, body string) *Payment {
	t.Helper()
	p, ownerID, err := f.LookUpPayment(t, owner, body)
	if err != nil {
		t.Fatal(err)
	}
	if ownerID != owner.ID {
		t.Fatalf("owner of the key is %s, want %s", ownerID, owner.ID)
	}
	return p
}

// LookUpPayment returns a payment with a key issued by the given host, and the
// ID of the host that owns the key.
func (f *Fleet) LookUpPayment(t testing.TB, at *Host, body string) (p *Payment, owner string, err error) {
	lookup, err := f.Client(at).Lookup(context.Background(), paymentService)
	if err != nil {
		return nil, "", err
	}
	if len(lookup.Hosts) == 0 {
		return nil, "", caller.ErrNoEntryHost
	}
	return &Payment{t: t, f: f, Key: lookup.Key, Body: body}, lookup.Hosts[0].ID, nil
}

// Send sends the payment once, to one entry host.
func (p *Payment) Send(ctx context.Context, h *Host) caller.Result {
	header := http.Header{}
	if p.Deadline != "" {
		header.Set(callerapi.HeaderDeadline, p.Deadline)
	}
	return p.f.Client(h).RunAt(ctx, h.CallerAddr.String(), paymentService, "", p.Key, []byte(p.Body), header)
}

// IsCompleteAnswer reports whether a result is the complete answer to the
// payment.
func (p *Payment) IsCompleteAnswer(r caller.Result) bool {
	return r.Outcome == request.OutcomeDone && string(r.Body) == fmt.Sprintf("ran %s for %s\n", p.Body, paymentService)
}

// RequireOutcome sends the payment and fails the test unless it has the given
// outcome and, if that is done, the complete answer.
func (p *Payment) RequireOutcome(h *Host, outcome request.Outcome) {
	p.t.Helper()
	result := p.Send(context.Background(), h)
	if result.Outcome != outcome || (outcome == request.OutcomeDone && !p.IsCompleteAnswer(result)) {
		p.t.Fatalf("payment %q at %s: got outcome %s (%s), body %q, want %s", p.Body, h.ID, result.Outcome, result.Reason, result.Body, outcome)
	}
}

// RetryUntilDone sends the payment repeatedly until it is done.
func (p *Payment) RetryUntilDone(h *Host) {
	p.t.Helper()
	Eventually(p.t, p.Body+" is done at "+h.ID, func() bool { return p.IsCompleteAnswer(p.Send(context.Background(), h)) })
}

// Runs returns how often the payment has run on all backend servers together.
func (p *Payment) Runs() int {
	n := 0
	for _, b := range p.f.Backends {
		for _, r := range b.RecordedRuns() {
			if r.Key == p.Key {
				n++
			}
		}
	}
	return n
}

// RequireRuns fails the test unless the payment has run n times.
func (p *Payment) RequireRuns(n int) {
	p.t.Helper()
	if got := p.Runs(); got != n {
		p.t.Fatalf("payment %q ran %d times, want %d", p.Body, got, n)
	}
}

// StartRun sends the payment to a host and returns once a backend server has
// started to run it. The result is sent on the returned channel.
func (p *Payment) StartRun(ctx context.Context, h *Host) <-chan caller.Result {
	p.t.Helper()
	result := make(chan caller.Result, 1)
	go func() { result <- p.Send(ctx, h) }()
	Eventually(p.t, p.Body+" starts to run", func() bool { return p.Runs() == 1 })
	return result
}
