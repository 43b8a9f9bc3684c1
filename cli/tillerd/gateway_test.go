package tillerd

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"bilberrytiller.example/tiller/platform"
)

// childEnv makes the test program run the gateway.
const childEnv = "TILLERD_TEST_GATEWAY"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(run([]string{gatewayCommand}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const stopSettings = `node_name = "h1"
zone = "z1"
region = "r1"
ip = "127.0.0.1"
internal_ports = [%[1]d, %[1]d]
seeds = [%[4]q]
[zones]
z1 = "r1"
[listen]
frontend = %[2]q
readiness = "127.0.0.1:0"
directory = "127.0.0.1:0"
control = "127.0.0.1:0"
[bounds]
grace = %[3]q
retry_window = "10s"
retry_budget_ratio = 0.2
retry_slack = 58
ttl_max = "5s"
[platform_settings]
address = %[4]q
`

// TestStopEndsInTime guards against a process that is still there when the time for its
// stop is over, although the store and a daemon accept connections and never answer, a
// client sends half a request, and nobody reads the log.
func TestStopEndsInTime(t *testing.T) {
	const grace = 3200 * time.Millisecond
	silent := listen(t)
	client := freeAddress(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	text := fmt.Sprintf(stopSettings, freePort(t), client, grace, silent)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"=1", platform.SettingsEnv+"="+path)
	cmd.Stdout = fullPipe(t)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
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

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func freePort(t *testing.T) uint16 {
	t.Helper()
	address, err := net.ResolveTCPAddr("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	return address.AddrPort().Port()
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

// sendHalfRequest waits for the client address to accept a connection, and sends the
// beginning of a request on it.
func sendHalfRequest(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost:"); err != nil {
				t.Fatal(err)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}
