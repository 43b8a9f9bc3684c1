package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bilberrytiller.example/tiller/state/routing"
)

// BenchmarkRequest sends sequential requests directly to a backend server and
// through a gateway in front of it. The CPU time includes client, gateway and
// server.
func BenchmarkRequest(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "s")
		w.Header().Set("X-Load", "1,0,9")
		_, _ = io.WriteString(w, strings.Repeat("x", 1500))
	}))
	defer server.Close()
	gatewayURL := benchGateway(b, server)
	for name, url := range map[string]string{"direct": server.URL, "gateway": gatewayURL} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequest(http.MethodGet, url+"/x", nil)
				if err != nil {
					b.Fatal(err)
				}
				req.Host = "127.0.0.1"
				req.Header.Set("X-Id", "a1")
				req.Header.Set("X-Key", "7")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
				resp.Body.Close()
			}
		})
	}
}

func benchGateway(b *testing.B, server *httptest.Server) string {
	b.Helper()
	g := newTestGateway(b)
	g.ApplyConfiguration(routing.New(1, []routing.Route{route(true)}, map[string]routing.Service{"pay": {Name: "pay"}}, routing.ClientLimits{}))
	g.PutBackend(routing.Backend{ID: "i-1", Service: "pay", Address: server.Listener.Addr().String(), Zone: "n1", Slots: 9})
	front := httptest.NewServer(http.HandlerFunc(g.serveClient))
	b.Cleanup(front.Close)
	return front.URL
}
