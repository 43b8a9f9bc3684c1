package httplimit

import (
	"errors"
	"strings"
	"testing"
)

func TestReadAllKeepsToLimit(t *testing.T) {
	if read, err := ReadAll(strings.NewReader("1234"), 4); err != nil || string(read) != "1234" {
		t.Errorf("body as large as its limit: got %q, %v", read, err)
	}
	if read, err := ReadAll(strings.NewReader("12345"), 4); !errors.Is(err, ErrTooLarge) || read != nil {
		t.Errorf("body one byte larger than its limit: got %q, %v, want ErrTooLarge", read, err)
	}
}
