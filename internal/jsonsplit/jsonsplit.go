// Package jsonsplit splits a JSON array or object into its elements without decoding
// them. A decoder of the elements can then refuse one of them and keep the others.
//
// encoding/json does not fit here: it checks a document as a whole, so that one value
// that is nested too deeply, or a number that JSON does not have, makes it refuse
// everything around it. This package only requires that strings end and that brackets
// match; it uses no recursion.
package jsonsplit

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrMalformed means that the elements of a document cannot be told apart.
var ErrMalformed = errors.New("malformed JSON document")

// Elements returns the elements of an array.
func Elements(array []byte) ([]json.RawMessage, error) {
	var all []json.RawMessage
	s := &scanner{text: array}
	err := s.list('[', ']', func() error {
		value, err := s.value()
		all = append(all, value)
		return err
	})
	return all, err
}

// Fields returns the values of an object by their names. Of several values with one
// name it returns the last, like encoding/json.
func Fields(object []byte) (map[string]json.RawMessage, error) {
	all := map[string]json.RawMessage{}
	s := &scanner{text: object}
	err := s.list('{', '}', func() error {
		key, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(key, &name); err != nil {
			return fmt.Errorf("%w: name of a field: %w", ErrMalformed, err)
		}
		if err := s.expect(':'); err != nil {
			return err
		}
		all[name], err = s.value()
		return err
	})
	return all, err
}

// scanner reads a document from pos on.
type scanner struct {
	text []byte
	pos  int
}

// list reads a list in the given brackets, whose elements are read by element, and the
// end of the document.
func (s *scanner) list(opening, closing byte, element func() error) error {
	if err := s.expect(opening); err != nil {
		return err
	}
	if s.next() == closing {
		s.pos++
		return s.end()
	}
	for {
		if err := element(); err != nil {
			return err
		}
		if s.next() == closing {
			s.pos++
			return s.end()
		}
		if err := s.expect(','); err != nil {
			return err
		}
	}
}

// next skips white space and returns the byte after it without reading it, or 0 at
// the end.
func (s *scanner) next() byte {
	for ; s.pos < len(s.text); s.pos++ {
		if c := s.text[s.pos]; c != ' ' && c != '\t' && c != '\n' && c != '\r' {
			return c
		}
	}
	return 0
}

func (s *scanner) expect(want byte) error {
	if s.next() != want {
		return s.errorf("want %q", want)
	}
	s.pos++
	return nil
}

func (s *scanner) end() error {
	if s.next(); s.pos < len(s.text) {
		return s.errorf("want the end")
	}
	return nil
}

// value reads a value of any type.
func (s *scanner) value() (json.RawMessage, error) {
	c := s.next()
	start := s.pos
	var err error
	switch c {
	case '"':
		err = s.skipString()
	case '{', '[':
		err = s.skipBrackets()
	default:
		s.skipScalar()
		if s.pos == start {
			err = s.errorf("want a value")
		}
	}
	return s.text[start:s.pos], err
}

func (s *scanner) skipString() error {
	for s.pos++; s.pos < len(s.text); s.pos++ {
		switch s.text[s.pos] {
		case '\\':
			s.pos++
		case '"':
			s.pos++
			return nil
		}
	}
	s.pos = len(s.text)
	return s.errorf("want the end of a string")
}

// skipBrackets skips an array or an object with all that is nested in it.
func (s *scanner) skipBrackets() error {
	var closing []byte
	for s.pos < len(s.text) {
		switch c := s.text[s.pos]; c {
		case '"':
			if err := s.skipString(); err != nil {
				return err
			}
			continue
		case '{':
			closing = append(closing, '}')
		case '[':
			closing = append(closing, ']')
		case '}', ']':
			if closing[len(closing)-1] != c {
				return s.errorf("want %q", closing[len(closing)-1])
			}
			if closing = closing[:len(closing)-1]; len(closing) == 0 {
				s.pos++
				return nil
			}
		}
		s.pos++
	}
	return s.errorf("want %q", closing[len(closing)-1])
}

func (s *scanner) skipScalar() {
	for ; s.pos < len(s.text); s.pos++ {
		switch s.text[s.pos] {
		case ',', ':', ']', '}', '[', '{', '"', ' ', '\t', '\n', '\r':
			return
		}
	}
}

func (s *scanner) errorf(format string, args ...any) error {
	found := "the end"
	if s.pos < len(s.text) {
		found = fmt.Sprintf("%q", s.text[s.pos])
	}
	return fmt.Errorf("%w: offset %d: found %s, %s", ErrMalformed, s.pos, found, fmt.Sprintf(format, args...))
}
