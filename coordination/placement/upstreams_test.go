package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/state/catalogue"
)

var now = time.Unix(1_000_000, 0)

// inputs returns the inputs for four upstreams: a and b in the daemon's own data
// centre, c elsewhere in its region and d in another region.
func inputs(t *testing.T, loads map[string]Load) Inputs {
	t.Helper()
	var records []catalogue.Record
	add := func(kind catalogue.Kind, name, rest string) {
		id := catalogue.ID{Kind: kind, Name: name}
		data := fmt.Sprintf(`{"schema":1,"kind":%q,"name":%q,"owner":"t",%s}`, kind, name, rest)
		r, err := catalogue.NewRecord(id, catalogue.Version(len(records)+1), []byte(data))
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, r)
	}
	for dc, region := range map[string]string{"n1": "north", "n2": "north", "s1": "south"} {
		add(catalogue.KindDataCentre, dc, fmt.Sprintf(`"region":%q`, region))
	}
	for name, dc := range map[string]string{"a": "n1", "b": "n1", "c": "n2", "d": "s1"} {
		add(catalogue.KindUpstream, name, fmt.Sprintf(`"services":["lookups"],"datacentre":%q,"address":"127.0.0.1:80","slots":4,"connections":330`, dc))
	}
	set, _ := catalogue.Empty().Merge(records)
	return Inputs{
		Set: set, Self: membership.Member{DataCentre: "n1", Region: "north"}, Service: "lookups", Now: now,
		Load:   func(u string) Load { return loads[u] },
		Random: rand.New(rand.NewPCG(1, 2)).IntN,
	}
}

func firstChoices(t *testing.T, loads map[string]Load) map[string]int {
	in := inputs(t, loads)
	out := map[string]int{}
	for range 1000 {
		out[RankUpstreams(in)[0].Upstream.Name]++
	}
	return out
}

func load(inUse, waiting int) Load {
	return Load{InUse: inUse, Waiting: waiting, ServiceTime: 20 * time.Millisecond, Connected: true, UpdatedAt: now}
}

func TestNearestFreeUpstreamsShareLoad(t *testing.T) {
	got := firstChoices(t, map[string]Load{"a": load(1, 0), "b": load(1, 0), "c": load(0, 0), "d": load(0, 0)})
	if got["a"] < 300 || got["b"] < 300 || got["d"] > 0 {
		t.Errorf("first choices %v, want a and b about equally often and never d", got)
	}
}

func TestLessUtilisedOfTwoIsFirst(t *testing.T) {
	got := firstChoices(t, map[string]Load{"a": load(3, 0), "b": load(1, 0), "c": load(4, 9), "d": load(4, 9)})
	if got["b"] != 1000 {
		t.Errorf("first choices %v, want only b", got)
	}
}

func TestLongQueueCostsMoreThanRemoteRegion(t *testing.T) {
	got := firstChoices(t, map[string]Load{"a": load(4, 40), "b": load(4, 40), "c": load(4, 40), "d": load(0, 0)})
	if got["d"] != 1000 {
		t.Errorf("first choices %v, want only d", got)
	}
}

func TestMissingOrStaleLoadIsNotIdle(t *testing.T) {
	stale := load(0, 0)
	stale.UpdatedAt = now.Add(-maxLoadAge - 1)
	for name, unknown := range map[string]Load{"missing": {Connected: true}, "stale": stale} {
		got := firstChoices(t, map[string]Load{"a": unknown, "b": load(1, 0), "c": load(4, 9), "d": load(4, 9)})
		if got["a"] > 0 {
			t.Errorf("%s: first choices %v, want never a, as b is known to be free", name, got)
		}
	}
}

func TestFailingUpstreamIsLast(t *testing.T) {
	failing := load(0, 0)
	failing.Failing = true
	in := inputs(t, map[string]Load{"a": failing, "b": load(4, 9), "c": load(4, 9), "d": load(4, 9)})
	list := RankUpstreams(in)
	if last := list[len(list)-1]; last.Upstream.Name != "a" {
		t.Errorf("last candidate is %s, want a", last.Upstream.Name)
	}
}
