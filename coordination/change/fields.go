// Package change decides how operators' changes of catalogue entries are
// written: which entries differ, at which version each write asks for, what
// two versions of an entry disagree on, and what became of a write whose
// answer was lost. It reads and writes nothing itself.
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

// Difference is one field that two or three versions of an entry disagree
// on. A value is JSON text, empty where the field is not set.
type Difference struct {
	Field  string `json:"field"`
	Base   string `json:"base"`
	Theirs string `json:"theirs"`
	Yours  string `json:"yours"`
}

// Differences compares an operator's version of an entry and the version in
// the platform with the version that both started from. A nil version has no
// fields.
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
	delete(names, fieldChange)
	var out []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if t[name] != y[name] {
			out = append(out, Difference{Field: name, Base: b[name], Theirs: t[name], Yours: y[name]})
		}
	}
	return out, err
}

// fieldChange is the field that holds the identity of a write.
const fieldChange = "change"

// SameContent reports whether two versions of an entry have the same content,
// however they are written and whichever write made them.
func SameContent(a, b []byte) bool {
	av, errA := parse(a)
	bv, errB := parse(b)
	assign(av, []string{fieldChange}, nil)
	assign(bv, []string{fieldChange}, nil)
	return errA == nil && errB == nil && reflect.DeepEqual(av, bv)
}

// sameWrite reports whether two versions of an entry come from one write.
func sameWrite(a, b []byte) bool {
	av, errA := parse(a)
	bv, errB := parse(b)
	return errA == nil && errB == nil && reflect.DeepEqual(av, bv)
}

// WithWriteID returns the step with the identity of its write in its data.
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

// flatten returns the fields of an entry by their dotted paths.
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
	for name, inner := range object {
		if path != "" {
			name = path + "." + name
		}
		if err := flattenInto(out, name, inner); err != nil {
			return err
		}
	}
	return nil
}

// AssignmentError names an assignment that is not written FIELD=VALUE, or
// whose field cannot be reached.
type AssignmentError struct{ Text string }

func (e *AssignmentError) Error() string {
	return fmt.Sprintf("assignment %q: want FIELD=VALUE, such as class.deadline=2s", e.Text)
}

// Assign returns an entry with fields set as the assignments say. A value is
// JSON, or else text; null removes the field.
func Assign(data []byte, assignments []string) ([]byte, error) {
	v, err := parse(data)
	if err != nil {
		return nil, err
	}
	for _, text := range assignments {
		path, value, ok := strings.Cut(text, "=")
		if !ok || path == "" || !assign(v, strings.Split(path, "."), assigned(value)) {
			return nil, &AssignmentError{Text: text}
		}
	}
	return json.Marshal(v)
}

func assigned(text string) any {
	if v, err := parse([]byte(text)); err == nil && json.Valid([]byte(text)) {
		return v
	}
	return text
}

func assign(v any, path []string, value any) bool {
	object, ok := v.(map[string]any)
	if !ok {
		return false
	}
	name := path[0]
	if len(path) > 1 {
		return assign(object[name], path[1:], value)
	}
	if value == nil {
		delete(object, name)
		return true
	}
	object[name] = value
	return true
}
