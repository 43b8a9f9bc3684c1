package daemon

import (
	"slices"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/placement"
	"bilberrytiller.example/tiller/coordination/shift"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
)

// shifts limits how fast the traffic of services with a shift cap moves
// between regions.
type shifts struct {
	mu       sync.Mutex
	trackers map[string]*shift.Tracker
}

func newShifts() *shifts { return &shifts{trackers: map[string]*shift.Tracker{}} }

// allowedCandidates returns the candidates in the regions that may receive the
// request. If there is none, it records a refusal as the request's answer.
func (s *shifts) allowedCandidates(set *catalogue.Set, r *routing, candidates []placement.Candidate) []placement.Candidate {
	service := set.Service(r.req.Service)
	if service == nil || service.Limits.ShiftPerMinute == 0 || len(candidates) == 0 {
		return candidates
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tracker(service, regionOf(set, candidates[0]))
	if !r.shiftCounted {
		t.Accrue(time.Now(), regionsOf(set, candidates))
	}
	out := slices.DeleteFunc(candidates, func(c placement.Candidate) bool { return !t.Allowed(regionOf(set, c)) })
	if len(out) == 0 {
		r.recordAnswer(request.NotRunAnswer(request.ReasonShift, "limits.shift_per_minute does not let traffic move to another region this fast"))
		return nil
	}
	if !r.shiftCounted {
		t.Spend(regionOf(set, out[0]))
	}
	r.shiftCounted = true
	return out
}

// recordServed counts an answered request for the region that answered it.
func (s *shifts) recordServed(set *catalogue.Set, r *routing) {
	u := set.Upstream(r.answer.Upstream)
	if u == nil || r.answer.Outcome != request.OutcomeDone {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.trackers[r.req.Service]; t != nil {
		t.RecordServed(set.RegionOf(u.DataCentre))
	}
}

// tracker returns the tracker of a service. A new tracker assumes that all
// traffic goes to the home region, the best region for the service's first
// request.
func (s *shifts) tracker(service *catalogue.Service, home string) *shift.Tracker {
	t, ok := s.trackers[service.Name]
	if !ok {
		t = shift.NewTracker(home, service.Limits.ShiftPerMinute, time.Now())
		s.trackers[service.Name] = t
	}
	t.SetCap(service.Limits.ShiftPerMinute)
	return t
}

func regionOf(set *catalogue.Set, c placement.Candidate) string {
	return set.RegionOf(c.Upstream.DataCentre)
}

func regionsOf(set *catalogue.Set, candidates []placement.Candidate) []string {
	var out []string
	for _, c := range candidates {
		if region := regionOf(set, c); !slices.Contains(out, region) {
			out = append(out, region)
		}
	}
	return out
}
