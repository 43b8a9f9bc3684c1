package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bilberrytiller.example/standin/originserver"
)

// startWait limits the wait for a gateway to start.
const startWait = 20 * time.Second

// newSingleGateway returns a cluster with a configuration, a server for look-ups and one
// gateway that has not been started.
func newSingleGateway(t *testing.T) *Cluster {
	t.Helper()
	c, err := NewCluster(program, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.AddServer("look", originserver.Options{ID: "i-look", Slots: 8}); err != nil {
		t.Fatal(err)
	}
	if err := c.Configure(1); err != nil {
		t.Fatal(err)
	}
	if _, err := c.AddGateway(); err != nil {
		t.Fatal(err)
	}
	return c
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(startWait); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", startWait, what)
		}
	}
}

// requireRunning fails the test if the gateway's process has exited.
func requireRunning(t *testing.T, c *Cluster) {
	t.Helper()
	select {
	case err := <-c.gateways[0].exited:
		c.gateways[0].exited <- err
		log, _ := os.ReadFile(filepath.Join(c.dir, "edge-1.log"))
		t.Fatalf("the process exited by itself: %v\n%s", err, log)
	default:
	}
}

// lookUp sends a request through the gateway and returns the status.
func lookUp(t *testing.T, c *Cluster, id string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, c.ClientURL(0)+"/look/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "field.example"
	req.Header.Set("X-Bilberrytiller-Attempt-Id", id)
	req.Header.Set("X-Bilberrytiller-Deadline-Ms", "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestGatewayOutlivesItsLogReader guards against a reader of the log that ends: the next
// line ended the gateway's process, and all of its requests with it.
func TestGatewayOutlivesItsLogReader(t *testing.T) {
	c := newSingleGateway(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.startWithOutput(0, writer); err != nil {
		t.Fatal(err)
	}
	writer.Close()
	eventually(t, "the gateway is ready", func() bool { requireRunning(t, c); return c.Ready(0) })
	reader.Close()
	// Each request writes a line, which the gateway writes in batches.
	for i := range 30 {
		if status := lookUp(t, c, string(rune('a'+i))); status != http.StatusOK {
			t.Errorf("request %d: got status %d, want 200", i, status)
		}
		time.Sleep(20 * time.Millisecond)
		requireRunning(t, c)
	}
	if err := c.Signal(0, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := c.AwaitExit(0); err != nil {
		t.Errorf("got %v after SIGTERM, want exit status 0", err)
	}
	c.gateways[0].exited <- nil
}

// logContains reports whether the log of the gateway contains text.
func logContains(c *Cluster, text string) bool {
	log, err := os.ReadFile(filepath.Join(c.dir, "edge-1.log"))
	return err == nil && strings.Contains(string(log), text)
}

// TestStartWaitsForItsPort guards against a port that is still in use when a gateway
// starts: the process ended, and was not there until somebody started it again.
func TestStartWaitsForItsPort(t *testing.T) {
	for i, listener := range []string{"frontend", "readiness", "directory", "control"} {
		t.Run(listener, func(t *testing.T) {
			c := newSingleGateway(t)
			l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", c.gateways[0].ports[i]))
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			if err := c.Start(0); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the gateway finds the address in use", func() bool {
				requireRunning(t, c)
				return logContains(c, "event=gateway.address_in_use")
			})
			l.Close()
			eventually(t, "the gateway is ready", func() bool { requireRunning(t, c); return c.Ready(0) })
			if status := lookUp(t, c, "a"); status != http.StatusOK {
				t.Errorf("got status %d, want 200", status)
			}
		})
	}
}

// TestStartWaitsForItsSettings guards against a settings file that is being written when
// a gateway starts: the process ended.
func TestStartWaitsForItsSettings(t *testing.T) {
	c := newSingleGateway(t)
	path := c.gateways[0].settingsPath
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, length := range []int{0, len(whole) / 2} {
		if err := os.WriteFile(path, whole[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		if length == 0 {
			if err := c.Start(0); err != nil {
				t.Fatal(err)
			}
		}
		eventually(t, "the gateway has read the settings", func() bool { requireRunning(t, c); return logContains(c, "settings are read again") })
	}
	if err := os.WriteFile(path, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the gateway is ready", func() bool { requireRunning(t, c); return c.Ready(0) })
}

// TestInvalidSettingsEndTheStart checks that the wait for settings has an end.
func TestInvalidSettingsEndTheStart(t *testing.T) {
	c := newSingleGateway(t)
	if err := os.WriteFile(c.gateways[0].settingsPath, []byte("node_name = 7\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := c.Start(0); err != nil {
		t.Fatal(err)
	}
	err := c.AwaitExit(0)
	c.gateways[0].exited <- err
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitSettings {
		t.Errorf("got %v, want exit status %d", err, exitSettings)
	}
}

// exitSettings is the exit code of a gateway with invalid settings.
const exitSettings = 2
