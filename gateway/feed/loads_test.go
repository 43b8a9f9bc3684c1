package feed

import (
	"slices"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
)

// TestLoadsSurviveEncoding guards the compact encoding of loads, and against a
// message that ends within a load.
func TestLoadsSurviveEncoding(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := []upstream.SharedLoad{
		{Server: 7, Requests: 3, At: now.Add(-80 * time.Millisecond)}, {Server: 1 << 31, Requests: 1000, At: now.Add(-time.Hour)},
	}
	var got []upstream.SharedLoad
	r := &Replica{}
	r.SetLoadHooks(LoadHooks{
		Known:   func(bool, time.Time) []upstream.SharedLoad { return sent },
		Observe: func(loads []upstream.SharedLoad, _ bool, _ time.Time) { got = loads },
	})
	r.observeLoads(append(r.knownLoads(true, now), 1, 2, 3), true, now)
	want := []upstream.SharedLoad{sent[0], {Server: 1 << 31, Requests: maxLoadValue, At: now.Add(-maxLoadValue * loadAgeUnit)}}
	if !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
