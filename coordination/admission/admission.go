// Package admission limits the caller requests that a daemon serves
// concurrently.
//
// The daemon has a fixed number of slots, which are assigned like those of an
// upstream, by rank, owner and guaranteed minimum. No rank may use all slots,
// so that requests of one rank waiting for busy upstreams do not block those of
// another rank whose upstreams are idle.
package admission

import (
	"context"
	"time"

	"bilberrytiller.example/tiller/coordination/schedule"
)

const (
	// maxInFlight is the maximum number of requests served at once.
	maxInFlight = 1024
	// maxQueued is the maximum number of requests waiting for a slot.
	maxQueued = 1024
	// maxRankShare is the largest fraction of the slots that one rank may use.
	maxRankShare = 0.5
	// minGuaranteed is the smallest fraction of the slots that is guaranteed
	// to a service.
	minGuaranteed = 0.05
)

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	scheduler *schedule.Scheduler
}

// New returns a controller for one daemon.
func New() *Controller {
	limits := schedule.Limits{Slots: maxInFlight, MaxWaiting: maxQueued, MaxRankShare: maxRankShare, IgnoreServiceTime: true}
	return &Controller{scheduler: schedule.New(limits)}
}

// Admit waits for a slot. If err is nil, the caller must call release once.
// Errors are those of schedule.Scheduler.Acquire.
func (c *Controller) Admit(ctx context.Context, class schedule.Class, deadline time.Time) (release func(), err error) {
	class.Guaranteed = max(class.Guaranteed, minGuaranteed)
	return c.scheduler.Acquire(ctx, class, deadline)
}
