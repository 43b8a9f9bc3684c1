package backendhttp

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bilberrytiller.example/tiller/internal/httplimit"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/backendapi"
	"bilberrytiller.example/tiller/state/request"
)

const (
	// firstProbeDelay is how long a request waits for its answer before its
	// progress is queried on a new connection.
	firstProbeDelay = 250 * time.Millisecond
	// maxProbeInterval limits the interval between two probes of a slow request.
	maxProbeInterval = 4 * time.Second
	probeTimeout     = 250 * time.Millisecond
	// minFinishedProbes is the number of consecutive probes that must find a
	// request finished before its answer is considered lost. After a single one
	// the answer may still be in transit.
	minFinishedProbes = 2
)

// errSilent means that a connection is open but no longer carries data.
var errSilent = errors.New("connection to backend server is open but carries no data")

// newProbeClient returns a client that opens a connection for each call.
func newProbeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, MaxResponseHeaderBytes: httplimit.MaxResponseHeaderBytes,
	}}
}

// watchSilence cancels an attempt with errSilent if probes on new connections
// show that the server never received the request, or that it finished the
// request and the answer did not arrive. It does not cancel an attempt whose
// server is slow or does not report the progress.
func (c *Client) watchSilence(ctx context.Context, cancel context.CancelCauseFunc, req *request.Request, tracker *sendTracker) {
	var history probeHistory
	for interval := firstProbeDelay; ctx.Err() == nil; interval = min(2*interval, maxProbeInterval) {
		if c.isSilent(ctx, req, tracker, &history) {
			// The idle connections are likely to be silent for the same reason, so
			// new requests must open new ones.
			c.Close()
			cancel(errSilent)
			return
		}
		if history.finishedInRow > 0 {
			interval = firstProbeDelay / 2
		}
		sleep.For(ctx, interval)
	}
}

// probeHistory is the result of the earlier probes of one request.
type probeHistory struct {
	// finishedInRow counts the latest consecutive probes that found the request
	// finished.
	finishedInRow int
	// receivedBytes is the number of bytes received when the last probe started.
	receivedBytes int64
}

// isSilent reports whether the connection of a request no longer carries data. A
// connection that has received bytes since the last probe is not silent.
func (c *Client) isSilent(ctx context.Context, req *request.Request, tracker *sendTracker, history *probeHistory) bool {
	receivedBefore := history.receivedBytes
	history.receivedBytes = tracker.receivedBytes()
	if !tracker.hasConn() || history.receivedBytes != receivedBefore {
		return false
	}
	switch c.fetchProgress(ctx, req.ID) {
	case backendapi.ProgressNone:
		return true
	case backendapi.ProgressFinished:
		history.finishedInRow++
	default:
		history.finishedInRow = 0
	}
	return history.finishedInRow >= minFinishedProbes
}

// fetchProgress queries the progress of a request on a new connection. It returns
// "" if the server gives no usable answer.
func (c *Client) fetchProgress(ctx context.Context, id string) backendapi.Progress {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var status backendapi.StatusResponse
	if err := c.call(ctx, c.probeClient, http.MethodGet, backendapi.PathStatus+id, &status); err != nil {
		return ""
	}
	return status.Progress
}
