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
		t.Error("within its term only a confirmed daemon may dispatch")
	}
	resumed := after(LeaseDuration + 1)
	if l.Valid(resumed, true) {
		t.Error("lease is valid before the daemon looked at its duties")
	}
	if l.Renew(resumed) {
		t.Error("the pause was not noticed")
	}
	if !l.Renew(resumed.Add(time.Millisecond)) {
		t.Error("a pause was noticed twice")
	}
}

func TestClaim(t *testing.T) {
	silent := []Reply{{Member: "b", Unanswered: true}}
	dead := []Reply{{Member: "b", Unanswered: true, Dead: true}}
	within, past := LeaseDuration+LeaseMargin, LeaseDuration+LeaseMargin+1
	for name, c := range map[string]struct {
		replies   []Reply
		confirmed bool
		// since is how long the member has been asked.
		since time.Duration
		want  ClaimDecision
	}{
		"no members":                {nil, true, 0, ClaimDecision{MayDispatch: true}},
		"none known":                {nil, false, within, ClaimDecision{Unverified: true}},
		"none known for long":       {nil, false, past, ClaimDecision{MayDispatch: true, Unverified: true}},
		"all agree":                 {[]Reply{{Member: "b", InUse: 2}, {Member: "c", InUse: 1}}, true, 0, ClaimDecision{MayDispatch: true, Reserved: 3}},
		"one still dispatches":      {[]Reply{{Member: "b", Denied: true}}, true, past, ClaimDecision{Denied: true}},
		"one is silent":             {silent, true, within, ClaimDecision{}},
		"one is silent for long":    {silent, true, past, ClaimDecision{MayDispatch: true, Unverified: true}},
		"one is dead":               {dead, true, 0, ClaimDecision{MayDispatch: true}},
		"nobody confirms":           {dead, false, within, ClaimDecision{Unverified: true}},
		"nobody confirms for long":  {dead, false, past, ClaimDecision{MayDispatch: true, Unverified: true}},
		"one is dead, one is quiet": {append([]Reply{{Member: "c", Unanswered: true}}, dead...), true, within, ClaimDecision{}},
	} {
		l := NewLease(start)
		for at := time.Duration(0); at < c.since; at += time.Second {
			DecideClaim(l, c.replies, c.confirmed, after(at))
		}
		if got := DecideClaim(l, c.replies, c.confirmed, after(c.since)); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

func TestEarlierSilenceDoesNotCount(t *testing.T) {
	silent := []Reply{{Member: "b", Unanswered: true}}
	for name, between := range map[string][]Reply{"answered": {{Member: "b"}}, "not asked": nil} {
		l := NewLease(start)
		DecideClaim(l, silent, true, start)
		DecideClaim(l, between, true, after(time.Second))
		if step := DecideClaim(l, silent, true, after(time.Hour)); step.MayDispatch {
			t.Errorf("%s: outwaited at once", name)
		}
	}
}

func TestReserve(t *testing.T) {
	open := ClaimDecision{MayDispatch: true, Reserved: 1}
	alone := ClaimDecision{MayDispatch: true, Unverified: true}
	for name, c := range map[string]struct {
		step   ClaimDecision
		report *LoadReport
		own    int
		held   time.Duration
		want   int
	}{
		"members know more":       {open, &LoadReport{InUse: 0}, 0, 0, 1},
		"upstream knows more":     {open, &LoadReport{InUse: 3}, 1, 0, 2},
		"missing is not zero":     {open, nil, 0, 0, 4},
		"more than the slots":     {open, &LoadReport{InUse: 9}, 0, 0, 4},
		"misleading for long":     {open, &LoadReport{InUse: 4}, 0, MaxReserveDuration, 0},
		"alone beside a holder":   {alone, &LoadReport{InUse: 4}, 0, MaxReserveDuration, 3},
		"alone beside own work":   {alone, &LoadReport{InUse: 2}, 2, MaxReserveDuration, 0},
		"missing for long, alone": {alone, nil, 0, MaxReserveDuration, 3},
	} {
		if got := ReservedSlots(c.step, c.report, 4, c.own, c.held); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
}

func TestReportsThatDoNotCount(t *testing.T) {
	for name, r := range map[string]LoadReport{
		"negative":        {InUse: -1, CreatedAt: start},
		"beyond range":    {InUse: 331, CreatedAt: start},
		"stale":           {InUse: 1, CreatedAt: start.Add(-maxReportAge - 1)},
		"from the future": {InUse: 1, CreatedAt: start.Add(maxReportSkew + 1)},
	} {
		if r.Valid(330, start) {
			t.Errorf("%s: counts", name)
		}
	}
	if !(LoadReport{InUse: 330, CreatedAt: start}).Valid(330, start) {
		t.Error("a report in range does not count")
	}
}

func TestRampGrowsToAllSlots(t *testing.T) {
	for usable, want := range map[time.Duration]int{0: 2, rampStep: 4, 2 * rampStep: 8, time.Hour: 8} {
		if got := SlowStartSlots(8, usable); got != want {
			t.Errorf("after %v: got %d, want %d", usable, got, want)
		}
	}
	if got := SlowStartSlots(1, 0); got != 1 {
		t.Errorf("one slot: got %d", got)
	}
}
