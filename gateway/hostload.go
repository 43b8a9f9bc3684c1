package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"bilberrytiller.example/tiller/internal/sleep"
)

const (
	// headBytes is the estimated size of the heads of a request and its answer.
	headBytes = 1 << 10
	// loadInterval is the time over which the utilisation of the link is measured.
	loadInterval = 500 * time.Millisecond
	bitsPerByte  = 8
	bitsPerMbit  = 1e6
)

// hostLoad measures how much of the host's network link is in use. Each request passes
// the link twice in both directions: between the client and the daemon, and between the
// daemon and a server.
type hostLoad struct {
	linkMbps float64
	bytes    atomic.Int64
	// current is the utilisation in thousandths.
	current atomic.Int64
}

// add counts the bodies of a request and its answer.
func (l *hostLoad) add(bodyBytes int) { l.bytes.Add(int64(bodyBytes) + headBytes) }

// utilisation returns the fraction of the link that was in use in the last interval.
func (l *hostLoad) utilisation() float64 { return float64(l.current.Load()) / 1000 }

// measure updates the utilisation after an interval.
func (l *hostLoad) measure(interval time.Duration) {
	used := l.bytes.Swap(0)
	if l.linkMbps <= 0 || interval <= 0 {
		return
	}
	mbps := float64(used) * bitsPerByte / bitsPerMbit / interval.Seconds()
	l.current.Store(int64(1000 * mbps / l.linkMbps))
}

// measureHostLoad measures the utilisation of the host's link until ctx ends.
func (g *Gateway) measureHostLoad(ctx context.Context) {
	last := time.Now()
	for sleep.For(ctx, loadInterval) {
		now := time.Now()
		g.directory.load.measure(now.Sub(last))
		last = now
	}
}
