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

func TestResolve(t *testing.T) {
	write := change.Step{ID: north, Action: change.Change, Version: 4, ListVersion: 5, Data: region("mine")}
	remove := change.Step{ID: north, Action: change.Delete, Version: 4, ListVersion: 5}
	reformatted := []byte(strings.ReplaceAll(string(region("mine")), ",", " , "))
	withID, err := change.WithWriteID(write, "first-write")
	if err != nil {
		t.Fatal(err)
	}
	equalData, err := change.WithWriteID(write, "second-write")
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
		{"unchanged entry", write, object(4, region("old")), nil, false, change.Resolution{Outcome: change.NotApplied}},
		{"own write with different formatting", write, object(7, reformatted), nil, false, change.Resolution{Outcome: change.Applied, Version: 7}},
		{"own write with write ID", withID, object(7, withID.Data), nil, false, change.Resolution{Outcome: change.Applied, Version: 7}},
		{"equal data from another write", withID, object(7, equalData.Data), []platform.Event{event(7, equalData.Data)}, true, change.Resolution{Outcome: change.Rejected}},
		{"own write followed by another", write, object(9, region("other")), []platform.Event{event(7, region("mine")), event(9, region("other"))}, true, change.Resolution{Outcome: change.Superseded, Version: 7}},
		{"another write came first", write, object(7, region("other")), []platform.Event{event(7, region("other"))}, true, change.Resolution{Outcome: change.Rejected}},
		{"another write first, then equal content overwritten", write, object(9, region("other")), []platform.Event{event(6, region("x")), event(8, region("mine")), event(9, region("other"))}, true, change.Resolution{Outcome: change.Rejected}},
		{"history not available", write, object(7, region("other")), nil, false, change.Resolution{Outcome: change.Indeterminate}},
		{"own delete", remove, platform.Object{}, nil, false, change.Resolution{Outcome: change.Applied}},
		{"own delete, then entry created again", remove, object(8, region("new")), []platform.Event{event(7, nil), event(8, region("new"))}, true, change.Resolution{Outcome: change.Superseded, Version: 7}},
		{"entry deleted by another write", write, platform.Object{}, []platform.Event{event(7, nil)}, true, change.Resolution{Outcome: change.Rejected}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := change.Resolve(c.step, c.found, c.history, c.complete); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestPlanIsAllOrNothing(t *testing.T) {
	stale := uint64(3)
	list := platform.List{Version: 4, Objects: []platform.Object{object(4, region("o"))}}
	orphan := []byte(`{"schema":1,"kind":"datacentre","name":"dc","owner":"o","region":"gone"}`)
	dc := catalogue.ID{Kind: catalogue.KindDataCentre, Name: "dc"}
	steps, err := change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("new"), IfVersion: &stale}, {ID: dc, Data: orphan}})
	var conflict *change.StaleError
	if steps != nil || !errors.As(err, &conflict) {
		t.Errorf("stale version: got %v, %v; want a StaleError and no steps", steps, err)
	}
	_, err = change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("new")}, {ID: dc, Data: orphan}})
	if !errors.Is(err, catalogue.ErrEntryNotFound) {
		t.Errorf("missing region: got %v, want ErrEntryNotFound", err)
	}
	steps, err = change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("o")}})
	if err != nil || len(steps) != 1 || steps[0].Action != change.Unchanged {
		t.Errorf("equal content: got %v, %v; want one unchanged step", steps, err)
	}
	steps, err = change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("o"), IfVersion: &stale}})
	if err != nil || steps[0].Action != change.Unchanged {
		t.Errorf("stale version, equal content: got %v, %v; want an unchanged step", steps, err)
	}
	if _, err = change.Plan(list, []change.DesiredEntry{{ID: north, Data: region("o"), IfVersion: &stale, StrictVersion: true}}); !errors.As(err, &conflict) {
		t.Errorf("stale version, equal content, StrictVersion: got %v, want a StaleError", err)
	}
}

func TestPlanIgnoresExistingProblems(t *testing.T) {
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
			t.Errorf("%q: got %v, want an AssignmentError", wrong, err)
		}
	}
}
