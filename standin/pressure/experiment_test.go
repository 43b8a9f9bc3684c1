package pressure

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bilberrytiller.example/standin/originserver"
	"bilberrytiller.example/standin/soak"
)

// The experiments are benchmarks, run with -benchtime 1x by make experiment-bodies,
// experiment-connections, experiment-readers and experiment-collector.

const (
	// experimentTime is how long a crowd stays, smallInterval the time between two small
	// requests beside it.
	experimentTime = 5 * time.Second
	smallInterval  = 20 * time.Millisecond
)

// machine is the smaller machine of the deployments with little memory.
var machine = soak.Machine{MemoryMB: 136, MaxFDs: 2870, MaxBodyBytes: 64 << 20}

// served counts requests that were answered in full.
type served struct{ sent, answered atomic.Int64 }

func (s *served) report(b *testing.B, unit string) {
	b.ReportMetric(100*float64(s.answered.Load())/float64(max(1, s.sent.Load())), unit)
}

// sendSmall sends small requests at a fixed rate for a time.
func (g *gateway) sendSmall(d time.Duration) *served {
	var s served
	var requests sync.WaitGroup
	tick := time.NewTicker(smallInterval)
	defer tick.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
		id := fmt.Sprint("small-", s.sent.Add(1))
		requests.Go(func() {
			if g.ordinaryRequest(id) {
				s.answered.Add(1)
			}
		})
	}
	requests.Wait()
	return &s
}

// sendLarge sends requests with a large body one after the other until stop is closed.
func (g *gateway) sendLarge(body, client string, s *served, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		req, err := http.NewRequest(http.MethodPost, g.ClientURL(0)+"/pay/x", strings.NewReader(body))
		if err != nil {
			return
		}
		req.Host = "field.example"
		req.Header.Set("X-Bilberrytiller-Attempt-Id", fmt.Sprint(client, "-", i))
		req.Header.Set("X-Bilberrytiller-Deadline-Ms", "10000")
		s.sent.Add(1)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			s.answered.Add(1)
		} else {
			time.Sleep(250 * time.Millisecond)
		}
	}
}

func (g *gateway) reportMemory(b *testing.B) {
	b.Helper()
	peak, err := g.PeakMemoryMB(0)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(peak), "MB-peak")
}

// besideBodies sends small requests beside 16 clients that send bodies of one size.
func (g *gateway) besideBodies(bytes int) (small, large *served) {
	body := strings.Repeat("b", bytes)
	large = new(served)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 16 {
		clients.Go(func() { g.sendLarge(body, fmt.Sprint("large-", i), large, stop) })
	}
	small = g.sendSmall(experimentTime)
	close(stop)
	clients.Wait()
	return small, large
}

// shortAnswers are servers whose answers repeat little of a body.
var shortAnswers = originserver.Options{Slots: 8, AnswerBytes: 1 << 10}

// TestBodiesWithoutPause guards against bodies that come faster than the memory of earlier
// ones is collected.
func TestBodiesWithoutPause(t *testing.T) {
	for _, mb := range []int{4, 64} {
		g := startWith(t, machine, shortAnswers)
		small, _ := g.besideBodies(mb << 20)
		peak, err := g.PeakMemoryMB(0)
		t.Logf("%d MB: peak memory %d MB", mb, peak)
		if err != nil || peak > machine.MemoryMB {
			t.Errorf("%d MB: got a peak memory of %d MB, %v, want at most %d MB", mb, peak, err, machine.MemoryMB)
		}
		if small.answered.Load() == 0 {
			t.Errorf("%d MB: no small request is answered", mb)
		}
	}
}

// BenchmarkBodies measures small requests beside 16 clients that send bodies of one size.
func BenchmarkBodies(b *testing.B) {
	for _, mb := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint(mb, "MB"), func(b *testing.B) {
			for range b.N {
				g := startWith(b, machine, shortAnswers)
				small, large := g.besideBodies(mb << 20)
				small.report(b, "%small")
				large.report(b, "%large")
				g.reportMemory(b)
			}
		})
	}
}

// BenchmarkConnections measures small requests, each on a new connection, beside clients that
// open 1 to 10 times as many connections as the gateway has descriptors and send nothing.
// They leave when they lose their connections, or open them again.
func BenchmarkConnections(b *testing.B) {
	for _, factor := range []int{1, 2, 5, 10} {
		for name, again := range map[string]bool{"leave": false, "return": true} {
			b.Run(fmt.Sprint(factor, "x/", name), func(b *testing.B) {
				for range b.N {
					g := startOn(b, soak.Machine{MemoryMB: machine.MemoryMB, MaxFDs: maxFDs, MaxBodyBytes: machine.MaxBodyBytes})
					g.besideConnections(b, factor*maxFDs, again)
				}
			})
		}
	}
}

