// Package operatorhttp reaches a daemon's listener for operators.
package operatorhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	callTimeout    = 5 * time.Second
	maxAnswerBytes = 64 << 20
)

// StatusError is an answer of a daemon with another status than 200.
type StatusError struct {
	Address string
	Path    string
	Status  int
	Detail  string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("daemon %s answered %d to %s: %s", e.Address, e.Status, e.Path, e.Detail)
}

// UnreachableError says that a daemon gave no answer.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("daemon %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Client reaches one daemon.
type Client struct {
	address string
	auth    *peer.Auth
}

// New returns a client of the daemon with the given operators' address.
func New(address, secret string) *Client {
	return &Client{address: address, auth: peer.NewAuth("tillerctl", []byte(secret))}
}

// Address is the operators' address of the daemon.
func (c *Client) Address() string { return c.address }

// Status returns what the daemon knows of itself and the fleet.
func (c *Client) Status(ctx context.Context) (operatorapi.Status, error) {
	var out operatorapi.Status
	err := c.call(ctx, http.MethodGet, operatorapi.PathStatus, nil, &out)
	return out, err
}

// Entries returns the entries in force, deleted ones too.
func (c *Client) Entries(ctx context.Context) ([]operatorapi.Entry, error) {
	var out []operatorapi.Entry
	err := c.call(ctx, http.MethodGet, operatorapi.PathEntries, nil, &out)
	return out, err
}

// Explain returns where a caller of a service would be sent now.
func (c *Client) Explain(ctx context.Context, service, caller string) (operatorapi.Explanation, error) {
	query := url.Values{operatorapi.ParamService: {service}}
	if caller != "" {
		query.Set(operatorapi.ParamCaller, caller)
	}
	var out operatorapi.Explanation
	err := c.call(ctx, http.MethodGet, operatorapi.PathExplain+"?"+query.Encode(), nil, &out)
	return out, err
}

// Metrics returns the daemon's metrics by name.
func (c *Client) Metrics(ctx context.Context) (map[string]json.RawMessage, error) {
	var out map[string]json.RawMessage
	err := c.call(ctx, http.MethodGet, operatorapi.PathMetrics, nil, &out)
	return out, err
}

// NotifyAccepted tells the daemon of a change that the platform has accepted. It
// returns when the change is in force there.
func (c *Client) NotifyAccepted(ctx context.Context, change operatorapi.AcceptedChange) error {
	body, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("accepted %s: %w", change.Name, err)
	}
	return c.call(ctx, http.MethodPost, operatorapi.PathAccepted, body, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return &UnreachableError{Address: c.address, Err: err}
	}
	req.Header.Set(peer.HeaderAuth, c.auth.Token(time.Now()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &UnreachableError{Address: c.address, Err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &UnreachableError{Address: c.address, Err: err}
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Address: c.address, Path: path, Status: resp.StatusCode, Detail: detail(answer)}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return &UnreachableError{Address: c.address, Err: err}
	}
	return nil
}

func detail(answer []byte) string {
	var failure operatorapi.ErrorResponse
	if json.Unmarshal(answer, &failure) != nil || failure.Error == "" {
		return strings.TrimSpace(string(answer))
	}
	if failure.Field == "" {
		return failure.Error
	}
	return "field " + failure.Field + ": " + failure.Error
}
