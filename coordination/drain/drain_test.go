package drain

import (
	"errors"
	"testing"
	"time"
)

func TestInvalidReportsAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewReports()
	for _, c := range []struct {
		name     string
		report   Report
		want     error
		draining bool
	}{
		{"first", Report{Slots: 4, Timestamp: now}, nil, false},
		{"draining", Report{Slots: 4, Draining: true, Timestamp: now.Add(time.Second)}, nil, true},
		{"stale", Report{Slots: 4, Timestamp: now}, ErrStale, true},
		{"negative", Report{Slots: 4, InUse: -1, Timestamp: now.Add(2 * time.Second)}, ErrOutOfRange, true},
		{"future", Report{Slots: 4, Timestamp: now.Add(time.Minute)}, ErrFuture, true},
		{"no longer draining", Report{Slots: 4, Timestamp: now.Add(2 * time.Second)}, nil, false},
	} {
		if err := r.Record("u", c.report, now.Add(2*time.Second)); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
		if got := r.Draining("u"); got != c.draining {
			t.Errorf("%s: draining %v, want %v", c.name, got, c.draining)
		}
	}
}
