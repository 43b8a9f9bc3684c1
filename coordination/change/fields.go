// Package change plans operators' changes to catalogue entries: it determines
// which entries differ, the version that each write is conditional on, the
// fields in which versions of an entry conflict, and the outcome of a write
// whose response was lost. It performs no I/O.
package change

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"bilberrytiller.example/tiller/state/catalogue"
)

// Difference is a field whose value differs between versions of an entry. Each
// value is JSON text, and empty if the field is not set.
type Difference struct {
	Field  string `json:"field"`
	Base   string `json:"base"`
	Theirs string `json:"theirs"`
	Yours  string `json:"yours"`
}

// Differences compares an operator's version of an entry (yours) with the
// version in the platform (theirs) and returns the fields in which they differ,
// along with the values in their common base version. A nil version has no
// fields. The field that holds the write ID is ignored.
func Differences(base, theirs, yours []byte) ([]Difference, error) {
	var err error
	fields := func(data []byte) map[string]string {
		out, fieldsErr := flatten(data)
		err = errors.Join(err, fieldsErr)
		return out
	}
	b, t, y := fields(base), fields(theirs), fields(yours)
	names := maps.Clone(b)
	maps.Copy(names, t)
	maps.Copy(names, y)
	delete(names, writeIDField)
	var out []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if t[name] != y[name] {
			out = append(out, Difference{Field: name, Base: b[name], Theirs: t[name], Yours: y[name]})
		}
	}
	return out, err
}

// writeIDField is the entry field that holds the ID of the write that produced
// it.
const writeIDField = "change"

// SameContent reports whether two versions of an entry have the same content,
// regardless of JSON formatting and of the write that produced them.
func SameContent(a, b []byte) bool {
	av, errA := parse(a)
	bv, errB := parse(b)
	setField(av, []string{writeIDField}, nil)
	setField(bv, []string{writeIDField}, nil)
	return errA == nil && errB == nil && reflect.DeepEqual(av, bv)
}

// sameWrite reports whether two versions of an entry were produced by the same
// write.
func sameWrite(a, b []byte) bool {
	av, errA := parse(a)
	bv, errB := parse(b)
	return errA == nil && errB == nil && reflect.DeepEqual(av, bv)
}

// WithWriteID returns the step with a write ID added to its data. A delete has
// no data and is returned unchanged.
func WithWriteID(step Step, id string) (Step, error) {
	if step.Action == Delete {
		return step, nil
	}
	entry, err := catalogue.Decode(step.Data)
	if err != nil {
		return step, err
	}
	entry.SetChangeID(id)
	step.Data, err = catalogue.Encode(entry)
	return step, err
}

func parse(data []byte) (any, error) {
	var v any
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&v); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	return v, nil
}

// flatten returns the fields of an entry as JSON text, keyed by dotted path.
func flatten(data []byte) (map[string]string, error) {
	out := map[string]string{}
	if len(data) == 0 {
		return out, nil
	}
	v, err := parse(data)
	if err != nil {
		return out, err
	}
	return out, flattenInto(out, "", v)
}

func flattenInto(out map[string]string, path string, v any) error {
	object, ok := v.(map[string]any)
	if !ok || len(object) == 0 {
		text, err := json.Marshal(v)
		out[path] = string(text)
		return err
	}
	for name, value := range object {
		if path != "" {
			name = path + "." + name
		}
		if err := flattenInto(out, name, value); err != nil {
			return err
		}
	}
	return nil
}

// AssignmentError reports an assignment that does not have the form FIELD=VALUE
// or whose field cannot be set.
type AssignmentError struct{ Text string }

func (e *AssignmentError) Error() string {
	return fmt.Sprintf("assignment %q: want FIELD=VALUE, such as class.deadline=2s", e.Text)
}

// Assign applies FIELD=VALUE assignments to an entry and returns the result. A
// value that is not valid JSON is taken as a string; null removes the field.
func Assign(data []byte, assignments []string) ([]byte, error) {
	v, err := parse(data)
	if err != nil {
		return nil, err
	}
	for _, text := range assignments {
		path, value, ok := strings.Cut(text, "=")
		if !ok || path == "" || !setField(v, strings.Split(path, "."), parseValue(value)) {
			return nil, &AssignmentError{Text: text}
		}
	}
	return json.Marshal(v)
}

func parseValue(text string) any {
	if v, err := parse([]byte(text)); err == nil && json.Valid([]byte(text)) {
		return v
	}
	return text
}

func setField(v any, path []string, value any) bool {
	object, ok := v.(map[string]any)
	if !ok {
		return false
	}
	name := path[0]
	if len(path) > 1 {
		return setField(object[name], path[1:], value)
	}
	if value == nil {
		delete(object, name)
		return true
	}
	object[name] = value
	return true
}
