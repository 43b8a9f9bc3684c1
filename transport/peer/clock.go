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
	// lag is how far the reading may be behind the peer's clock.
	lag time.Duration
}

// ClockBounds are the least and the most that a peer's clock may show.
type ClockBounds struct{ Earliest, Latest time.Duration }

// clockResolution is the resolution of HeaderClock.
const clockResolution = time.Millisecond

// parseClock reads the peer's clock from the response to a WebSocket handshake that
// began at the given time.
func parseClock(resp *http.Response, began, now time.Time) (clockReading, error) {
	ms, err := strconv.ParseInt(resp.Header.Get(HeaderClock), 10, 64)
	if err != nil {
		return clockReading{}, fmt.Errorf("header %s is not a number of milliseconds: %w", HeaderClock, err)
	}
	return clockReading{peerClock: time.Duration(ms) * time.Millisecond, readAt: now, lag: now.Sub(began) + clockResolution}, nil
}

// bounds returns the bounds of the peer's clock at the given time.
func (r clockReading) bounds(now time.Time) ClockBounds {
	earliest := r.peerClock + now.Sub(r.readAt)
	return ClockBounds{Earliest: earliest, Latest: earliest + r.lag}
}

// Clock returns the server's clock, which peers estimate with Client.Clock.
func (s *Server) Clock() time.Duration { return time.Since(s.started) }
