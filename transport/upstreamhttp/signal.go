package upstreamhttp

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/availability"
)

// ErrWithdrawn means that Request.MaySend did not allow the request to be sent.
var ErrWithdrawn = errors.New("the server takes no requests any more")

// leavingValue is the value of the leaving header of a server that leaves.
const leavingValue = "1"

// isOwn reports whether an answer is provably the server's to this request: it carries
// the ID of the request, or the connection has carried no other request. An answer that
// says that another server has the address says nothing about the one that was meant.
func (c *conn) isOwn(n HeaderNames, r *Request, resp *http.Response) bool {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return false
	}
	return c.carried == 1 || r.ID != "" && resp.Header.Get(n.AttemptID) == r.ID
}

// parseSignal sets Signal from the leaving and pause headers. A header that is given
// several times with different values, or that cannot be parsed, announces nothing. A
// pause counts only in a 503 answer to a request that the server did not run.
func (a *Answer) parseSignal(n HeaderNames) {
	if value, given := a.singleValue(n.Leaving); given {
		a.Signal.Leaving = value == leavingValue
		a.noteUnreadable(n.Leaving, a.Signal.Leaving)
	}
	if a.Status != http.StatusServiceUnavailable || !a.NotRun {
		return
	}
	if value, given := a.singleValue(n.Pause); given {
		pause, ok := parsePause(value)
		a.Signal.Pause = pause
		a.noteUnreadable(n.Pause, ok)
	}
}

// singleValue returns the value of a header, or "" if it has several that differ. given
// is false if the answer does not have the header.
func (a *Answer) singleValue(name string) (value string, given bool) {
	values := a.Header.Values(name)
	if len(values) == 0 {
		return "", false
	}
	value = strings.TrimSpace(values[0])
	for _, other := range values[1:] {
		if strings.TrimSpace(other) != value {
			return "", true
		}
	}
	return value, true
}

func (a *Answer) noteUnreadable(name string, readable bool) {
	if !readable {
		a.Signal.Unreadable = true
		a.UnreadableSignals = append(a.UnreadableSignals, name)
	}
}

// parsePause parses a number of seconds in decimal digits, with or without a fraction.
// A longer pause than availability.MaxPause becomes that.
func parsePause(value string) (pause time.Duration, ok bool) {
	if strings.Trim(value, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && !math.IsInf(seconds, 1) {
		return 0, false
	}
	return time.Duration(min(seconds, availability.MaxPause.Seconds()) * float64(time.Second)), true
}
