// Package report decides what becomes of accepted durable requests.
//
// An accepted request is one object of the platform until it is answered.
// The answer is an object of the same name and another kind, written before
// the request is deleted, so that a worker that dies between the two leaves
// both. The object carries the lease of the worker that runs it; the lease
// saves work only, since durable work is idempotent.
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
	// firstPause and maxPause bound the wait before a failed run is repeated.
	firstPause = time.Second
	maxPause   = time.Minute
	maxDoubled = 6
)

// Record is an accepted request as the platform keeps it.
type Record struct {
	Service string      `json:"service"`
	Caller  string      `json:"caller"`
	Method  string      `json:"method"`
	Path    string      `json:"path,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body"`
	// AcceptedMs is when the request was accepted, in milliseconds since 1970.
	AcceptedMs int64 `json:"accepted_ms"`
	Attempts   int   `json:"attempts,omitempty"`
	// Worker is the incarnation that runs the request, until LeaseMs.
	Worker  string `json:"worker,omitempty"`
	LeaseMs int64  `json:"lease_ms,omitempty"`
	// NotBeforeMs is when the request is to be run again.
	NotBeforeMs int64 `json:"not_before_ms,omitempty"`
}

// Answer is the answer of an accepted request as the platform keeps it.
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

// New returns the record of a request that is accepted now.
func New(req *request.Request, now time.Time) Record {
	return Record{
		Service: req.Service, Caller: req.Caller, Method: req.Method, Path: req.Path,
		Header: req.Header, Body: req.Body, AcceptedMs: now.UnixMilli(),
	}
}

// Decode reads a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("report: %w", err)
	}
	return r, nil
}

// DecodeAnswer reads an answer.
func DecodeAnswer(data []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("report's answer: %w", err)
	}
	return a, nil
}

// Request returns the request for one more run.
func (r Record) Request(id string) *request.Request {
	return &request.Request{
		ID: id, Service: r.Service, Caller: r.Caller, Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body,
	}
}

// Due reports whether a worker may run the request now. A lease ends early
// if its worker is gone.
func (r Record) Due(worker string, usable func(incarnation string) bool, now time.Time) bool {
	if now.UnixMilli() < r.NotBeforeMs {
		return false
	}
	free := r.Worker == "" || r.Worker == worker || now.UnixMilli() >= r.LeaseMs
	return free || !usable(r.Worker)
}

// WithLease returns the record with a lease for one run.
func (r Record) WithLease(worker string, deadline time.Duration, now time.Time) Record {
	r.Worker = worker
	r.LeaseMs = now.Add(deadline + LeaseMargin).UnixMilli()
	return r
}

// AfterFailure returns the record after a run that gave no answer.
func (r Record) AfterFailure(now time.Time) Record {
	pause := min(maxPause, firstPause<<min(r.Attempts, maxDoubled))
	r.Attempts++
	r.Worker, r.LeaseMs = "", 0
	r.NotBeforeMs = now.Add(pause).UnixMilli()
	return r
}

// IsFinal reports whether an answer is the last word on a request. A request
// that crashes backend servers is not run again.
func IsFinal(a request.Answer) bool {
	return a.Outcome == request.OutcomeDone || a.Reason == request.ReasonPoison
}

// NewAnswer returns an answer as the platform keeps it.
func NewAnswer(a request.Answer, now time.Time) Answer {
	return Answer{
		Outcome: a.Outcome, Reason: a.Reason, Detail: a.Detail, Status: a.Status, Header: a.Header,
		Body: a.Body, Upstream: a.Upstream, AnsweredMs: now.UnixMilli(),
	}
}

// Answer returns the answer as callers get it.
func (a Answer) Answer() request.Answer {
	return request.Answer{
		Outcome: a.Outcome, Reason: a.Reason, Detail: a.Detail, Status: a.Status, Header: a.Header,
		Body: a.Body, Upstream: a.Upstream,
	}
}

// Expired reports whether an answer is to be deleted.
func (a Answer) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(a.AnsweredMs)) > Retention
}
