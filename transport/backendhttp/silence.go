package backendhttp

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/backendapi"
	"bilberrytiller.example/tiller/state/request"
)

const (
	// silentAfter is how long a request waits for its answer before the
	// server is asked for it on a new connection.
	silentAfter = 250 * time.Millisecond
	// maxProbePause bounds the time between two probes of a slow request.
	maxProbePause = 4 * time.Second
	probeTimeout  = 250 * time.Millisecond
	// finishedProbes is how many probes in a row must find a request finished
	// before its answer counts as lost: an answer may be on its way.
	finishedProbes = 2
)

// errSilent says that a connection was open and carried nothing any more.
var errSilent = errors.New("connection to backend server is silent")

// newProbe returns a client that opens a connection for each call.
func newProbe() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// watchSilence ends an attempt with errSilent when a new connection tells
// that the server never got the request, or finished it and its answer did
// not come. A server that is slow, or does not tell, is waited for.
func (c *Client) watchSilence(ctx context.Context, end context.CancelCauseFunc, req *request.Request, w *writing) {
	var seen sightings
	for pause := silentAfter; ctx.Err() == nil; pause = min(2*pause, maxProbePause) {
		if c.silent(ctx, req, w, &seen) {
			// What silenced one connection is likely to have silenced the idle
			// ones too. New requests open new ones.
			c.Close()
			end(errSilent)
			return
		}
		if seen.finished > 0 {
			pause = silentAfter / 2
		}
		sleep.For(ctx, pause)
	}
}

// sightings are what earlier probes of one request have found.
type sightings struct {
	// finished counts probes in a row that found the request finished.
	finished int
	received int64
}

// silent reports whether a request's connection carries nothing any more. An
// answer that is on its way is no silence.
func (c *Client) silent(ctx context.Context, req *request.Request, w *writing, seen *sightings) bool {
	before := seen.received
	seen.received = w.received()
	if !w.connected() || seen.received != before {
		return false
	}
	switch c.progress(ctx, req.ID) {
	case backendapi.ProgressNone:
		return true
	case backendapi.ProgressFinished:
		seen.finished++
	default:
		seen.finished = 0
	}
	return seen.finished >= finishedProbes
}

// progress asks on a new connection how far a request has got. It returns ""
// if the server does not tell.
func (c *Client) progress(ctx context.Context, id string) backendapi.Progress {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var status backendapi.StatusResponse
	if err := c.call(ctx, c.probe, http.MethodGet, backendapi.PathStatus+id, &status); err != nil {
		return ""
	}
	return status.Progress
}
