package limit

import (
	"testing"
	"time"
)

// In the benchmark nine daemons share a rate limit of 900 requests per second.
// Demand is given in requests per second at each daemon.
const (
	benchHosts   = 9
	benchRate    = 900
	benchSeconds = 20
	benchTick    = 10 * time.Millisecond
	benchBorrow  = 250 * time.Millisecond
)

// demandPatterns are the distributions of demand over the daemons.
var demandPatterns = map[string]func(host int, second int) int{
	"even":             func(int, int) int { return benchRate / benchHosts },
	"one-host":         func(host, _ int) int { return rateIf(host == 0, benchRate) },
	"three-hosts":      func(host, _ int) int { return rateIf(host < 3, benchRate/3) },
	"moving":           func(host, second int) int { return rateIf(host == second/4%benchHosts, benchRate) },
	"overload":         func(int, int) int { return 4 * benchRate / benchHosts },
	"half-at-one-host": func(host, _ int) int { return rateIf(host == 0, benchRate/2) },
}

func rateIf(active bool, rate int) int {
	if active {
		return rate
	}
	return 0
}

// BenchmarkUtilization compares fixed equal shares with loans. It reports the
// requests served in percent of what demand and limit allow, and the most
// requests within one second in percent of the limit.
func BenchmarkUtilization(b *testing.B) {
	for name, demand := range demandPatterns {
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
	f.recoverAll()
	ticks := int(time.Second / benchTick)
	for tick := range benchSeconds * ticks {
		f.now = f.now.Add(benchTick)
		f.endExpired()
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

// benchBorrowRound lets each daemon return its surplus and then request units
// from the other daemons in turn.
func benchBorrowRound(f *fleet) {
	for _, n := range f.nodes {
		f.returnSurplus(n)
		for len(f.inFlight) > 0 {
			f.deliver(0)
		}
		for lender := range f.nodes {
			f.requestLoan(n, lender)
			for len(f.inFlight) > 0 {
				f.deliver(0)
			}
		}
	}
}
