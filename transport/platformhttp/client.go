// Package platformhttp reaches the platform's object API over HTTP.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/platformapi"
)

const (
	callTimeout  = 5 * time.Second
	watchTimeout = 60 * time.Second
	maxIdleConns = 8
	// maxAnswerBytes bounds an answer; a list may hold many objects.
	maxAnswerBytes = 256 << 20
)

// StatusError is an HTTP status that the platform API does not define.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered %d: %s", e.Status, e.Body)
}

// Refused reports whether the platform understood the call and turned it
// down, so that a write has not taken effect.
func (e *StatusError) Refused() bool {
	return e.Status/100 == 4 && e.Status != http.StatusRequestTimeout
}

// Client implements platform.Client. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ platform.Client = (*Client)(nil)

// New returns a client of the platform at a base URL.
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns},
		// A write that is redirected would be sent on as a read.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Get returns an object, or platform.ErrNotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	var obj platform.Object
	err := c.call(ctx, callTimeout, http.MethodGet, objectPath(kind, name), nil, nil, &obj)
	return obj, err
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) (platform.List, error) {
	var list platform.List
	err := c.call(ctx, callTimeout, http.MethodGet, platformapi.PathObjects+url.PathEscape(kind), nil, nil, &list)
	return list, err
}

// Put writes an object if it stands at the given version.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion uint64, data []byte) (uint64, error) {
	var written platformapi.WriteResponse
	err := c.call(ctx, callTimeout, http.MethodPut, objectPath(kind, name), &ifVersion, data, &written)
	return written.Version, err
}

// Delete deletes an object if it stands at the given version, and returns the
// version of its deletion.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error) {
	var written platformapi.WriteResponse
	err := c.call(ctx, callTimeout, http.MethodDelete, objectPath(kind, name), &ifVersion, nil, &written)
	return written.Version, err
}

// Watch waits for changes of a kind after a version.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) (platform.WatchResult, error) {
	path := platformapi.PathWatch + url.PathEscape(kind) + "?" + platformapi.ParamAfter + "=" + strconv.FormatUint(after, 10)
	var changes platform.WatchResult
	err := c.call(ctx, watchTimeout, http.MethodGet, path, nil, nil, &changes)
	return changes, err
}

// Hosts returns the lagging list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	var hosts []platform.Host
	err := c.call(ctx, callTimeout, http.MethodGet, platformapi.PathHosts, nil, nil, &hosts)
	return hosts, err
}

func objectPath(kind, name string) string {
	return platformapi.PathObjects + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, ifVersion *uint64, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform request: %w", err)
	}
	if ifVersion != nil {
		req.Header.Set(platformapi.HeaderIfVersion, strconv.FormatUint(*ifVersion, 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return unavailable(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Join(platform.ErrUnavailable, err)
	}
	return decode(resp.StatusCode, answer, ifVersion, into)
}

// unavailable tells a call that did not reach the platform from others.
func unavailable(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Join(platform.ErrUnavailable, platform.ErrNotSent, err)
	}
	return errors.Join(platform.ErrUnavailable, err)
}

func decode(status int, answer []byte, ifVersion *uint64, into any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(answer, into); err != nil {
			return errors.Join(platform.ErrUnavailable, err)
		}
		return nil
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusGone:
		return platform.ErrTooOld
	case http.StatusConflict:
		return conflict(answer, ifVersion)
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return platform.ErrUnavailable
	}
	return &StatusError{Status: status, Body: string(answer)}
}

func conflict(answer []byte, ifVersion *uint64) error {
	conflict := &platform.ConflictError{}
	if ifVersion != nil {
		conflict.ExpectedVersion = *ifVersion
	}
	if err := json.Unmarshal(answer, &conflict.Current); err != nil {
		return errors.Join(platform.ErrUnavailable, err)
	}
	return conflict
}
