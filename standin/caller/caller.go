// Package caller is a small stand-in for a caller. It follows docs/CALLER.md:
// it asks any entry host which entry hosts to use, caches the answer for its
// time to live, and retries a request with the same key while its outcome is
// unknown.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/state/request"
)

const (
	maxAttempts = 8
	retryDelay  = 100 * time.Millisecond
)

// ErrNoEntryHost reports that no entry host answered a look-up.
var ErrNoEntryHost = errors.New("no entry host answered")

// Result is the result of a request.
type Result struct {
	Outcome  request.Outcome
	Reason   request.Reason
	Status   int
	Body     []byte
	Host     string
	Upstream string
	Attempts int
	// LostAttempts counts the attempts that ended without a complete answer.
	LostAttempts int
	// Report identifies an accepted request.
	Report string
	// Key is a new key with which to send the request again, if it did not run.
	Key string
}

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	entries []string
	http    *http.Client
	mu      sync.Mutex
	cached  map[string]cachedLookup
}

type cachedLookup struct {
	lookup  callerapi.LookupResponse
	expires time.Time
}

// New returns a caller that knows the addresses of some entry hosts.
func New(entries []string) *Caller {
	return &Caller{
		entries: entries,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		cached:  map[string]cachedLookup{},
	}
}

// Lookup asks the known entry hosts in order until one answers.
func (c *Caller) Lookup(ctx context.Context, service string) (callerapi.LookupResponse, error) {
	var errs []error
	for _, entry := range c.entries {
		lookup, err := c.lookupAt(ctx, entry, service)
		if err == nil {
			return lookup, nil
		}
		errs = append(errs, err)
	}
	return callerapi.LookupResponse{}, fmt.Errorf("%w: %w", ErrNoEntryHost, errors.Join(errs...))
}

// Run sends a request until its outcome is known, ctx ends or the maximum
// number of attempts is reached. Each request of a service that is not
// idempotent needs a look-up of its own, which returns a key; other requests
// share a look-up for its time to live.
func (c *Caller) Run(ctx context.Context, service, path string, body []byte, header http.Header) (Result, error) {
	lookup, err := c.currentLookup(ctx, service)
	if err != nil {
		return Result{}, err
	}
	result, key := Result{Outcome: request.OutcomeNotRun, Reason: request.ReasonNoUpstream}, lookup.Key
	for attempt := range maxAttempts {
		if attempt >= len(lookup.Hosts) && !waitBeforeRetry(ctx) {
			break
		}
		if len(lookup.Hosts) == 0 {
			break
		}
		host := lookup.Hosts[attempt%len(lookup.Hosts)]
		lostBefore := result.LostAttempts
		result = c.RunAt(ctx, host.Address, service, path, key, body, header)
		result.Attempts = attempt + 1
		result.LostAttempts += lostBefore
		if !shouldRetry(result) {
			break
		}
		if result.Outcome == request.OutcomeNotRun && key != "" {
			// The key is used up; a retry needs the new key of the answer.
			if key = result.Key; key == "" {
				break
			}
		}
	}
	return result, nil
}

// RunOnce makes one attempt at the first entry host of a look-up.
func (c *Caller) RunOnce(ctx context.Context, lookup callerapi.LookupResponse, service string, body []byte) Result {
	if len(lookup.Hosts) == 0 {
		return Result{Outcome: request.OutcomeNotRun, Reason: request.ReasonNoUpstream}
	}
	return c.RunAt(ctx, lookup.Hosts[0].Address, service, "", lookup.Key, body, nil)
}

// Report asks the known entry hosts in order for the result of an accepted
// request.
func (c *Caller) Report(ctx context.Context, name string) Result {
	result := Result{Outcome: request.OutcomeUnknown, Reason: request.ReasonConnectionLost}
	for _, entry := range c.entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+callerapi.PathReports+name, nil)
		if err != nil {
			return Result{Outcome: request.OutcomeNotRun, Reason: request.ReasonBadRequest}
		}
		if result = c.send(req); result.Status != 0 {
			break
		}
	}
	return result
}

// shouldRetry reports whether the same request should be sent again.
func shouldRetry(r Result) bool {
	return r.Outcome == request.OutcomeUnknown && r.Reason != request.ReasonKeyExpired ||
		r.Outcome == request.OutcomeNotRun && r.Status == http.StatusServiceUnavailable
}

// currentLookup returns the cached look-up of a service while it has not expired.
// Otherwise, and if the cached look-up has a key, it makes a new one.
func (c *Caller) currentLookup(ctx context.Context, service string) (callerapi.LookupResponse, error) {
	c.mu.Lock()
	cached, ok := c.cached[service]
	c.mu.Unlock()
	if ok && cached.lookup.Key == "" && time.Now().Before(cached.expires) {
		return cached.lookup, nil
	}
	lookup, err := c.Lookup(ctx, service)
	if err != nil {
		return lookup, err
	}
	c.mu.Lock()
	c.cached[service] = cachedLookup{lookup: lookup, expires: time.Now().Add(time.Duration(lookup.TTLMs) * time.Millisecond)}
	c.mu.Unlock()
	return lookup, nil
}

// StatusError is an unexpected status of a look-up.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("look-up failed with status %d: %s", e.Status, e.Body)
}

func (c *Caller) lookupAt(ctx context.Context, entry, service string) (callerapi.LookupResponse, error) {
	var lookup callerapi.LookupResponse
	target := "http://" + entry + callerapi.PathLookup + "?service=" + url.QueryEscape(service)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return lookup, fmt.Errorf("build look-up request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return lookup, fmt.Errorf("look-up: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return lookup, fmt.Errorf("read look-up answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return lookup, &StatusError{Status: resp.StatusCode, Body: string(body)}
	}
	if err := json.Unmarshal(body, &lookup); err != nil {
		return lookup, fmt.Errorf("decode look-up answer: %w", err)
	}
	return lookup, nil
}

// RunAt makes one attempt at one entry host, without a key if key is empty.
func (c *Caller) RunAt(ctx context.Context, host, service, path, key string, body []byte, header http.Header) Result {
	target := "http://" + host + callerapi.PathRun + service + "/" + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return Result{Outcome: request.OutcomeNotRun, Reason: request.ReasonBadRequest}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if key != "" {
		req.Header.Set(callerapi.HeaderKey, key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	return c.send(req)
}

// send makes one attempt. The outcome of an attempt without a complete answer
// is unknown.
func (c *Caller) send(req *http.Request) Result {
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{Outcome: request.OutcomeUnknown, Reason: request.ReasonConnectionLost, LostAttempts: 1}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Outcome: request.OutcomeUnknown, Reason: request.ReasonConnectionLost, LostAttempts: 1}
	}
	return Result{
		Outcome:  request.Outcome(resp.Header.Get(callerapi.HeaderOutcome)),
		Reason:   request.Reason(resp.Header.Get(callerapi.HeaderReason)),
		Status:   resp.StatusCode,
		Body:     body,
		Host:     resp.Header.Get(callerapi.HeaderHost),
		Upstream: resp.Header.Get(callerapi.HeaderUpstream),
		Report:   resp.Header.Get(callerapi.HeaderReport),
		Key:      resp.Header.Get(callerapi.HeaderKey),
	}
}

func waitBeforeRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
