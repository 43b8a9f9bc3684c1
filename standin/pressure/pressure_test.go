// Package pressure runs a gateway as a process on a machine with little memory and few
// descriptors, and sends it crowds of clients that do not behave.
package pressure

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/standin/originserver"
	"bilberrytiller.example/standin/soak"
)

const (
	memoryMB     = 64
	maxFDs       = 400
	maxBodyBytes = 4 << 20
	// reservedFDs are the descriptors that a machine reserves for files.
	reservedFDs = 200
	// bodies is the number of clients with bodies, which exceed the memory together. With
	// connections they exceed the descriptors.
	bodies, connections = 32, 600
	// crowdTime is how long a crowd stays at one path, waitTime the limit of other waits.
	crowdTime = 3 * time.Second
	waitTime  = 20 * time.Second
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "pressure")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "tillerd")
	build := exec.Command("go", "build", "-o", program, "bilberrytiller.example/tiller/cmd/tillerd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// target is a path at one of the addresses of a gateway.
type target struct {
	name    string
	address int
	path    string
}

// targets are a path with a route, one without, the readiness path, the directory and the
// address for other gateways.
var targets = []target{
	{"routed", 0, "/pay/x"}, {"unrouted", 0, "/none/x"}, {"ready", 1, "/v1/ready"}, {"directory", 2, "/v1/resolve?name=field.example&region=r1&zone=z1"},
	{"peers", 3, "/x"},
}

// client is one client of a crowd. It returns when it has sent everything; its connection
// stays open until the crowd leaves.
type client func(conn net.Conn, path, id string)

func head(method, path, id, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: field.example\r\nX-Bilberrytiller-Attempt-Id: %s\r\nX-Bilberrytiller-Deadline-Ms: 2000\r\n%s\r\n", method, path, id, fields)
}

// repeat writes piece n times, with a pause after each.
func repeat(w io.Writer, piece string, n int, pause time.Duration) {
	for range n {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

func chunk(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("b", bytes)) }

// length returns a client that states the length of a body and sends some bytes of it in
// pieces.
func length(stated, sent, piece int, pause time.Duration) client {
	return func(conn net.Conn, path, id string) {
		_, _ = io.WriteString(conn, head("POST", path, id, fmt.Sprintf("Content-Length: %d\r\n", stated)))
		repeat(conn, strings.Repeat("b", piece), sent/piece, pause)
		repeat(conn, strings.Repeat("b", sent%piece), 1, 0)
	}
}

// chunks returns a client that sends a body in chunks, and its end only if whole is set.
func chunks(size, n int, whole bool) client {
	return func(conn net.Conn, path, id string) {
		_, _ = io.WriteString(conn, head("POST", path, id, "Transfer-Encoding: chunked\r\n"))
		repeat(conn, chunk(size), n, 0)
		if whole {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}
}

func manyFields(conn net.Conn, path, id string) {
	var fields strings.Builder
	for i := range 2500 {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	repeat(conn, head("GET", path, id, fields.String()), 50, 0)
}

func manyQueryParts(conn net.Conn, path, id string) {
	separator := "?"
	if strings.Contains(path, "?") {
		separator = "&"
	}
	repeat(conn, head("GET", path+separator+strings.Repeat("a&", 7000), id, ""), 50, 0)
}

// sendAhead sends requests without reading the answers.
func sendAhead(conn net.Conn, path, id string) {
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	body := strings.Repeat("b", 256<<10)
	for i := range 100 {
		if _, err := io.WriteString(conn, head("POST", path, fmt.Sprint(id, "-", i), fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body); err != nil {
			return
		}
	}
}

// readSlowly sends a body, which comes back in the answer, and reads a byte at a time.
func readSlowly(conn net.Conn, path, id string) {
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	length(maxBodyBytes, maxBodyBytes, maxBodyBytes, 0)(conn, path, id)
	for b := make([]byte, 1); ; time.Sleep(100 * time.Millisecond) {
		if _, err := conn.Read(b); err != nil {
			return
		}
	}
}

func slowHead(conn net.Conn, path, id string) {
	text := head("GET", path, id, "")
	for i := range len(text) - 1 {
		repeat(conn, text[i:i+1], 1, 100*time.Millisecond)
	}
}

func silent(net.Conn, string, string) {}

// halfClosed ends its sending side in the middle of a body.
func halfClosed(conn net.Conn, path, id string) {
	length(maxBodyBytes, maxBodyBytes/2, maxBodyBytes, 0)(conn, path, id)
	_ = conn.(*net.TCPConn).CloseWrite()
}

// gateway is a gateway process under test.
type gateway struct {
	*soak.Cluster
	mostSockets int
}

func start(t *testing.T) *gateway {
	t.Helper()
	return startOn(t, soak.Machine{MemoryMB: memoryMB, MaxFDs: maxFDs, MaxBodyBytes: maxBodyBytes})
}

func startOn(t testing.TB, m soak.Machine) *gateway {
	t.Helper()
	return startWith(t, m, originserver.Options{Slots: 8})
}

// startWith starts a gateway with one backend server of each service.
func startWith(t testing.TB, m soak.Machine, o originserver.Options) *gateway {
	t.Helper()
	c, err := soak.NewCluster(program, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	c.SetMachine(m)
	for _, service := range []string{"look", "pay"} {
		o.ID = "i-" + service
		if err := c.AddServer(service, o); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Configure(1); err != nil {
		t.Fatal(err)
	}
	if _, err := c.AddGateway(); err != nil {
		t.Fatal(err)
	}
	if err := c.Start(0); err != nil {
		t.Fatal(err)
	}
	g := &gateway{Cluster: c}
	g.eventually(t, "the gateway is ready", func() bool { return c.Ready(0) })
	return g
}

// eventually waits until holds, and fails the test if the process exits.
func (g *gateway) eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTime); !holds(); time.Sleep(20 * time.Millisecond) {
		if exited, err := g.Exited(0); exited {
			t.Fatalf("the process exited by itself: %v", err)
		}
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", waitTime, what)
		}
	}
}

// countSockets records the largest number of sockets that the process has had open.
func (g *gateway) countSockets() {
	dir := fmt.Sprintf("/proc/%d/fd", g.PID(0))
	entries, _ := os.ReadDir(dir)
	sockets := 0
	for _, e := range entries {
		if link, _ := os.Readlink(filepath.Join(dir, e.Name())); strings.HasPrefix(link, "socket:") {
			sockets++
		}
	}
	g.mostSockets = max(g.mostSockets, sockets)
}

// ordinaryRequest reports whether one request with a small body is answered.
func (g *gateway) ordinaryRequest(id string) bool {
	req, err := http.NewRequest(http.MethodPost, g.ClientURL(0)+"/look/x", strings.NewReader("ordinary"))
	if err != nil {
		return false
	}
	req.Host = "field.example"
	req.Header.Set("X-Bilberrytiller-Attempt-Id", id)
	req.Header.Set("X-Bilberrytiller-Deadline-Ms", "2000")
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == originserver.ResponseBody(id, []byte("ordinary"))
}

// send lets a crowd connect to a target and stay for crowdTime, and calls check while its
// connections are still open.
func (g *gateway) send(crowd int, c client, to target, check func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var clients sync.WaitGroup
	for i := range crowd {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", g.Addresses(0)[to.address], time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			c(conn, to.path, fmt.Sprint(to.name, "-", i))
		})
	}
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		g.countSockets()
	}
	check()
	mu.Lock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	mu.Unlock()
	clients.Wait()
}

// endure sends a crowd to each target in turn, and checks that the process lives within
// its limits and answers an ordinary request.
func endure(t *testing.T, crowd int, c client) {
	t.Helper()
	g := start(t)
	for _, to := range targets {
		g.send(crowd, c, to, func() {
			attempts := 0
			g.eventually(t, "an ordinary request is answered beside the crowd at "+to.name, func() bool {
				attempts++
				return g.ordinaryRequest(fmt.Sprint("ordinary-", to.name, "-", attempts))
			})
		})
		g.eventually(t, "the gateway is ready after the crowd at "+to.name, func() bool { return g.Ready(0) })
		peak, err := g.PeakMemoryMB(0)
		t.Logf("%s: peak memory %d MB, sockets %d", to.name, peak, g.mostSockets)
		if err != nil || peak > memoryMB {
			t.Errorf("%s: got a peak memory of %d MB, %v, want at most %d MB", to.name, peak, err, memoryMB)
		}
		if g.mostSockets > maxFDs-reservedFDs {
			t.Errorf("%s: got %d open sockets, want at most %d", to.name, g.mostSockets, maxFDs-reservedFDs)
		}
	}
}

// Each test guards against a form of misbehaviour that ends or starves the process.

func TestWholeBodies(t *testing.T) {
	endure(t, bodies, length(maxBodyBytes, maxBodyBytes, maxBodyBytes, 0))
}

func TestBodiesInPieces(t *testing.T) {
	endure(t, bodies, length(maxBodyBytes, maxBodyBytes, 8<<10, 0))
}

func TestBodiesInChunks(t *testing.T) { endure(t, bodies, chunks(64<<10, maxBodyBytes>>16, true)) }

func TestBodiesShortOfTheirEnd(t *testing.T) {
	endure(t, bodies, length(maxBodyBytes, maxBodyBytes-1, maxBodyBytes, 0))
}

func TestSmallBodiesShortOfTheirEnd(t *testing.T) {
	endure(t, connections, length(16<<10, 16<<10-1, 16<<10, 0))
}

func TestChunksWithoutEnd(t *testing.T) { endure(t, bodies, chunks(64<<10, maxBodyBytes>>16, false)) }

func TestBodiesOverTheLimit(t *testing.T) {
	endure(t, bodies, length(1<<30, 8*maxBodyBytes, 1<<20, 0))
}

func TestChunksOverTheLimit(t *testing.T) {
	endure(t, bodies, chunks(1<<20, 8*maxBodyBytes>>20, true))
}

func TestManyShortChunks(t *testing.T) { endure(t, bodies, chunks(1, 100_000, true)) }

func TestManyShortFields(t *testing.T) { endure(t, connections, manyFields) }

func TestManyShortQueryParts(t *testing.T) { endure(t, connections, manyQueryParts) }

func TestRequestsSentAhead(t *testing.T) { endure(t, connections, sendAhead) }

func TestSlowReaders(t *testing.T) { endure(t, bodies, readSlowly) }

func TestSlowHeads(t *testing.T) { endure(t, connections, slowHead) }

func TestSlowBodies(t *testing.T) {
	endure(t, connections, length(maxBodyBytes, 16<<10, 128, 20*time.Millisecond))
}

func TestSilentConnections(t *testing.T) { endure(t, connections, silent) }

func TestHalfClosedBodies(t *testing.T) { endure(t, bodies, halfClosed) }

// TestSingleLargeBodyIsServed guards against limits that refuse a request inside the
// limits in calm.
func TestSingleLargeBodyIsServed(t *testing.T) {
	for _, m := range []soak.Machine{
		{MemoryMB: memoryMB, MaxFDs: maxFDs, MaxBodyBytes: maxBodyBytes}, {MemoryMB: 136, MaxFDs: 2870, MaxBodyBytes: 31 << 20},
	} {
		t.Run(fmt.Sprint(m.MemoryMB, " MB"), func(t *testing.T) { sendLargeBodies(t, m) })
	}
}

func sendLargeBodies(t *testing.T, m soak.Machine) {
	g := startOn(t, m)
	for i := range 5 {
		body := strings.Repeat("b", m.MaxBodyBytes)
		id := fmt.Sprint("large-", i)
		req, err := http.NewRequest(http.MethodPost, g.ClientURL(0)+"/pay/x", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "field.example"
		req.Header.Set("X-Bilberrytiller-Attempt-Id", id)
		req.Header.Set("X-Bilberrytiller-Deadline-Ms", "10000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || string(got) != originserver.ResponseBody(id, []byte(body)) {
			t.Errorf("request %d: got status %d and %d bytes, %v, want the whole answer", i, resp.StatusCode, len(got), err)
		}
	}
	peak, err := g.PeakMemoryMB(0)
	t.Logf("peak memory %d MB", peak)
	if err != nil || peak > m.MemoryMB {
		t.Errorf("got a peak memory of %d MB, %v, want at most %d MB", peak, err, m.MemoryMB)
	}
}
