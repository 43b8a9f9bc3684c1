package hold

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestPausedDaemonDoesNotDispatch(t *testing.T) {
	l := NewLease(start)
	if !l.Valid(after(Term), true) || l.Valid(after(Term), false) {
		t.Error("within its term only a confirmed daemon may dispatch")
	}
	resumed := after(Term + 1)
	if l.Valid(resumed, true) {
		t.Error("lease is valid before the daemon looked at its duties")
	}
	if l.Check(resumed) {
		t.Error("the pause was not noticed")
	}
	if !l.Check(resumed.Add(time.Millisecond)) {
		t.Error("a pause was noticed twice")
	}
}

func TestClaim(t *testing.T) {
	silent := []Reply{{Member: "b", Silent: true}}
	dead := []Reply{{Member: "b", Silent: true, Dead: true}}
	within, past := Term+Margin, Term+Margin+1
	for name, c := range map[string]struct {
		replies   []Reply
		confirmed bool
		// since is how long the member has been asked.
		since time.Duration
		want  Step
	}{
		"no members":                {nil, true, 0, Step{Open: true}},
		"none known":                {nil, false, within, Step{Alone: true}},
		"none known for long":       {nil, false, past, Step{Open: true, Alone: true}},
		"all agree":                 {[]Reply{{Member: "b", InUse: 2}, {Member: "c", InUse: 1}}, true, 0, Step{Open: true, Reserved: 3}},
		"one still dispatches":      {[]Reply{{Member: "b", Denied: true}}, true, past, Step{Denied: true}},
		"one is silent":             {silent, true, within, Step{}},
		"one is silent for long":    {silent, true, past, Step{Open: true, Alone: true}},
		"one is dead":               {dead, true, 0, Step{Open: true}},
		"nobody confirms":           {dead, false, within, Step{Alone: true}},
		"nobody confirms for long":  {dead, false, past, Step{Open: true, Alone: true}},
		"one is dead, one is quiet": {append([]Reply{{Member: "c", Silent: true}}, dead...), true, within, Step{}},
	} {
		l := NewLease(start)
		for at := time.Duration(0); at < c.since; at += time.Second {
			Decide(l, c.replies, c.confirmed, after(at))
		}
		if got := Decide(l, c.replies, c.confirmed, after(c.since)); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

func TestEarlierSilenceDoesNotCount(t *testing.T) {
	silent := []Reply{{Member: "b", Silent: true}}
	for name, between := range map[string][]Reply{"answered": {{Member: "b"}}, "not asked": nil} {
		l := NewLease(start)
		Decide(l, silent, true, start)
		Decide(l, between, true, after(time.Second))
		if step := Decide(l, silent, true, after(time.Hour)); step.Open {
			t.Errorf("%s: outwaited at once", name)
		}
	}
}

func TestReserve(t *testing.T) {
	open := Step{Open: true, Reserved: 1}
	alone := Step{Open: true, Alone: true}
	for name, c := range map[string]struct {
		step   Step
		report *Report
		own    int
		held   time.Duration
		want   int
	}{
		"members know more":       {open, &Report{InUse: 0}, 0, 0, 1},
		"upstream knows more":     {open, &Report{InUse: 3}, 1, 0, 2},
		"missing is not zero":     {open, nil, 0, 0, 4},
		"more than the slots":     {open, &Report{InUse: 9}, 0, 0, 4},
		"misleading for long":     {open, &Report{InUse: 4}, 0, ReserveTerm, 0},
		"alone beside a holder":   {alone, &Report{InUse: 4}, 0, ReserveTerm, 3},
		"alone beside own work":   {alone, &Report{InUse: 2}, 2, ReserveTerm, 0},
		"missing for long, alone": {alone, nil, 0, ReserveTerm, 3},
	} {
		if got := Reserve(c.step, c.report, 4, c.own, c.held); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
}

func TestReportsThatDoNotCount(t *testing.T) {
	for name, r := range map[string]Report{
		"negative":        {InUse: -1, Made: start},
		"beyond range":    {InUse: 331, Made: start},
		"stale":           {InUse: 1, Made: start.Add(-maxReportAge - 1)},
		"from the future": {InUse: 1, Made: start.Add(maxReportSkew + 1)},
	} {
		if r.Credible(330, start) {
			t.Errorf("%s: counts", name)
		}
	}
	if !(Report{InUse: 330, Made: start}).Credible(330, start) {
		t.Error("a report in range does not count")
	}
}

func TestRampGrowsToAllSlots(t *testing.T) {
	for usable, want := range map[time.Duration]int{0: 2, rampStep: 4, 2 * rampStep: 8, time.Hour: 8} {
		if got := Ramp(8, usable); got != want {
			t.Errorf("after %v: got %d, want %d", usable, got, want)
		}
	}
	if got := Ramp(1, 0); got != 1 {
		t.Errorf("one slot: got %d", got)
	}
}
