package change_test

import (
	"errors"
	"strings"
	"testing"

	"bilberrytiller.example/tiller/coordination/change"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/state/catalogue"
)

var north = catalogue.ID{Kind: catalogue.KindRegion, Name: "north"}

func region(owner string) []byte {
	return []byte(`{"schema":1,"kind":"region","name":"north","owner":"` + owner + `"}`)
}

func object(version uint64, data []byte) platform.Object {
	return platform.Object{Kind: platform.KindCatalogue, Name: north.String(), Version: version, Data: data}
}

func event(version uint64, data []byte) platform.Event {
	return platform.Event{Object: object(version, data), Deleted: data == nil}
}

func TestSettle(t *testing.T) {
	write := change.Step{ID: north, Action: change.Change, Version: 4, ListVersion: 5, Data: region("mine")}
	erase := change.Step{ID: north, Action: change.Delete, Version: 4, ListVersion: 5}
	spaced := []byte(strings.ReplaceAll(string(region("mine")), ",", " , "))
	marked, err := change.WithWriteID(write, "first-write")
	if err != nil {
		t.Fatal(err)
	}
	equal, err := change.WithWriteID(write, "second-write")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name     string
		step     change.Step
		found    platform.Object
		history  []platform.Event
		complete bool
		want     change.Resolution
	}{
		{"stands as before", write, object(4, region("old")), nil, false, change.Resolution{Outcome: change.NotApplied}},
		{"own write, written otherwise", write, object(7, spaced), nil, false, change.Resolution{Outcome: change.Applied, Version: 7}},
		{"own marked write", marked, object(7, marked.Data), nil, false, change.Resolution{Outcome: change.Applied, Version: 7}},
		{"equal write of another", marked, object(7, equal.Data), []platform.Event{event(7, equal.Data)}, true, change.Resolution{Outcome: change.Rejected}},
		{"own write, then another", write, object(9, region("other")), []platform.Event{event(7, region("mine")), event(9, region("other"))}, true, change.Resolution{Outcome: change.Superseded, Version: 7}},
		{"another write first", write, object(7, region("other")), []platform.Event{event(7, region("other"))}, true, change.Resolution{Outcome: change.Rejected}},
		{"another first, then the same content undone", write, object(9, region("other")), []platform.Event{event(6, region("x")), event(8, region("mine")), event(9, region("other"))}, true, change.Resolution{Outcome: change.Rejected}},
		{"no history", write, object(7, region("other")), nil, false, change.Resolution{Outcome: change.Indeterminate}},
		{"own delete", erase, platform.Object{}, nil, false, change.Resolution{Outcome: change.Applied}},
		{"own delete, then created", erase, object(8, region("new")), []platform.Event{event(7, nil), event(8, region("new"))}, true, change.Resolution{Outcome: change.Superseded, Version: 7}},
		{"deleted by another", write, platform.Object{}, []platform.Event{event(7, nil)}, true, change.Resolution{Outcome: change.Rejected}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := change.Resolve(c.step, c.found, c.history, c.complete); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestPlanRefusesAllOrNothing(t *testing.T) {
	stale := uint64(3)
	list := platform.List{Version: 4, Objects: []platform.Object{object(4, region("o"))}}
	orphan := []byte(`{"schema":1,"kind":"datacentre","name":"dc","owner":"o","region":"gone"}`)
	dc := catalogue.ID{Kind: catalogue.KindDataCentre, Name: "dc"}
	steps, err := change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("new"), IfVersion: &stale}, {ID: dc, Data: orphan}})
	var conflict *change.StaleError
	if steps != nil || !errors.As(err, &conflict) {
		t.Errorf("stale: got %v, %v", steps, err)
	}
	_, err = change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("new")}, {ID: dc, Data: orphan}})
	if !errors.Is(err, catalogue.ErrEntryNotFound) {
		t.Errorf("orphan: got %v", err)
	}
	steps, err = change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("o")}})
	if err != nil || len(steps) != 1 || steps[0].Action != change.Unchanged {
		t.Errorf("unchanged: got %v, %v", steps, err)
	}
	steps, err = change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("o"), IfVersion: &stale}})
	if err != nil || steps[0].Action != change.Unchanged {
		t.Errorf("equal since: got %v, %v", steps, err)
	}
	if _, err = change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("o"), IfVersion: &stale, StrictVersion: true}}); !errors.As(err, &conflict) {
		t.Errorf("equal, exact version: got %v", err)
	}
}

func TestPlanAllowsChangesBesideAnOldFault(t *testing.T) {
	orphan := []byte(`{"schema":1,"kind":"datacentre","name":"dc","owner":"o","region":"gone"}`)
	list := platform.List{Version: 5, Objects: []platform.Object{
		object(4, region("o")), {Name: "datacentre.dc", Version: 5, Data: orphan},
	}}
	if _, err := change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("new")}}); err != nil {
		t.Error(err)
	}
}

func TestAssign(t *testing.T) {
	data := []byte(`{"name":"u","slots":4,"class":{"deadline":"1s"},"drain":true}`)
	got, err := change.Assign(data, []string{"slots=6", "class.deadline=2s", "drain=null", "address=10.0.0.1:80"})
	want := `{"address":"10.0.0.1:80","class":{"deadline":"2s"},"name":"u","slots":6}`
	if err != nil || string(got) != want {
		t.Errorf("got %s, %v; want %s", got, err, want)
	}
	for _, wrong := range []string{"slots", "=3", "name.first=x", "no.such=1"} {
		var assignment *change.AssignmentError
		if _, err := change.Assign(data, []string{wrong}); !errors.As(err, &assignment) {
			t.Errorf("%q: got %v", wrong, err)
		}
	}
}
