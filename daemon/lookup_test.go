package daemon

import (
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/protocol/callerapi"
)

// benchDaemon returns a daemon that knows the given number of hosts and two
// services, an idempotent and a non-idempotent one.
func benchDaemon(b testing.TB, hosts int, level string) *Daemon {
	b.Helper()
	log, err := NewLogger(io.Discard, level)
	if err != nil {
		b.Fatal(err)
	}
	const free = "127.0.0.1:0"
	d, err := New(Settings{
		HostSettings:   HostSettings{HostID: "host-0", DataCentre: "dc-0", Region: "region-0"},
		ListenSettings: ListenSettings{CallerListen: free, PeerListen: free, OperatorListen: free},
		FleetSettings:  FleetSettings{Platform: "http://127.0.0.1:1", Secret: "secret-of-a-benchmark"},
		BehaviourSettings: BehaviourSettings{
			LogLevel: level, LookupTTL: time.Second, KeyTTL: time.Minute, StopTimeout: time.Minute,
		},
	}, log)
	if err != nil {
		b.Fatal(err)
	}
	for i, class := range []string{`{"rank":"lookup","idempotent":true,"deadline":"1s"}`, `{"rank":"payment","idempotent":false,"deadline":"1s"}`} {
		name := []string{"lookups", "payments"}[i]
		body := fmt.Sprintf(`{"schema":1,"kind":"service","name":%q,"owner":"o","class":%s,"limits":{}}`, name, class)
		d.publish(spread.Fact{ID: spread.ID{Kind: factCatalogue, Key: "service." + name}, Version: uint64(i + 1), Body: []byte(body)})
	}
	members := make([]membership.Member, hosts)
	for i := range members {
		members[i] = membership.Member{
			ID: fmt.Sprintf("host-%d", i), Incarnation: fmt.Sprint(i), DataCentre: fmt.Sprintf("dc-%d", i%62), Region: fmt.Sprintf("region-%d", i%62%16),
			Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400),
		}
	}
	d.view.Store(membership.NewView(members[0], members))
	return d
}

// BenchmarkLookup measures one look-up through the handler, with and without
// its log line, for a service that needs keys and one that does not.
func BenchmarkLookup(b *testing.B) {
	for _, hosts := range []int{9, 5_500} {
		for _, level := range []string{"info", "warn"} {
			for _, service := range []string{"lookups", "payments"} {
				b.Run(fmt.Sprintf("hosts=%d/log=%s/%s", hosts, level, service), func(b *testing.B) {
					h := benchDaemon(b, hosts, level).callerHandler()
					r := httptest.NewRequest("GET", callerapi.PathLookup+"?service="+service, nil)
					b.ReportAllocs()
					b.ResetTimer()
					for range b.N {
						w := httptest.NewRecorder()
						h.ServeHTTP(w, r)
						if w.Code != 200 {
							b.Fatal(w.Body.String())
						}
					}
				})
			}
		}
	}
}
