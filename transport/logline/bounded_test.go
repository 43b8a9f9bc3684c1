package logline_test

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

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

// TestCloseDoesNotWaitForStalledOutput guards against a reader of the log that stalls:
// the process outlasted the time for its stop.
func TestCloseDoesNotWaitForStalledOutput(t *testing.T) {
	blocked := &blockedWriter{release: make(chan struct{})}
	defer close(blocked.release)
	w := logline.NewDroppingWriter(blocked)
	if _, err := w.Write([]byte("event=a\n")); err != nil {
		t.Fatal(err)
	}
	closed := make(chan error, 1)
	go func() { closed <- w.Close() }()
	select {
	case err := <-closed:
		if !errors.Is(err, logline.ErrOutputStalled) {
			t.Errorf("got %v, want ErrOutputStalled", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("Close waits for the output")
	}
}
