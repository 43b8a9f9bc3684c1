package peer

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// HeaderClock carries the clock of the daemon that accepts a connection: the
// milliseconds since its Server was created. The clock keeps running while the
// daemon is paused and is independent of the time of day.
const HeaderClock = "Tiller-Clock-Ms"

// clockReading is the clock of a peer at a time of the local clock.
type clockReading struct {
	peerClock time.Duration
	readAt    time.Time
}

// parseClock reads the peer's clock from the response to the WebSocket handshake.
func parseClock(resp *http.Response, now time.Time) (clockReading, error) {
	ms, err := strconv.ParseInt(resp.Header.Get(HeaderClock), 10, 64)
	if err != nil {
		return clockReading{}, fmt.Errorf("header %s is not a number of milliseconds: %w", HeaderClock, err)
	}
	return clockReading{peerClock: time.Duration(ms) * time.Millisecond, readAt: now}, nil
}

// estimate returns the peer's clock at the given time. The result lags by the
// time that the handshake response took to arrive.
func (r clockReading) estimate(now time.Time) time.Duration { return r.peerClock + now.Sub(r.readAt) }

// Clock returns the server's clock, which peers estimate with Client.Clock.
func (s *Server) Clock() time.Duration { return time.Since(s.started) }
