package pressure

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"bilberrytiller.example/standin/soak"
)

// residentKB returns the resident memory of the gateway's process.
func (g *gateway) residentKB(b *testing.B) float64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.PID(0)))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := bytes.Cut(status, []byte("VmRSS:"))
	kb := 0.0
	if _, err := fmt.Sscan(string(rest), &kb); err != nil {
		b.Fatal(err)
	}
	return kb
}

// BenchmarkIdleConnections measures the memory of a gateway at rest, and of each
// connection that has carried a request and is kept. Run it with -benchtime 1x.
func BenchmarkIdleConnections(b *testing.B) {
	const conns = 2000
	for range b.N {
		g := startOn(b, soak.Machine{MemoryMB: 284, MaxFDs: 4100, MaxBodyBytes: maxBodyBytes})
		atRest := g.residentKB(b)
		for i := range conns {
			conn, err := net.Dial("tcp", g.Addresses(0)[0])
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, head("GET", "/look/x", fmt.Sprint("idle-", i), "")); err != nil {
				b.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				b.Fatalf("connection %d: got %+v, %v", i, resp, err)
			}
		}
		b.ReportMetric(atRest, "KB-at-rest")
		b.ReportMetric((g.residentKB(b)-atRest)/conns, "KB/conn")
	}
}
