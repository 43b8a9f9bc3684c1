package limit

import (
	"testing"
	"time"
)

// Shape of the benchmark: nine daemons share a rate of 900 requests a second,
// and demand is given in requests a second at each.
const (
	benchHosts   = 9
	benchRate    = 900
	benchSeconds = 20
	benchTick    = 10 * time.Millisecond
	benchBorrow  = 250 * time.Millisecond
)

// shapes are the ways in which demand lies over the daemons.
var shapes = map[string]func(host int, second int) int{
	"even":    func(int, int) int { return benchRate / benchHosts },
	"one":     func(host, _ int) int { return onlyAt(host == 0, benchRate) },
	"three":   func(host, _ int) int { return onlyAt(host < 3, benchRate/3) },
	"moving":  func(host, second int) int { return onlyAt(host == second/4%benchHosts, benchRate) },
	"flood":   func(int, int) int { return 4 * benchRate / benchHosts },
	"halfone": func(host, _ int) int { return onlyAt(host == 0, benchRate/2) },
}

func onlyAt(here bool, rate int) int {
	if here {
		return rate
	}
	return 0
}

// BenchmarkWaste reports, in percent of what demand and limit allow, what is
// served with loans and with equal shares alone, and the most uses in a
// second in percent of the limit.
func BenchmarkWaste(b *testing.B) {
	for name, demand := range shapes {
		for _, loans := range []bool{false, true} {
			policy := "shares"
			if loans {
				policy = "loans"
			}
			b.Run(name+"/"+policy, func(b *testing.B) {
				for range b.N {
					served, wanted, most := benchRun(demand, loans)
					b.ReportMetric(100*float64(served)/float64(wanted), "%served")
					b.ReportMetric(100*float64(most)/benchRate, "%peak")
				}
			})
		}
	}
}

func benchRun(demand func(host, second int) int, loans bool) (served, wanted, most int) {
	f := newFleet(benchHosts, benchRate, UsePolicy{MaxDuration: time.Second})
	f.heal()
	ticks := int(time.Second / benchTick)
	for tick := range benchSeconds * ticks {
		f.now = f.now.Add(benchTick)
		f.endDue()
		for host, n := range f.nodes {
			rate := demand(host, tick/ticks)
			due := rate*(tick+1)/ticks - rate*tick/ticks
			wanted += due
			for range due {
				if f.take(n) {
					served++
				}
			}
		}
		most = max(most, len(f.uses))
		if loans && tick%int(benchBorrow/benchTick) == 0 {
			benchBorrowRound(f)
		}
	}
	return served, min(wanted, benchRate*benchSeconds), most
}

// benchBorrowRound has each daemon that lacks units ask the others in turn.
func benchBorrowRound(f *fleet) {
	for _, n := range f.nodes {
		f.giveBack(n)
		for len(f.flight) > 0 {
			f.deliver(0)
		}
		for lender := range f.nodes {
			f.ask(n, lender)
			for len(f.flight) > 0 {
				f.deliver(0)
			}
		}
	}
}
