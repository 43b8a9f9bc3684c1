// Package placement ranks the upstreams that may run a request.
package placement

import "bilberrytiller.example/tiller/coordination/membership"

// distanceOf returns 0 for the member's own data centre, 1 for another one in
// its region and 2 for any other.
func distanceOf(self membership.Member, dataCentre, region string) int {
	switch {
	case dataCentre == self.DataCentre:
		return 0
	case region == self.Region:
		return 1
	}
	return 2
}
