package platformhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/platform"
)

// TestLargeListArrivesOverSlowLink guards against a list that is given up in its middle and
// read again from its start, and against a wait for one that stands still.
func TestLargeListArrivesOverSlowLink(t *testing.T) {
	const pieces, pause = 15, 400 * time.Millisecond
	for name, sent := range map[string]int{"slow": pieces, "stands still": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprint(w, `[`)
				for range sent {
					fmt.Fprint(w, strings.Repeat(" ", 64<<10))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(pause)
				}
				if sent < pieces {
					<-r.Context().Done()
				}
				fmt.Fprint(w, `]`)
			}))
			defer server.Close()
			_, err := New(server.URL).Hosts(context.Background())
			if stalled := errors.Is(err, platform.ErrUnavailable); stalled != (sent < pieces) {
				t.Errorf("got %v", err)
			}
		})
	}
}
