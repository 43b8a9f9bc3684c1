// Package placement decides which upstream runs a request.
package placement

import "bilberrytiller.example/tiller/coordination/membership"

func distanceOf(self membership.Member, dataCentre, region string) int {
	switch {
	case dataCentre == self.DataCentre:
		return 0
	case region == self.Region:
		return 1
	}
	return 2
}
