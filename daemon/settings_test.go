package daemon

import (
	"errors"
	"testing"
	"time"
)

// TestStopTimeoutMustOutlastLookups guards against a stop that ends while
// callers still hold look-ups that name this daemon, and so cuts them off.
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
		var settingErr *SettingError
		if c.valid != (err == nil) || (err != nil && !errors.As(err, &settingErr)) {
			t.Errorf("look-up TTL %v, stop timeout %v: got error %v", c.ttl, c.timeout, err)
		}
	}
}
