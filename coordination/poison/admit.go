package poison

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// crashMoment is the time within which crashes count as one, since servers that
	// end together may have a common cause outside the requests that they ran.
	crashMoment = time.Second
	// A blocked request runs on trial trialPause after its latest crash, and after
	// each trial that crashed a server, trialGrowth times as long a pause later, up
	// to maxTrialPause.
	trialPause    = 10 * time.Second
	trialGrowth   = 4
	maxTrialPause = time.Hour
	// trialTimeout is how long a trial run may take to end before another may
	// begin.
	trialTimeout = 10 * time.Second
	// maxCrashTTL bounds how long any crash counts.
	maxCrashTTL = 4 * maxTrialPause
)

// Admit reports whether a request may be sent to a server now. A request whose
// servers crashed at BlockThreshold separate moments is blocked, apart from trial
// runs: one at a time at this daemon, and with pauses that differ between daemons,
// so that as a rule one daemon alone learns the result and the others hear of it.
func (t *Tracker) Admit(d Digest, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	moments, last := t.countMoments(t.active(d, now))
	if moments < BlockThreshold {
		return true
	}
	pause := trialPauseAfter(moments)
	pause += time.Duration(float64(pause) * t.trialOffset(d))
	if now.Before(last.Add(pause)) || now.Before(t.trials[d].Add(trialTimeout)) {
		return false
	}
	t.trials[d] = now
	return true
}

// IsBlocked reports whether a request may be sent on trial only.
func (t *Tracker) IsBlocked(d Digest, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	moments, _ := t.countMoments(t.active(d, now))
	return moments >= BlockThreshold
}

// WithExpiry returns a new crash with its expiry. It outlasts the pause before the
// next trial run, so that the pauses keep growing.
func (t *Tracker) WithExpiry(c Crash) Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	moments, _ := t.countMoments(append(t.active(c.Digest, c.At), c))
	c.Expires = c.At.Add(max(CrashTTL, 4*trialPauseAfter(moments)))
	return c
}

// countMoments returns the number of moments at which servers crashed, given the
// crashes of one request, and the time of the latest crash. Crashes within one
// moment count separately only if the request reached one server after it had
// crashed the other, and only servers that ran it crashed. The caller holds t.mu.
func (t *Tracker) countMoments(crashes []Crash) (moments int, last time.Time) {
	slices.SortFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	var began time.Time
	for i, c := range crashes {
		last = c.At
		if i > 0 && c.At.Sub(began) <= crashMoment && (!c.Began.After(crashes[i-1].At) || t.othersCrashed(crashes, c.At)) {
			continue
		}
		moments++
		began = c.At
	}
	return moments, last
}

// othersCrashed reports whether servers crashed within a moment of a time without
// having run the request of the given crashes.
func (t *Tracker) othersCrashed(crashes []Crash, at time.Time) bool {
	for server, crashed := range t.servers {
		if at.Sub(crashed).Abs() <= crashMoment && !slices.ContainsFunc(crashes, func(c Crash) bool { return c.ID == server }) {
			return true
		}
	}
	return false
}

// trialPauseAfter returns the shortest pause before a trial run of a request with
// crashes at the given number of moments.
func trialPauseAfter(moments int) time.Duration {
	pause := trialPause
	for n := BlockThreshold; n < moments && pause < maxTrialPause; n++ {
		pause *= trialGrowth
	}
	return min(pause, maxTrialPause)
}

// trialOffset returns by which fraction of a pause this daemon waits longer than
// the shortest pause for a request, from 0 to 1.
func (t *Tracker) trialOffset(d Digest) float64 {
	h := fnv.New64a()
	h.Write([]byte(t.daemon))
	h.Write(d[:])
	// The high bits of FNV hardly differ between similar names.
	return float64(binary.BigEndian.Uint16(h.Sum(nil)[6:])) / (1 << 16)
}
