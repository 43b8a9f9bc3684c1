// Package platformhttp is an HTTP client of the platform's object API.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/internal/httplimit"
	"bilberrytiller.example/tiller/protocol/platformapi"
)

const (
	// callTimeout and watchTimeout limit the time until an answer begins, stallTimeout that
	// between two parts of it, and maxAnswerTime the whole of one.
	callTimeout   = 5 * time.Second
	watchTimeout  = 60 * time.Second
	stallTimeout  = 5 * time.Second
	maxAnswerTime = 5 * time.Minute
	maxIdleConns  = 8
	// maxAnswerBytes limits the body of an answer. It is large since a list may hold
	// many objects.
	maxAnswerBytes = 64 << 20
)

// StatusError is an answer with an HTTP status that the object API does not define.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered %d: %s", e.Status, e.Body)
}

// Refused reports whether the platform rejected the call with a 4xx status other
// than 408, so that a write has not taken effect.
func (e *StatusError) Refused() bool {
	return e.Status/100 == 4 && e.Status != http.StatusRequestTimeout
}

// Client implements platform.Client. It is safe for concurrent use. A status that
// the object API does not define is returned as a *StatusError.
type Client struct {
	base string
	http *http.Client
}

var _ platform.Client = (*Client)(nil)

// New returns a client of the platform with the given base URL.
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: httplimit.MaxResponseHeaderBytes},
		// Redirects are not followed, since a redirected write would become a GET.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Get returns an object, or platform.ErrNotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	var obj platform.Object
	err := c.call(ctx, callTimeout, http.MethodGet, objectPath(kind, name), nil, nil, &obj)
	return obj, err
}

// List returns all objects of a kind with the version of the list.
func (c *Client) List(ctx context.Context, kind string) (platform.List, error) {
	var list platform.List
	err := c.call(ctx, callTimeout, http.MethodGet, platformapi.PathObjects+url.PathEscape(kind), nil, nil, &list)
	return list, err
}

// Put writes an object if its current version is ifVersion, and returns the new
// version or a *platform.ConflictError.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion uint64, data []byte) (uint64, error) {
	var written platformapi.WriteResponse
	err := c.call(ctx, callTimeout, http.MethodPut, objectPath(kind, name), &ifVersion, data, &written)
	return written.Version, err
}

// Delete deletes an object if its current version is ifVersion, and returns the
// version of the deletion or a *platform.ConflictError.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error) {
	var written platformapi.WriteResponse
	err := c.call(ctx, callTimeout, http.MethodDelete, objectPath(kind, name), &ifVersion, nil, &written)
	return written.Version, err
}

// Watch waits for changes to objects of a kind after a version, for at most
// watchTimeout. It returns platform.ErrTooOld if the platform no longer has all of
// them.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) (platform.WatchResult, error) {
	path := platformapi.PathWatch + url.PathEscape(kind) + "?" + platformapi.ParamAfter + "=" + strconv.FormatUint(after, 10)
	var changes platform.WatchResult
	err := c.call(ctx, watchTimeout, http.MethodGet, path, nil, nil, &changes)
	return changes, err
}

// Hosts returns the platform's list of hosts, which lags behind changes.
func (c *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	var hosts []platform.Host
	err := c.call(ctx, callTimeout, http.MethodGet, platformapi.PathHosts, nil, nil, &hosts)
	return hosts, err
}

func objectPath(kind, name string) string {
	return platformapi.PathObjects + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, ifVersion *uint64, body []byte, result any) error {
	ctx, timer, cancel := httplimit.AwaitResponse(ctx, timeout, maxAnswerTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request to platform: %w", err)
	}
	if ifVersion != nil {
		req.Header.Set(platformapi.HeaderIfVersion, strconv.FormatUint(*ifVersion, 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return unavailableError(err)
	}
	defer resp.Body.Close()
	answer, err := httplimit.ReadAll(httplimit.StallReader(resp.Body, stallTimeout, timer), maxAnswerBytes)
	if err != nil {
		return errors.Join(platform.ErrUnavailable, err)
	}
	return decodeAnswer(resp.StatusCode, answer, ifVersion, result)
}

// unavailableError wraps the error of a call without an answer in ErrUnavailable,
// and also in ErrNotSent if no connection was established.
func unavailableError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Join(platform.ErrUnavailable, platform.ErrNotSent, err)
	}
	return errors.Join(platform.ErrUnavailable, err)
}

func decodeAnswer(status int, body []byte, ifVersion *uint64, result any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(body, result); err != nil {
			return errors.Join(platform.ErrUnavailable, err)
		}
		return nil
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusGone:
		return platform.ErrTooOld
	case http.StatusConflict:
		return conflictError(body, ifVersion)
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return platform.ErrUnavailable
	}
	return &StatusError{Status: status, Body: string(body)}
}

func conflictError(body []byte, ifVersion *uint64) error {
	conflict := &platform.ConflictError{}
	if ifVersion != nil {
		conflict.ExpectedVersion = *ifVersion
	}
	if err := json.Unmarshal(body, &conflict.Current); err != nil {
		return errors.Join(platform.ErrUnavailable, err)
	}
	return conflict
}
