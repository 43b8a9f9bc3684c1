package catalogue

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// MaxEntryBytes is the maximum size of an encoded entry.
const MaxEntryBytes = 64 << 10

// ErrTooLarge is wrapped by an EntryError for an entry larger than
// MaxEntryBytes.
var ErrTooLarge = errors.New("entry is too large")

// ErrTrailingData is wrapped by an EntryError for data after an entry.
var ErrTrailingData = errors.New("trailing data after the entry")

// EntryError reports an invalid entry and, if known, the field at fault.
type EntryError struct {
	ID    ID
	Field string
	Err   error
}

func (e *EntryError) Error() string {
	name := "entry"
	if e.ID.Kind != "" || e.ID.Name != "" {
		name = "entry " + e.ID.String()
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: %v", name, e.Err)
	}
	return fmt.Sprintf("%s: field %s: %v", name, e.Field, e.Err)
}

// Unwrap returns the underlying error.
func (e *EntryError) Unwrap() error { return e.Err }

// UnsupportedSchemaError reports an entry whose schema this version cannot
// read.
type UnsupportedSchemaError struct{ Got int }

func (e UnsupportedSchemaError) Error() string {
	return fmt.Sprintf("schema %d, want %d", e.Got, SchemaVersion)
}

// UnknownKindError reports an entry whose kind this version does not know.
type UnknownKindError struct{ Got Kind }

func (e UnknownKindError) Error() string { return fmt.Sprintf("unknown kind %q", e.Got) }

func newEntry(kind Kind) (Entry, error) {
	switch kind {
	case KindRegion:
		return &Region{}, nil
	case KindDataCentre:
		return &DataCentre{}, nil
	case KindLink:
		return &Link{}, nil
	case KindService:
		return &Service{}, nil
	case KindUpstream:
		return &Upstream{}, nil
	case KindHost:
		return &Host{}, nil
	case KindBlocks:
		return &Blocks{}, nil
	}
	return nil, UnknownKindError{Got: kind}
}

// Decode decodes one entry strictly and validates it on its own. Every error
// is an *EntryError.
func Decode(data []byte) (Entry, error) {
	if len(data) > MaxEntryBytes {
		return nil, &EntryError{Err: fmt.Errorf("%d bytes: %w", len(data), ErrTooLarge)}
	}
	var meta Meta
	if err := json.Unmarshal(data, &meta); err != nil {
		return nil, &EntryError{ID: meta.ID(), Field: jsonField(err), Err: syntaxCause(data, err)}
	}
	if meta.Schema != SchemaVersion {
		return nil, &EntryError{ID: meta.ID(), Field: "schema", Err: UnsupportedSchemaError{Got: meta.Schema}}
	}
	entry, err := newEntry(meta.Kind)
	if err != nil {
		return nil, &EntryError{ID: meta.ID(), Field: "kind", Err: err}
	}
	if err := decodeStrict(data, entry); err != nil {
		return nil, &EntryError{ID: meta.ID(), Field: jsonField(err), Err: err}
	}
	if err := entry.Validate(); err != nil {
		return nil, err
	}
	return entry, nil
}

// Encode returns an entry as indented JSON with a trailing newline. Every error
// is an *EntryError.
func Encode(entry Entry) ([]byte, error) {
	data, err := json.MarshalIndent(entry, "", "  ")
	if err != nil {
		return nil, &EntryError{ID: entry.ID(), Err: err}
	}
	return append(data, '\n'), nil
}

func decodeStrict(data []byte, entry Entry) error {
	if err := checkStrict(data, reflect.TypeOf(entry).Elem()); err != nil {
		return err
	}
	return json.Unmarshal(data, entry)
}

// syntaxCause returns ErrTrailingData if err is a syntax error after a complete
// value, and err otherwise.
func syntaxCause(data []byte, err error) error {
	var first json.RawMessage
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && json.NewDecoder(bytes.NewReader(data)).Decode(&first) == nil {
		return ErrTrailingData
	}
	return err
}

// jsonField returns the field named by a JSON error, or "".
func jsonField(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return typeErr.Field
	}
	var strict *fieldError
	if errors.As(err, &strict) {
		return strict.field
	}
	return ""
}
