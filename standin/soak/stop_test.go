package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const stopSettings = `node_name = "h1"
zone = "z1"
region = "r1"
ip = "127.0.0.1"
internal_ports = [%[1]d, %[1]d]
seeds = [%[7]q]
[zones]
z1 = "r1"
[listen]
frontend = %[2]q
readiness = %[3]q
directory = %[4]q
control = %[5]q
[bounds]
grace = %[6]q
retry_window = "10s"
retry_budget_ratio = 0.2
retry_slack = 58
ttl_max = "5s"
[platform_settings]
address = %[7]q
`

// TestStopEndsInTime guards against a process that is still there when the time for its
// stop is over, although the store and a daemon accept connections and never answer, a
// client sends half a request, and nobody reads the log.
func TestStopEndsInTime(t *testing.T) {
	const grace = 3200 * time.Millisecond
	silent := listen(t)
	free := freeAddresses(t, 5)
	metrics, client := free[0], free[1]
	path := filepath.Join(t.TempDir(), "node.toml")
	text := fmt.Sprintf(stopSettings, metrics.Port(), client, free[2], free[3], free[4], grace, silent)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "gateway")
	cmd.Env = append(os.Environ(), "BILBERRYTILLER_NODE_FILE="+path)
	cmd.Stdout = fullPipe(t)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	awaitMetrics(t, metrics)
	sendHalfRequest(t, client)
	began := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("the process ended after %s with %v", time.Since(began), err)
		}
		t.Logf("ended after %s of %s", time.Since(began), grace)
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		t.Errorf("the process is still there after %s", grace)
	}
}

// listen returns the address of a listener that accepts connections and never answers.
func listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// freeAddresses returns distinct addresses that nobody listens on.
func freeAddresses(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	var all []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		all = append(all, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return all
}

// awaitMetrics waits until the gateway serves its metrics, on the last address that it
// listens on.
func awaitMetrics(t *testing.T, address netip.AddrPort) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + address.String() + "/")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the gateway serves no metrics: %v", err)
		}
	}
}

// fullPipe returns a pipe that accepts no more output.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = r.Close(), w.Close() })
	if err := w.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := w.Write(make([]byte, 8<<20)); err == nil {
		t.Fatalf("the pipe accepted %d bytes", n)
	}
	return w
}

// sendHalfRequest sends the beginning of a request.
func sendHalfRequest(t *testing.T, address netip.AddrPort) {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost:"); err != nil {
		t.Fatal(err)
	}
}
