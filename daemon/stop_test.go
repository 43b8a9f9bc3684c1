package daemon

import (
	"errors"
	"testing"
	"time"
)

func TestStopTimeoutMustOutlastLookups(t *testing.T) {
	for _, c := range []struct {
		ttl, timeout time.Duration
		valid        bool
	}{
		{5 * time.Second, 5 * time.Second, false},
		{5 * time.Second, 5*time.Second + leavePropagationTime, false},
		{5 * time.Second, 7 * time.Second, true},
	} {
		var s Settings
		s.LookupTTL, s.StopTimeout = c.ttl, c.timeout
		err := s.checkStopTimeout()
		var wrong *SettingError
		if c.valid != (err == nil) || (err != nil && !errors.As(err, &wrong)) {
			t.Errorf("look-ups %v, stop timeout %v: %v", c.ttl, c.timeout, err)
		}
	}
}
