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

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func TestSlowOutputDropsLinesWithoutBlocking(t *testing.T) {
	blocked := &blockedWriter{release: make(chan struct{})}
	w := logline.NewDroppingWriter(blocked)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 5000
	for range lines {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	dropped := w.Dropped()
	if dropped == 0 || dropped > lines-1000 {
		t.Errorf("dropped %d of %d lines, want those beyond a megabyte or two", dropped, lines)
	}
	close(blocked.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(blocked.out.String(), "event=log.left_out lines=") {
		t.Error("the log has no event log.left_out")
	}
	if got := int64(strings.Count(blocked.out.String(), "xxx\n")); got+dropped != lines {
		t.Errorf("%d written and %d dropped, want %d in total", got, dropped, lines)
	}
}
