// Package drain tracks from load reports which upstreams are draining.
//
// Reports may be delayed, reordered, lost or stamped by a wrong clock. The
// latest accepted report of an upstream holds until a newer one replaces it.
package drain

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// MaxClockSkew is how far a backend server's clock may be ahead of the
// daemon's.
const MaxClockSkew = 5 * time.Second

// Reasons for which Record drops a report.
var (
	// ErrFuture means that a report's timestamp is more than MaxClockSkew ahead.
	ErrFuture = errors.New("load report is from the future")
	// ErrStale means that a newer report has already been recorded.
	ErrStale = errors.New("load report is older than the previous one")
	// ErrOutOfRange means that a report contains a negative number.
	ErrOutOfRange = errors.New("load report is out of range")
)

// Report is the load that an upstream reports for itself.
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

// Record stores a report, or returns the reason for dropping it.
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

// Draining reports whether an upstream is draining according to its latest
// report.
func (r *Reports) Draining(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[upstream].Draining
}
