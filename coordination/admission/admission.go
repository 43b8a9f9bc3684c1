// Package admission decides which callers' requests a daemon serves at once.
//
// The requests in flight are bounded, and the places are given out like the
// slots of an upstream, by rank, owner and guaranteed minimum. No rank takes
// all places, so that requests of one rank that wait for busy upstreams do not
// keep out those of another rank whose upstreams are idle.
package admission

import (
	"context"
	"time"

	"bilberrytiller.example/tiller/coordination/schedule"
)

const (
	// maxInFlight is the number of requests served at once.
	maxInFlight = 1024
	// maxWaiting is the number of requests that wait to be served.
	maxWaiting = 1024
	// rankShare is the largest part of the places that one rank may use.
	rankShare = 0.5
	// leastGuaranteed is the part of the places that a service keeps.
	leastGuaranteed = 0.05
)

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	scheduler *schedule.Scheduler
}

// New returns a controller of one daemon.
func New() *Controller {
	limits := schedule.Limits{Slots: maxInFlight, MaxWaiting: maxWaiting, MaxRankShare: rankShare, IgnoreServiceTime: true}
	return &Controller{scheduler: schedule.New(limits)}
}

// Admit waits for a place. After a nil error the caller must call release
// once. Errors are those of schedule.Scheduler.Acquire.
func (c *Controller) Admit(ctx context.Context, class schedule.Class, deadline time.Time) (release func(), err error) {
	class.Guaranteed = max(class.Guaranteed, leastGuaranteed)
	return c.scheduler.Acquire(ctx, class, deadline)
}
