package logline_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"bilberrytiller.example/tiller/transport/logline"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestSlowOutputDropsLinesWithoutBlocking(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	b := logline.NewDroppingWriter(s)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 5000
	for range lines {
		if n, err := b.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	dropped := b.Dropped()
	if dropped == 0 || dropped > lines-1000 {
		t.Errorf("dropped %d of %d lines, want those beyond a megabyte or two", dropped, lines)
	}
	close(s.release)
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(s.out.String(), "event=log.left_out lines=") {
		t.Error("the log has no event log.left_out")
	}
	if got := int64(strings.Count(s.out.String(), "xxx\n")); got+dropped != lines {
		t.Errorf("%d written and %d dropped, want %d in total", got, dropped, lines)
	}
}
