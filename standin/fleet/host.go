package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/peer"

	"bilberrytiller.example/standin/relay"
)

// Host is an entry host and the process of its daemon.
type Host struct {
	ID           string
	DataCentre   string
	Region       string
	IP           netip.Addr
	CallerAddr   netip.AddrPort
	OperatorAddr netip.AddrPort
	// peerRelay forwards the connections of peers to the daemon.
	peerRelay *relay.Relay
	// platformRelay forwards the daemon's connections to the platform.
	platformRelay *relay.Relay
	t             T
	// currentCallerAddr is CallerAddr for goroutines that keep sending while the
	// daemon restarts.
	currentCallerAddr atomic.Pointer[netip.AddrPort]
	cmd               *exec.Cmd
	log               *logBuffer
	exited            chan struct{}
}

func (h *Host) reap(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait()
	close(exited)
}

func (h *Host) awaitReady() (map[string]netip.AddrPort, bool) {
	select {
	case line := <-h.log.ready:
		return parseAddresses(line), true
	case <-h.exited:
		return nil, false
	}
}

func parseAddresses(line string) map[string]netip.AddrPort {
	out := map[string]netip.AddrPort{}
	for field := range strings.FieldsSeq(line) {
		name, value, _ := strings.Cut(field, "=")
		if addr, err := netip.ParseAddrPort(value); err == nil {
			out[name] = addr
		}
	}
	return out
}

// PID returns the process ID of the daemon.
func (h *Host) PID() int { return h.cmd.Process.Pid }

// Running reports whether the daemon's process is running.
func (h *Host) Running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// Kill kills the daemon with SIGKILL and waits until it has exited.
func (h *Host) Kill() {
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// Pause suspends the daemon's process until Resume. It returns once all of its threads
// have stopped, since they run on for a while on a busy machine.
func (h *Host) Pause() {
	h.signal(syscall.SIGSTOP)
	Eventually(h.t, h.ID+" has stopped", func() bool { return !slices.ContainsFunc(h.ThreadStates(), func(s string) bool { return s != "T" }) })
}

// ThreadStates returns the state of each thread of the daemon's process, as in
// /proc/PID/task/TID/stat.
func (h *Host) ThreadStates() []string {
	var states []string
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", h.PID()))
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if _, rest, ok := strings.Cut(string(stat), ") "); ok && err == nil {
			states = append(states, rest[:1])
		}
	}
	return states
}

// Resume resumes a paused daemon.
func (h *Host) Resume() { h.signal(syscall.SIGCONT) }

// Stop asks the daemon to stop gracefully and returns without waiting for its
// exit, which Exited reports.
func (h *Host) Stop() { h.signal(syscall.SIGTERM) }

// Exited returns a channel that is closed when the daemon's process has
// exited.
func (h *Host) Exited() <-chan struct{} { return h.exited }

// ExitCode returns the exit code of a daemon that has exited.
func (h *Host) ExitCode() int { return h.cmd.ProcessState.ExitCode() }

// Log returns the daemon's log output so far.
func (h *Host) Log() string { return h.log.String() }

func (h *Host) signal(s syscall.Signal) {
	if err := h.cmd.Process.Signal(s); err != nil {
		h.t.Fatalf("send signal %v to %s: %v", s, h.ID, err)
	}
}

// Send sends one request to the daemon that currently runs on the host, and
// returns the outcome and reason of its answer. The outcome of a request
// without a complete answer is unknown.
func (h *Host) Send(service, body string, timeout time.Duration) (request.Outcome, request.Reason) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	target := "http://" + h.currentCallerAddr.Load().String() + callerapi.PathRun + service + "/"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return request.OutcomeNotRun, request.ReasonBadRequest
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return request.OutcomeUnknown, request.ReasonConnectionLost
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return request.OutcomeUnknown, request.ReasonConnectionLost
	}
	return request.Outcome(resp.Header.Get(callerapi.HeaderOutcome)), request.Reason(resp.Header.Get(callerapi.HeaderReason))
}

// Status returns the daemon's status from its operator listener.
func (h *Host) Status() (operatorapi.Status, error) {
	var status operatorapi.Status
	err := h.GetJSON(operatorapi.PathStatus, &status)
	return status, err
}

// PeerAddr returns the address at which other daemons reach this daemon.
func (h *Host) PeerAddr() netip.AddrPort { return h.peerRelay.Addr() }

// PostJSON posts a JSON document to the daemon's operator listener and
// returns the status code of the answer.
func (h *Host) PostJSON(path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := h.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// GetJSON gets a JSON document from the daemon's operator listener. It does not
// check the status of the answer.
func (h *Host) GetJSON(path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := h.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

func (h *Host) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.OperatorAddr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(peer.HeaderAuth, peer.NewAuth("fleet", []byte(Secret)).Token(time.Now()))
	return http.DefaultClient.Do(req)
}

// logBuffer collects a daemon's log and sends the line that reports that the
// daemon is ready on the channel ready.
type logBuffer struct {
	mu    sync.Mutex
	text  strings.Builder
	ready chan string
}

// Write expects whole lines, as the logger writes them.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text.Write(p)
	scanner := bufio.NewScanner(strings.NewReader(string(p)))
	for scanner.Scan() {
		if strings.Contains(scanner.Text(), "event=daemon.ready") {
			b.ready <- scanner.Text()
		}
	}
	return len(p), nil
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
