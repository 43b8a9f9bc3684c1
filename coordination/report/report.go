// Package report manages the state of accepted durable requests.
//
// An accepted request is stored as one platform object until it is answered.
// The answer is an object of the same name and another kind. It is written
// before the request is deleted, so that both objects exist if the worker dies
// in between. The request object carries the lease of the worker that runs it.
// Since durable requests are idempotent, the lease only avoids duplicate work
// and is not needed for correctness.
package report

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

const (
	// LeaseMargin is how long a lease lasts beyond the request's deadline.
	LeaseMargin = 5 * time.Second
	// Retention is how long an answer is kept.
	Retention = 7 * 24 * time.Hour
	// initialBackoff and maxBackoff limit the delay before a failed run is
	// retried. maxBackoffShift limits the number of times that the delay
	// doubles.
	initialBackoff  = time.Second
	maxBackoff      = time.Minute
	maxBackoffShift = 6
)

// Record is the stored form of an accepted request.
type Record struct {
	Service string      `json:"service"`
	Caller  string      `json:"caller"`
	Method  string      `json:"method"`
	Path    string      `json:"path,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body"`
	// AcceptedMs is when the request was accepted, in milliseconds since the
	// Unix epoch.
	AcceptedMs int64 `json:"accepted_ms"`
	// Attempts is the number of runs that produced no final answer.
	Attempts int `json:"attempts,omitempty"`
	// Worker is the incarnation of the daemon that runs the request. Its lease
	// ends at LeaseMs.
	Worker  string `json:"worker,omitempty"`
	LeaseMs int64  `json:"lease_ms,omitempty"`
	// NotBeforeMs is the earliest time for the next run.
	NotBeforeMs int64 `json:"not_before_ms,omitempty"`
}

// Answer is the stored form of the answer to an accepted request.
type Answer struct {
	Outcome    request.Outcome `json:"outcome"`
	Reason     request.Reason  `json:"reason"`
	Detail     string          `json:"detail,omitempty"`
	Status     int             `json:"status,omitempty"`
	Header     http.Header     `json:"header,omitempty"`
	Body       []byte          `json:"body,omitempty"`
	Upstream   string          `json:"upstream,omitempty"`
	AnsweredMs int64           `json:"answered_ms"`
}

// New returns the record of a request that is accepted at the given time.
func New(req *request.Request, now time.Time) Record {
	return Record{
		Service: req.Service, Caller: req.Caller, Method: req.Method, Path: req.Path,
		Header: req.Header, Body: req.Body, AcceptedMs: now.UnixMilli(),
	}
}

// Decode decodes a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode report: %w", err)
	}
	return r, nil
}

// DecodeAnswer decodes an answer.
func DecodeAnswer(data []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("decode report answer: %w", err)
	}
	return a, nil
}

// Request returns the request for another run.
func (r Record) Request(id string) *request.Request {
	return &request.Request{
		ID: id, Service: r.Service, Caller: r.Caller, Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body,
	}
}

// Due reports whether a worker may run the request now. The lease of another
// worker ends early if that worker is no longer usable.
func (r Record) Due(worker string, usable func(incarnation string) bool, now time.Time) bool {
	if now.UnixMilli() < r.NotBeforeMs {
		return false
	}
	available := r.Worker == "" || r.Worker == worker || now.UnixMilli() >= r.LeaseMs
	return available || !usable(r.Worker)
}

// WithLease returns the record with a lease for one run.
func (r Record) WithLease(worker string, deadline time.Duration, now time.Time) Record {
	r.Worker = worker
	r.LeaseMs = now.Add(deadline + LeaseMargin).UnixMilli()
	return r
}

// AfterFailure returns the record after a run that produced no final answer:
// without a lease, and with a delay before the next run.
func (r Record) AfterFailure(now time.Time) Record {
	backoff := min(maxBackoff, initialBackoff<<min(r.Attempts, maxBackoffShift))
	r.Attempts++
	r.Worker, r.LeaseMs = "", 0
	r.NotBeforeMs = now.Add(backoff).UnixMilli()
	return r
}

// IsFinal reports whether an answer is final. A request that crashes backend
// servers is not run again.
func IsFinal(a request.Answer) bool {
	return a.Outcome == request.OutcomeDone || a.Reason == request.ReasonPoison
}

// NewAnswer returns the stored form of an answer.
func NewAnswer(a request.Answer, now time.Time) Answer {
	return Answer{
		Outcome: a.Outcome, Reason: a.Reason, Detail: a.Detail, Status: a.Status, Header: a.Header,
		Body: a.Body, Upstream: a.Upstream, AnsweredMs: now.UnixMilli(),
	}
}

// Answer returns the answer in the form that is sent to callers.
func (a Answer) Answer() request.Answer {
	return request.Answer{
		Outcome: a.Outcome, Reason: a.Reason, Detail: a.Detail, Status: a.Status, Header: a.Header,
		Body: a.Body, Upstream: a.Upstream,
	}
}

// Expired reports whether the answer has exceeded its retention.
func (a Answer) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(a.AnsweredMs)) > Retention
}
