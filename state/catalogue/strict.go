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

// Errors wrapped by an EntryError for JSON that a lenient decoder would accept
// with a meaning its author did not intend.
var (
	ErrDuplicate    = errors.New("given twice")
	ErrUnknownField = errors.New("unknown field")
	ErrNullValue    = errors.New("null is not allowed")
	ErrArrayLength  = errors.New("wrong number of elements")
	ErrNotUTF8      = errors.New("invalid UTF-8")
)

// fieldError is a strict decoding error with the path of its field.
type fieldError struct {
	field string
	err   error
}

func (e *fieldError) Error() string { return e.err.Error() }

func (e *fieldError) Unwrap() error { return e.err }

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

// checkStrict rejects what encoding/json accepts when it decodes data into a
// value of type t: unknown fields, field names in another case, duplicate
// fields, null, arrays of another length than the type's and invalid UTF-8. It
// also rejects trailing data.
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
	return checkTextValue(token, t, path)
}

// checkTextValue checks a string whose type is decoded from text, such as a
// duration.
func checkTextValue(token json.Token, t reflect.Type, path string) error {
	text, ok := token.(string)
	if !ok || !isTextUnmarshaler(t) {
		return nil
	}
	target, _ := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		return &fieldError{field: path, err: err}
	}
	return nil
}

func checkObject(dec *json.Decoder, t reflect.Type, path string) error {
	if t.Kind() != reflect.Struct || isTextUnmarshaler(t) {
		return &fieldError{field: path, err: typeMismatch("an object", t)}
	}
	fields := fieldTypes(t)
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return &fieldError{field: path, err: err}
		}
		name, _ := token.(string)
		fieldPath := joinPath(path, name)
		field, known := fields[name]
		if !known {
			return &fieldError{field: fieldPath, err: ErrUnknownField}
		}
		if seen[name] {
			return &fieldError{field: fieldPath, err: ErrDuplicate}
		}
		seen[name] = true
		if err := checkValue(dec, field, fieldPath); err != nil {
			return err
		}
	}
	return checkClosingDelim(dec, path)
}

func checkArray(dec *json.Decoder, t reflect.Type, path string) error {
	if (t.Kind() != reflect.Slice && t.Kind() != reflect.Array) || isTextUnmarshaler(t) {
		return &fieldError{field: path, err: typeMismatch("an array", t)}
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
	return checkClosingDelim(dec, path)
}

// checkClosingDelim reads the closing delimiter of an object or array.
func checkClosingDelim(dec *json.Decoder, path string) error {
	if _, err := dec.Token(); err != nil {
		return &fieldError{field: path, err: err}
	}
	return nil
}

// fieldTypes returns the types of a struct's JSON fields by name, including
// those of embedded structs.
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

func isTextUnmarshaler(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(textUnmarshalerType)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// TypeMismatchError reports a JSON value of a type that its field cannot hold.
type TypeMismatchError struct{ Got, Want string }

func (e TypeMismatchError) Error() string { return fmt.Sprintf("got %s, want %s", e.Got, e.Want) }

func typeMismatch(got string, t reflect.Type) error {
	return TypeMismatchError{Got: got, Want: t.String()}
}
