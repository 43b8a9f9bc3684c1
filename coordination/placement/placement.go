// Package placement decides which entry hosts a caller is told and which
// upstream runs a request.
package placement

import (
	"cmp"
	"slices"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/state/catalogue"
)

// Hosts returns the entry hosts for a caller near self, best first.
func Hosts(set *catalogue.Set, view *membership.View) []membership.Member {
	var out []membership.Member
	for _, m := range view.Members() {
		if m.State == membership.Alive && m.Incarnation != "" && !set.HostLeaving(m.ID, m.DataCentre) {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b membership.Member) int {
		return cmp.Compare(distanceOf(view.Self, a.DataCentre, a.Region), distanceOf(view.Self, b.DataCentre, b.Region))
	})
	return out
}

func distanceOf(self membership.Member, dataCentre, region string) int {
	switch {
	case dataCentre == self.DataCentre:
		return 0
	case region == self.Region:
		return 1
	}
	return 2
}
