package peer

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// HeaderClock carries the clock of the daemon that accepts a connection: the
// milliseconds since its server was made. It goes on while the daemon is
// paused and has nothing to do with the time of day.
const HeaderClock = "Tiller-Clock-Ms"

// reading is a peer's clock as it stood at a moment of this daemon.
type reading struct {
	peer time.Duration
	at   time.Time
}

// newReading reads the clock in the answer that accepted a connection.
func newReading(resp *http.Response, now time.Time) (reading, error) {
	ms, err := strconv.ParseInt(resp.Header.Get(HeaderClock), 10, 64)
	if err != nil {
		return reading{}, fmt.Errorf("header %s: %w", HeaderClock, err)
	}
	return reading{peer: time.Duration(ms) * time.Millisecond, at: now}, nil
}

// estimate returns the peer's clock at a moment, or a little less.
func (r reading) estimate(now time.Time) time.Duration { return r.peer + now.Sub(r.at) }

// Clock returns the server's clock, which peers estimate by Client.Clock.
func (s *Server) Clock() time.Duration { return time.Since(s.started) }
