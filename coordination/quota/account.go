package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// demandPeriod and recentPeriod are the periods over which demand is averaged. The
	// lower average counts, so that neither a single request nor a rush that has ended
	// keeps units in stock.
	demandPeriod = 2 * time.Second
	recentPeriod = 500 * time.Millisecond
	// stockFraction and maxStock bound the time for which a daemon keeps units in
	// stock: a fraction of their life, and a time.
	stockFraction = 0.7
	maxStock      = time.Second
	// idlePeriod is the time without demand after which an account is forgotten.
	idlePeriod = 10 * time.Second
)

// batch is a number of units that end at the same time.
type batch struct {
	units int
	until time.Time
}

// account is what a daemon knows of one organisation with demand.
type account struct {
	plan plan
	// saved are the units saved up by issuing, and issuedAt the time up to which they
	// were counted.
	saved    float64
	issuedAt time.Time
	// issuedFrom are the parts held at issuedAt.
	issuedFrom float64
	// stock are units received from the parent, in the order of their ends.
	stock []batch

	// demand and recent are the numbers of units asked for in about the latest
	// demandPeriod and recentPeriod.
	demand, recent float64
	demandAt       time.Time
	// waiting counts the units for which a request or a child waits, and calledFor those
	// that the latest call asked for.
	waiting, calledFor int
	// emptyAt is when other daemons had no units, or zero if they had some since.
	emptyAt time.Time
	// roomAt is when the parent expects units, and askedAt the time of the latest
	// demand.
	roomAt, askedAt time.Time
}

func (a *account) recordDemand(units int, now time.Time) {
	a.decay(now)
	a.demand += float64(units)
	a.recent += float64(units)
	a.askedAt = now
}

func (a *account) decay(now time.Time) {
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
		a.recent *= math.Exp(-elapsed.Seconds() / recentPeriod.Seconds())
		a.demandAt = now
	}
}

// expected returns the number of units that will be asked for in stockPeriod.
func (a *account) expected(now time.Time) float64 {
	a.decay(now)
	perSecond := min(a.demand/demandPeriod.Seconds(), a.recent/recentPeriod.Seconds())
	return perSecond * a.stockPeriod().Seconds()
}

// stockPeriod is the time for which a daemon keeps units in stock.
func (a *account) stockPeriod() time.Duration {
	return min(time.Duration(stockFraction*float64(a.plan.life)), maxStock)
}

// issue adds the units issued since the last call. Parts received since then count from
// now on, since their earlier holder has issued from them until then.
func (a *account) issue(held float64, now time.Time) {
	if elapsed := now.Sub(a.issuedAt); elapsed > 0 {
		a.saved += a.plan.perSecond * min(held, a.issuedFrom) * elapsed.Seconds()
		a.issuedAt = now
	}
	a.issuedFrom = held
	a.saved = min(a.saved, a.plan.mostSaved(held))
}

// units returns the units in stock.
func (a *account) units(now time.Time) int {
	a.stock = slices.DeleteFunc(a.stock, func(b batch) bool { return b.units == 0 || !now.Before(b.until) })
	sum := 0
	for _, b := range a.stock {
		sum += b.units
	}
	return sum
}

func (a *account) add(units int, until time.Time) {
	at, _ := slices.BinarySearchFunc(a.stock, until, func(b batch, t time.Time) int { return b.until.Compare(t) })
	a.stock = slices.Insert(a.stock, at, batch{units, until})
}

// take removes up to want units that end after now, and returns the earliest end of
// those. The units are all in stock or all newly issued.
func (a *account) take(want int, now time.Time) (units int, until time.Time) {
	if want <= 0 {
		return 0, now
	}
	if a.units(now) == 0 {
		units = min(want, int(a.saved))
		a.saved -= float64(units)
		return units, now.Add(a.plan.life)
	}
	until = a.stock[0].until
	for i := range a.stock {
		n := min(want-units, a.stock[i].units)
		a.stock[i].units -= n
		units += n
	}
	return units, until
}

// want returns the number of units to ask the parent for.
func (a *account) want(now time.Time) int {
	return max(0, a.waiting+int(a.expected(now))-a.units(now))
}

// deficit returns the number of units to ask other issuers for.
func (a *account) deficit(held float64, now time.Time) int {
	return max(0, a.want(now)-int(a.saved+a.plan.perSecond*held*a.stockPeriod().Seconds()))
}

// spare returns the units that are left over for other issuers.
func (a *account) spare(held float64, now time.Time) int {
	return int(max(0, a.saved-min(a.expected(now), a.plan.mostSaved(held)/2)))
}

// room returns the time until a unit is expected, at a daemon that issues from held
// parts or else gets units from its parent.
func (a *account) room(held float64, now time.Time) time.Duration {
	perSecond := a.plan.perSecond * held
	if perSecond <= 0 {
		return min(maxRoom, max(emptyPeriod, a.roomAt.Sub(now)))
	}
	// Those who come back share the units with new requests.
	backlog := max(1, a.demand/demandPeriod.Seconds()/perSecond)
	return min(maxRoom, time.Duration(max(0, 1-a.saved)*backlog/perSecond*float64(time.Second)))
}
