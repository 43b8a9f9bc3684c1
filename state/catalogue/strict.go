package catalogue

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"unicode/utf8"
)

// Causes wrapped by an EntryError for JSON that a lenient reader would
// accept with another meaning than its writer's.
var (
	ErrDuplicate    = errors.New("given twice")
	ErrUnknownField = errors.New("unknown field")
	ErrNullValue    = errors.New("null is no value")
	ErrArrayLength  = errors.New("wrong number of elements")
	ErrNotUTF8      = errors.New("text is not UTF-8")
)

// fieldError is the cause of a strict failure with the field it concerns.
type fieldError struct {
	field string
	err   error
}

func (e *fieldError) Error() string { return e.err.Error() }

func (e *fieldError) Unwrap() error { return e.err }

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// checkStrict refuses what encoding/json lets pass when it decodes data into
// a value of type t: field names in another case, fields given twice, null,
// arrays of another length than the type's, invalid UTF-8 and trailing data.
func checkStrict(data []byte, t reflect.Type) error {
	if !utf8.Valid(data) {
		return ErrNotUTF8
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := checkValue(dec, t, ""); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return ErrTrailingData
	}
	return nil
}

func checkValue(dec *json.Decoder, t reflect.Type, path string) error {
	token, err := dec.Token()
	if err != nil {
		return &fieldError{field: path, err: err}
	}
	if token == nil {
		return &fieldError{field: path, err: ErrNullValue}
	}
	switch token {
	case json.Delim('{'):
		return checkObject(dec, t, path)
	case json.Delim('['):
		return checkArray(dec, t, path)
	}
	return checkText(token, t, path)
}

// checkText reads a value that its type reads from text, such as a duration.
func checkText(token json.Token, t reflect.Type, path string) error {
	text, ok := token.(string)
	if !ok || !isText(t) {
		return nil
	}
	into, _ := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := into.UnmarshalText([]byte(text)); err != nil {
		return &fieldError{field: path, err: err}
	}
	return nil
}

func checkObject(dec *json.Decoder, t reflect.Type, path string) error {
	if t.Kind() != reflect.Struct || isText(t) {
		return &fieldError{field: path, err: errWrongKind("an object", t)}
	}
	fields := fieldTypes(t)
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return &fieldError{field: path, err: err}
		}
		name, _ := token.(string)
		inner := joinPath(path, name)
		field, known := fields[name]
		if !known {
			return &fieldError{field: inner, err: ErrUnknownField}
		}
		if seen[name] {
			return &fieldError{field: inner, err: ErrDuplicate}
		}
		seen[name] = true
		if err := checkValue(dec, field, inner); err != nil {
			return err
		}
	}
	return checkEnd(dec, path)
}

func checkArray(dec *json.Decoder, t reflect.Type, path string) error {
	if (t.Kind() != reflect.Slice && t.Kind() != reflect.Array) || isText(t) {
		return &fieldError{field: path, err: errWrongKind("an array", t)}
	}
	count := 0
	for dec.More() {
		if err := checkValue(dec, t.Elem(), fmt.Sprintf("%s[%d]", path, count)); err != nil {
			return err
		}
		count++
	}
	if t.Kind() == reflect.Array && count != t.Len() {
		return &fieldError{field: path, err: fmt.Errorf("%d, want %d: %w", count, t.Len(), ErrArrayLength)}
	}
	return checkEnd(dec, path)
}

// checkEnd reads the token that ends an object or array.
func checkEnd(dec *json.Decoder, path string) error {
	if _, err := dec.Token(); err != nil {
		return &fieldError{field: path, err: err}
	}
	return nil
}

// fieldTypes returns the types of a struct's JSON fields by their names,
// those of embedded structs too.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" {
			out[name] = f.Type
		}
	}
	return out
}

func isText(t reflect.Type) bool { return reflect.PointerTo(t).Implements(textType) }

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// TypeMismatchError says that a field holds another kind of JSON value.
type TypeMismatchError struct{ Got, Want string }

func (e TypeMismatchError) Error() string { return fmt.Sprintf("got %s, want %s", e.Got, e.Want) }

func errWrongKind(got string, t reflect.Type) error {
	return TypeMismatchError{Got: got, Want: t.String()}
}
