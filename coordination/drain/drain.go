// Package drain decides from load reports which upstreams are leaving.
//
// A report may lag, arrive out of order or carry a wrong clock, and may be
// missing. What an upstream last said of itself stands until a newer report
// says otherwise.
package drain

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// MaxClockSkew is how far the clock of a backend server may be ahead.
const MaxClockSkew = 5 * time.Second

// Causes of a report that is dropped.
var (
	// ErrFuture says that a report claims to be from the future.
	ErrFuture = errors.New("load report is from the future")
	// ErrStale says that a newer report was taken before.
	ErrStale = errors.New("load report is older than the one before")
	// ErrOutOfRange says that a report's numbers cannot be true.
	ErrOutOfRange = errors.New("load report is out of range")
)

// Report is what an upstream says of itself.
type Report struct {
	Slots     int
	InUse     int
	Draining  bool
	Timestamp time.Time
}

// Reports keeps the latest report of each upstream. It is safe for
// concurrent use.
type Reports struct {
	mu     sync.Mutex
	latest map[string]Report
}

// NewReports returns an empty Reports.
func NewReports() *Reports { return &Reports{latest: map[string]Report{}} }

// Record takes a report over, or says why it is dropped.
func (r *Reports) Record(upstream string, report Report, now time.Time) error {
	if report.Slots < 0 || report.InUse < 0 {
		return fmt.Errorf("%s: %d slots, %d in use: %w", upstream, report.Slots, report.InUse, ErrOutOfRange)
	}
	if ahead := report.Timestamp.Sub(now); ahead > MaxClockSkew {
		return fmt.Errorf("%s: %v ahead: %w", upstream, ahead, ErrFuture)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if report.Timestamp.Before(r.latest[upstream].Timestamp) {
		return fmt.Errorf("%s: %w", upstream, ErrStale)
	}
	r.latest[upstream] = report
	return nil
}

// Draining reports whether an upstream's latest report says that it leaves.
func (r *Reports) Draining(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[upstream].Draining
}
