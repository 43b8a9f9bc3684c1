package quota

import (
	"math"
	"time"
)

// Limit is the quota of one organisation over all daemons.
type Limit struct {
	// RatePerSecond is in requests per second, and Burst in requests. A rate of 0
	// means that there is no quota.
	RatePerSecond, Burst float64
}

// Bounds say by how much a quota may be exceeded: in any Window, an organisation may
// run (rate * Window + burst) * (1 + Overshoot) + Slack requests.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	// Slack is in requests.
	Slack float64
}

// Enabled reports whether quotas are enforced.
func (b Bounds) Enabled() bool { return b.Window > 0 }

const (
	// minLifeFraction is the shortest life of a unit as a fraction of the window.
	minLifeFraction = 0.08
	// savedSlackFraction is the fraction of the slack that may be saved up in addition
	// to the burst.
	savedSlackFraction = 0.4
	// extraPerSecond is added to the rate of a quota where the slack allows it, in
	// requests per second.
	extraPerSecond = 2
	// countMargin is the fraction of a rate that is issued. The rest covers daemons
	// that differ for a moment in the number of daemons.
	countMargin = 0.98
)

// plan is how units of a quota are issued by the holder of all parts.
type plan struct {
	// perSecond is the rate of issue, and saved the most units that may be saved up.
	perSecond, saved float64
	// life is how long after its issue a unit may be used.
	life time.Duration
}

// planFor returns the plan that keeps the bounds: the units used in a window were
// saved up before it or issued in it or at most life before it.
func planFor(l Limit, b Bounds) plan {
	window := b.Window.Seconds()
	allowed := (l.RatePerSecond*window+l.Burst)*(1+b.Overshoot) + b.Slack
	saved := max(l.Burst+savedSlackFraction*b.Slack, min(1, allowed/2))
	minLife := minLifeFraction * window
	perSecond := min(l.RatePerSecond+extraPerSecond, (allowed-saved)/(window+minLife))
	life := min((allowed-saved)/perSecond-window, window)
	return plan{
		perSecond: perSecond * countMargin, saved: saved,
		life: time.Duration(math.Max(life, 0) * float64(time.Second)),
	}
}

// mostSaved returns the most units that the holder of held parts may save up.
func (p plan) mostSaved(held float64) float64 { return p.saved * held }
