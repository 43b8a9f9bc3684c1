// Package operatorhttp is an HTTP client of a daemon's operator API.
package operatorhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"bilberrytiller.example/tiller/internal/httplimit"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	callTimeout    = 5 * time.Second
	maxAnswerBytes = 64 << 20
)

// httpClient is shared by the clients of all daemons.
var httpClient = &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: httplimit.MaxResponseHeaderBytes}}

// StatusError is an answer of a daemon with a status other than 2xx.
type StatusError struct {
	Address string
	Path    string
	Status  int
	Detail  string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("daemon %s answered %d to %s: %s", e.Address, e.Status, e.Path, e.Detail)
}

// UnreachableError means that a daemon gave no usable answer.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("daemon %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Client calls one daemon. A call that the daemon answers with an error returns a
// *StatusError; one without a usable answer returns an *UnreachableError.
type Client struct {
	address string
	auth    *peer.Auth
}

// New returns a client of the daemon whose operator listener has the address.
func New(address, secret string) *Client {
	return &Client{address: address, auth: peer.NewAuth("tillerctl", []byte(secret))}
}

// Address returns the address of the daemon's operator listener.
func (c *Client) Address() string { return c.address }

// Status returns the daemon's view of itself and of the fleet.
func (c *Client) Status(ctx context.Context) (operatorapi.Status, error) {
	var out operatorapi.Status
	err := c.call(ctx, http.MethodGet, operatorapi.PathStatus, nil, &out)
	return out, err
}

// Entries returns the entries in force, including deleted ones.
func (c *Client) Entries(ctx context.Context) ([]operatorapi.Entry, error) {
	var out []operatorapi.Entry
	err := c.call(ctx, http.MethodGet, operatorapi.PathEntries, nil, &out)
	return out, err
}

// Explain returns where the daemon would send a caller of a service now, and why.
func (c *Client) Explain(ctx context.Context, service, caller string) (operatorapi.Explanation, error) {
	query := url.Values{operatorapi.ParamService: {service}}
	if caller != "" {
		query.Set(operatorapi.ParamCaller, caller)
	}
	var out operatorapi.Explanation
	err := c.call(ctx, http.MethodGet, operatorapi.PathExplain+"?"+query.Encode(), nil, &out)
	return out, err
}

// ExplainRequest returns what a gateway would do with a request now, and why. The address
// of the client is that of the gateway's metrics.
func (c *Client) ExplainRequest(ctx context.Context, query url.Values) (operatorapi.RequestExplanation, error) {
	var out operatorapi.RequestExplanation
	err := c.call(ctx, http.MethodGet, operatorapi.PathExplainRequest+"?"+query.Encode(), nil, &out)
	return out, err
}

// Metrics returns the daemon's metrics by name.
func (c *Client) Metrics(ctx context.Context) (map[string]json.RawMessage, error) {
	var out map[string]json.RawMessage
	err := c.call(ctx, http.MethodGet, operatorapi.PathMetrics, nil, &out)
	return out, err
}

// NotifyAccepted passes a change that the platform has accepted to the daemon. It
// returns when the change is in force there.
func (c *Client) NotifyAccepted(ctx context.Context, change operatorapi.AcceptedChange) error {
	body, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("encode accepted change of %s: %w", change.Name, err)
	}
	return c.call(ctx, http.MethodPost, operatorapi.PathAccepted, body, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return &UnreachableError{Address: c.address, Err: err}
	}
	req.Header.Set(peer.HeaderAuth, c.auth.Token(time.Now()))
	resp, err := httpClient.Do(req)
	if err != nil {
		return &UnreachableError{Address: c.address, Err: err}
	}
	defer resp.Body.Close()
	answer, err := httplimit.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return &UnreachableError{Address: c.address, Err: err}
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Address: c.address, Path: path, Status: resp.StatusCode, Detail: errorDetail(answer)}
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(answer, result); err != nil {
		return &UnreachableError{Address: c.address, Err: err}
	}
	return nil
}

// errorDetail returns the error message in the body of an answer, or the body if it
// holds none.
func errorDetail(answer []byte) string {
	var resp operatorapi.ErrorResponse
	if json.Unmarshal(answer, &resp) != nil || resp.Error == "" {
		return strings.TrimSpace(string(answer))
	}
	if resp.Field == "" {
		return resp.Error
	}
	return "field " + resp.Field + ": " + resp.Error
}