func (g *gateway) besideConnections(b *testing.B, n int, again bool) {
	var clients sync.WaitGroup
	end := time.Now().Add(experimentTime)
	for range n {
		clients.Go(func() { stayConnected(g.Addresses(0)[0], end, again) })
	}
	clients.Go(func() {
		for ; time.Now().Before(end); time.Sleep(smallInterval) {
			g.countSockets()
		}
	})
	g.sendSmall(experimentTime).report(b, "%small")
	clients.Wait()
	b.ReportMetric(float64(g.mostSockets), "sockets")
	g.reportMemory(b)
}

// stayConnected keeps a connection that sends nothing until a time, and opens it again when
// it is lost if again is set.
func stayConnected(address string, end time.Time, again bool) {
	for ok := true; ok && time.Now().Before(end); ok = again {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = conn.SetReadDeadline(end)
			_, _ = conn.Read(make([]byte, 1))
			conn.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// BenchmarkSlowReaders measures small requests beside clients that read answers of 1 MB a
// byte at a time.
func BenchmarkSlowReaders(b *testing.B) {
	const answerBytes = 1 << 20
	read := func(conn net.Conn, path, id string) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		length(answerBytes, answerBytes, answerBytes, 0)(conn, path, id)
		for p := make([]byte, 1); ; time.Sleep(100 * time.Millisecond) {
			if _, err := conn.Read(p); err != nil {
				return
			}
		}
	}
	for _, readers := range []int{1, 10, 100, 500} {
		b.Run(fmt.Sprint(readers), func(b *testing.B) {
			for range b.N {
				g := startOn(b, machine)
				var small *served
				g.send(readers, read, targets[0], func() { small = g.sendSmall(experimentTime) })
				small.report(b, "%small")
				g.reportMemory(b)
			}
		})
	}
}

// processorTime returns the processor time that the gateway's process has used.
func (g *gateway) processorTime(b *testing.B) time.Duration {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.PID(0)))
	if err != nil {
		b.Fatal(err)
	}
	// The name of the program, in brackets, may contain blanks.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	var user, system time.Duration
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		b.Fatal(err)
	}
	const ticksPerSecond = 100
	return (user + system) * time.Second / ticksPerSecond
}

// holdAnswer lets the gateway hold an answer of maxBodyBytes that its client does not read.
func (g *gateway) holdAnswer(b *testing.B, id string) {
	b.Helper()
	conn, err := net.Dial("tcp", g.Addresses(0)[0])
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	length(maxBodyBytes, maxBodyBytes, maxBodyBytes, 0)(conn, "/pay/x", id)
	status := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, status); err != nil || string(status) != "HTTP/1.1 200" {
		b.Fatalf("got %q, %v, want an answer", status, err)
	}
}

// BenchmarkCollector measures the processor time of a request with a body of 16 KB while
// unread answers fill a part of the memory budget of 27 MB.
func BenchmarkCollector(b *testing.B) {
	const requests, clients, bodyBytes = 8000, 16, 16 << 10
	for _, answers := range []int{0, 2, 4, 5} {
		b.Run(fmt.Sprint(answers*maxBodyBytes>>20, "MB"), func(b *testing.B) {
			for range b.N {
				g := startOn(b, soak.Machine{MemoryMB: memoryMB, MaxFDs: 2870, MaxBodyBytes: maxBodyBytes})
				for i := range answers {
					g.holdAnswer(b, fmt.Sprint("held-", i))
				}
				before, resident, began := g.processorTime(b), g.residentKB(b), time.Now()
				var all sync.WaitGroup
				var s served
				for c := range clients {
					all.Go(func() { g.sendBodies(fmt.Sprint("c", c), bodyBytes, requests/clients, &s) })
				}
				all.Wait()
				if took := time.Since(began); took > experimentTime {
					b.Errorf("the requests took %s, and the answers are not held for longer than %s", took, experimentTime)
				}
				b.ReportMetric(float64((g.processorTime(b)-before).Microseconds())/requests, "cpu-us/request")
				b.ReportMetric(resident/1024, "MB-before")
				s.report(b, "%served")
				g.reportMemory(b)
			}
		})
	}
}

// sendBodies sends requests with bodies on a kept connection.
func (g *gateway) sendBodies(client string, bodyBytes, n int, s *served) {
	c := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	body := strings.Repeat("b", bodyBytes)
	for i := range n {
		req, err := http.NewRequest(http.MethodPost, g.ClientURL(0)+"/look/x", strings.NewReader(body))
		if err != nil {
			return
		}
		req.Host = "field.example"
		req.Header.Set("X-Bilberrytiller-Attempt-Id", fmt.Sprint(client, "-", i))
		s.sent.Add(1)
		resp, err := c.Do(req)
		if err != nil {
			continue
		}
		if n, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK && n > 0 {
			s.answered.Add(1)
		}
		resp.Body.Close()
	}
}
