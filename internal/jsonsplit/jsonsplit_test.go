package jsonsplit

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
)

func TestElementsKeepsWhatADecoderRefuses(t *testing.T) {
	deep := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
	want := []string{`{"a":1}`, deep, `NaN`, `{"n":Infinity}`, `"]}\""`, `-1e999`, "\"\x01\"", `{}`}
	got, err := Elements([]byte(" [" + strings.Join(want, " ,\n") + "] "))
	if err != nil || len(got) != len(want) {
		t.Fatalf("got %d elements and error %v, want %d", len(got), err, len(want))
	}
	for i := range want {
		if string(got[i]) != want[i] {
			t.Errorf("element %d: got %.40s, want %.40s", i, got[i], want[i])
		}
	}
}

func TestFieldsReturnsRawValues(t *testing.T) {
	got, err := Fields([]byte(`{"a":{"x":[1,2]},"b\u0022":"}","a":NaN,"c":[]}`))
	want := map[string]json.RawMessage{"a": json.RawMessage("NaN"), `b"`: json.RawMessage(`"}"`), "c": json.RawMessage("[]")}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %s, %v, want %s", got, err, want)
	}
}

// TestMalformedDocumentIsRefused guards against a document whose end is missing or
// unclear: a shorter list would mean that entries are gone.
func TestMalformedDocumentIsRefused(t *testing.T) {
	for _, text := range []string{
		``, `[`, `[1`, `[1,`, `[1,]`, `[,1]`, `[1 2]`, `[1]]`, `[1],`, `["a]`, `["a\"]`, `[{]`, `[{"a":[}]`, `[[1}]`, `[{"a":1]}`, `{}`, `null`, `[1:2]`, `["a"b]`,
	} {
		if got, err := Elements([]byte(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("Elements(%s): got %s, %v, want ErrMalformed", text, got, err)
		}
	}
	for _, text := range []string{``, `{`, `{"a"}`, `{"a":}`, `{"a":1`, `{"a":1,}`, `{a:1}`, `{"a":1}}`, `{"a":1 "b":2}`, `[]`, `{1:2}`} {
		if got, err := Fields([]byte(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("Fields(%s): got %s, %v, want ErrMalformed", text, got, err)
		}
	}
}

// FuzzElements compares the elements with those of encoding/json, wherever it reads the
// document.
func FuzzElements(f *testing.F) {
	for _, text := range []string{`[]`, `[1, "a,]" ,{"b":[null]}]`, `[ "\\" ]`, `[{"a":"\""}]`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := Elements(text)
		var want []json.RawMessage
		if json.Unmarshal(text, &want) != nil || want == nil {
			return
		}
		if err != nil || len(got) != len(want) {
			t.Fatalf("%s: got %d elements and error %v, want %d", text, len(got), err, len(want))
		}
		for i := range want {
			if string(got[i]) != string(want[i]) {
				t.Errorf("%s: element %d: got %s, want %s", text, i, got[i], want[i])
			}
		}
	})
}
