package connlimit

import (
	"slices"
	"testing"
	"time"
)

// TestDescriptorsAreDivided guards against clients that leave no descriptors for the rest.
func TestDescriptorsAreDivided(t *testing.T) {
	for descriptors, want := range map[int]Limits{
		4100: {Clients: 2574, Servers: 975, Internal: 78},
		400:  {Clients: 132, Servers: 50, Internal: 4},
		0:    {},
	} {
		if got := New(descriptors, 0); got != want {
			t.Errorf("%d descriptors: got %+v, want %+v", descriptors, got, want)
		}
	}
	if got := New(8192, 10<<20).Clients; got != 213 {
		t.Errorf("10 MB of memory: got %d clients, want 213", got)
	}
}

// TestOrderOfClosing guards against closing a connection whose request may run, or one
// that is in use while others are idle.
func TestOrderOfClosing(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(p Phase, age time.Duration) Conn { return Conn{p, now.Add(-age)} }
	order := []Conn{at(Idle, time.Minute), at(Idle, time.Second), at(Head, time.Minute), at(Head, time.Second), at(Body, time.Minute)}
	shuffled := []Conn{order[3], order[0], order[4], order[2], order[1]}
	slices.SortFunc(shuffled, func(a, b Conn) int {
		if a.Before(b) {
			return -1
		}
		return 1
	})
	if !slices.Equal(shuffled, order) {
		t.Errorf("got %v, want %v", shuffled, order)
	}
	for conn, want := range map[Conn]bool{
		at(Serving, time.Hour): false, at(Head, time.Millisecond): false, at(Body, time.Millisecond): false, at(Idle, 0): true, at(Head, time.Minute): true,
	} {
		if got := conn.MayClose(now); got != want {
			t.Errorf("%+v: got %v, want %v", conn, got, want)
		}
	}
}
