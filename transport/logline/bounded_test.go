package logline_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"bilberrytiller.example/tiller/transport/logline"
)

// stuck is a reader of the log that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestSlowReaderOfTheLogBlocksNobody(t *testing.T) {
	s := &stuck{release: make(chan struct{})}
	b := logline.NewDroppingWriter(s)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 5000
	for range lines {
		if n, err := b.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	left := b.Dropped()
	if left == 0 || left > lines-1000 {
		t.Errorf("%d of %d lines left out, want those beyond a megabyte or two", left, lines)
	}
	close(s.release)
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(s.out.String(), "event=log.left_out lines=") {
		t.Error("the log does not say that lines are missing")
	}
	if got := int64(strings.Count(s.out.String(), "xxx\n")); got+left != lines {
		t.Errorf("%d written and %d left out of %d", got, left, lines)
	}
}
