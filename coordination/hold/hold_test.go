package hold

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestPausedDaemonDoesNotDispatch(t *testing.T) {
	l := NewLease(start)
	if !l.Valid(after(LeaseDuration), true) || l.Valid(after(LeaseDuration), false) {
		t.Error("within the lease duration only a confirmed daemon may dispatch")
	}
	resumed := after(LeaseDuration + 1)
	if l.Valid(resumed, true) {
		t.Error("expired lease is valid before it was renewed")
	}
	if l.Renew(resumed) {
		t.Error("Renew did not report the pause")
	}
	if !l.Renew(resumed.Add(time.Millisecond)) {
		t.Error("Renew reported the same pause twice")
	}
}

func TestClaim(t *testing.T) {
	noReply := []Reply{{Member: "b", Unanswered: true}}
	dead := []Reply{{Member: "b", Unanswered: true, Dead: true}}
	within, past := LeaseDuration+LeaseMargin, LeaseDuration+LeaseMargin+1
	for name, c := range map[string]struct {
		replies   []Reply
		confirmed bool
		// repeatedFor is how long the claim has been repeated.
		repeatedFor time.Duration
		want        ClaimDecision
	}{
		"no members":                            {nil, true, 0, ClaimDecision{MayDispatch: true}},
		"not confirmed, no known members":       {nil, false, within, ClaimDecision{Unverified: true}},
		"not confirmed, no members, timed out":  {nil, false, past, ClaimDecision{MayDispatch: true, Unverified: true}},
		"all members agree":                     {[]Reply{{Member: "b", InUse: 2}, {Member: "c", InUse: 1}}, true, 0, ClaimDecision{MayDispatch: true, Reserved: 3}},
		"claim denied":                          {[]Reply{{Member: "b", Denied: true}}, true, past, ClaimDecision{Denied: true}},
		"no reply":                              {noReply, true, within, ClaimDecision{}},
		"no reply, timed out":                   {noReply, true, past, ClaimDecision{MayDispatch: true, Unverified: true}},
		"dead member":                           {dead, true, 0, ClaimDecision{MayDispatch: true}},
		"not confirmed, dead member":            {dead, false, within, ClaimDecision{Unverified: true}},
		"not confirmed, dead member, timed out": {dead, false, past, ClaimDecision{MayDispatch: true, Unverified: true}},
		"dead member and no reply from another": {append([]Reply{{Member: "c", Unanswered: true}}, dead...), true, within, ClaimDecision{}},
	} {
		l := NewLease(start)
		for at := time.Duration(0); at < c.repeatedFor; at += time.Second {
			DecideClaim(l, c.replies, c.confirmed, after(at))
		}
		if got := DecideClaim(l, c.replies, c.confirmed, after(c.repeatedFor)); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

func TestMissedRepliesMustBeConsecutive(t *testing.T) {
	noReply := []Reply{{Member: "b", Unanswered: true}}
	const past = LeaseDuration + LeaseMargin + time.Millisecond
	for name, c := range map[string]struct {
		unanswered []time.Duration
		replied    bool
		want       bool
	}{
		"all missed":     {[]time.Duration{0, time.Second, 2 * time.Second}, false, true},
		"member replied": {[]time.Duration{0, time.Second, 2 * time.Second}, true, false},
		"no claim sent":  {[]time.Duration{0}, false, false},
	} {
		l := NewLease(start)
		for _, at := range c.unanswered {
			DecideClaim(l, noReply, true, after(at))
		}
		if c.replied {
			DecideClaim(l, []Reply{{Member: "b"}}, true, after(2*time.Second+time.Millisecond))
		}
		if decision := DecideClaim(l, noReply, true, after(past)); decision.MayDispatch != c.want {
			t.Errorf("%s: got %+v after missed replies, want MayDispatch %v", name, decision, c.want)
		}
	}
}

func TestReservedSlots(t *testing.T) {
	verified := ClaimDecision{MayDispatch: true, Reserved: 1}
	unverified := ClaimDecision{MayDispatch: true, Unverified: true}
	for name, c := range map[string]struct {
		decision ClaimDecision
		report   *LoadReport
		own      int
		heldFor  time.Duration
		want     int
	}{
		"members report more":        {verified, &LoadReport{InUse: 0}, 0, 0, 1},
		"upstream reports more":      {verified, &LoadReport{InUse: 3}, 1, 0, 2},
		"no load report":             {verified, nil, 0, 0, 4},
		"report above slot count":    {verified, &LoadReport{InUse: 9}, 0, 0, 4},
		"reservation expired":        {verified, &LoadReport{InUse: 4}, 0, MaxReserveDuration, 0},
		"unverified, other requests": {unverified, &LoadReport{InUse: 4}, 0, MaxReserveDuration, 3},
		"unverified, own requests":   {unverified, &LoadReport{InUse: 2}, 2, MaxReserveDuration, 0},
		"unverified, no load report": {unverified, nil, 0, MaxReserveDuration, 3},
	} {
		if got := ReservedSlots(c.decision, c.report, 4, c.own, c.heldFor); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
}

func TestInvalidLoadReports(t *testing.T) {
	for name, r := range map[string]LoadReport{
		"negative":        {InUse: -1, CreatedAt: start},
		"above capacity":  {InUse: 331, CreatedAt: start},
		"stale":           {InUse: 1, CreatedAt: start.Add(-maxReportAge - 1)},
		"from the future": {InUse: 1, CreatedAt: start.Add(maxReportSkew + 1)},
	} {
		if r.Valid(330, start) {
			t.Errorf("%s: report is valid", name)
		}
	}
	if !(LoadReport{InUse: 330, CreatedAt: start}).Valid(330, start) {
		t.Error("report in range is invalid")
	}
}

func TestSlowStartGrowsToAllSlots(t *testing.T) {
	for usableFor, want := range map[time.Duration]int{0: 2, slowStartStep: 4, 2 * slowStartStep: 8, time.Hour: 8} {
		if got := SlowStartSlots(8, usableFor); got != want {
			t.Errorf("after %v: got %d, want %d", usableFor, got, want)
		}
	}
	if got := SlowStartSlots(1, 0); got != 1 {
		t.Errorf("one slot: got %d, want 1", got)
	}
}
