package daemon

import (
	"sync"
	"sync/atomic"
)

// inFlight counts the requests that are being served.
type inFlight struct {
	wait  sync.WaitGroup
	count atomic.Int64
}

// begin counts a request and returns what ends it.
func (f *inFlight) begin() (end func()) {
	f.wait.Add(1)
	f.count.Add(1)
	return func() {
		f.count.Add(-1)
		f.wait.Done()
	}
}

// InFlight returns the number of requests that are being served.
func (d *Daemon) InFlight() int64 { return d.inFlight.count.Load() }
