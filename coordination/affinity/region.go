package affinity

import (
	"math"
	"time"
)

const (
	// minDetour and fullDetour are the round trips to the nearest other region,
	// as fractions of the latency objective, up to which no object is kept near
	// its callers and from which as many as possible are. A short detour is worth
	// less than servers that share the peaks of all regions.
	minDetour  = 0.15
	fullDetour = 0.25
)

// Locality returns the fraction, from 0 to 1, of the objects that a region's
// share of all slots carries which are worth keeping there. detour is the round
// trip to the nearest other region, or 0 if unknown, and objective the latency
// objective of the requests.
func Locality(detour, objective time.Duration) float64 {
	if detour <= 0 || objective <= 0 {
		return 0
	}
	fraction := float64(detour) / float64(objective)
	return min(1, max(0, (fraction-minDetour)/(fullDetour-minDetour)))
}

// Region is the capacity of a service in a region and the demand for it there.
type Region struct {
	Name string
	// Slots is the number of slots of the region's servers.
	Slots float64
	// Demand is the region's expected fraction of all requests.
	Demand float64
}

// Plan divides the objects that are requested in a region between that region's
// servers and all others, so that each server gets work in proportion to its
// slots. The zero Plan keeps no object in its region and weights all servers
// alike.
type Plan struct {
	// Kept is the fraction of the region's own objects that stay there.
	Kept float64
	// weights holds the weight of a server of each region for the other objects.
	weights map[string]float64
}

// NewPlan returns the plan of the objects that are requested in a region.
// locality is the result of Locality.
func NewPlan(regions []Region, requestedIn string, locality float64) Plan {
	total := 0.0
	for _, r := range regions {
		total += r.Slots
	}
	var p Plan
	if total <= 0 || locality <= 0 {
		return p
	}
	p.weights = map[string]float64{}
	for _, r := range regions {
		kept := locality
		if share := r.Slots / total; share < r.Demand {
			kept *= share / r.Demand
		}
		if r.Name == requestedIn {
			p.Kept = kept
		}
		if r.Slots > 0 {
			p.weights[r.Name] = max(minWeight, 1-kept*r.Demand*total/r.Slots)
		}
	}
	return p
}

// minWeight is the weight of a server without spare slots.
const minWeight = 1e-6

// Keeps reports whether an object stays in the region that the plan is for.
func (p Plan) Keeps(object uint64) bool { return Fraction(object) < p.Kept }

// Distance returns the rank of a server for an object that does not stay in its
// region: the server with the least distance ranks first.
func (p Plan) Distance(object, server uint64, region string) float64 {
	// The least of exponentially distributed values wins in proportion to its
	// weight, and a change of one weight moves only the objects gained or lost.
	// With equal weights, the order is that of descending scores.
	weight, ok := p.weights[region]
	if !ok {
		weight = 1
	}
	return -math.Log(fraction(Score(object, server))) / weight
}

// fraction maps a hash to a number in [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
