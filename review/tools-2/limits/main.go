// Command limits raises max_header_bytes while clients keep connections open, and sends
// requests with heads that only the new limit allows.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"review.example/tools2/rig"
)

const (
	host = "hulo84.example"
	// clients is the number of clients of each machine, each with one kept connection.
	clients     = 20
	pause       = 250 * time.Millisecond
	configApply = 2500 * time.Millisecond
	// The limit of wire's example, the raised one, and the size of a large header field.
	oldLimit, newLimit, fieldBytes = 16384, 65536, 40_000
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func desiredState(version string, headerBytes int) map[string]any {
	return map[string]any{"config_version": version,
		"routes": map[string]any{"r-exd9dnn": map[string]any{"hostname": host, "path_prefix": "/xapu221/ny95/", "route_type": "non_idempotent",
			"timeout": "1000ms", "target_latency": "250ms", "priority": 1, "service_name": "wuno96b", "max_attempts": 2, "session_affinity": false, "allowed_regions": []string{}}},
		"services": map[string]any{"wuno96b": map[string]any{"health_path": "/health", "max_conns": 330, "cold_start": "3s", "cold_per_s": 22.0}},
		"limits":   map[string]any{"max_header_bytes": headerBytes, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"}}
}

// client is a client with one kept connection. It opens a new one when that has ended.
type client struct {
	daemon *rig.Daemon
	conn   net.Conn
	reader *bufio.Reader
	// carried is the number of requests that the connection has carried.
	carried int
}

// send sends one request, with a large head field if large is set. The status is 0 if there
// is no answer. kept says that the connection has carried requests before.
func (c *client) send(id string, large bool) (status int, kept bool) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.daemon.Frontend, time.Second)
		if err != nil {
			return 0, false
		}
		c.conn, c.reader, c.carried = conn, bufio.NewReader(conn), 0
	}
	kept = c.carried > 0
	c.carried++
	field := ""
	if large {
		field = "X-Note: " + strings.Repeat("n", fieldBytes) + "\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	head := fmt.Sprintf("POST /xapu221/ny95/2f HTTP/1.1\r\nHost: %s\r\nX-Bilberrytiller-Attempt-Id: %s\r\nX-Bilberrytiller-Deadline-Ms: 1500\r\nContent-Length: 4\r\n%s\r\nbody", host, id, field)
	_, _ = io.WriteString(c.conn, head)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return 0, kept
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return resp.StatusCode, kept
}

func (c *client) close() {
	_ = c.conn.Close()
	c.conn = nil
}

func run(repo, folder string, trouble bool) int {
	record, err := rig.NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	work, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer os.RemoveAll(work)
	store := rig.NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	go func() { _ = http.Serve(l, store) }()
	first := oldLimit
	if !trouble {
		first = newLimit
	}
	store.Put("config", "main", desiredState("r7", first))
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := range 6 {
		u, err := rig.NewUpstream(fmt.Sprint("u", i), "wuno96b", rig.Zones[i%len(rig.Zones)][0], store, record)
		if err != nil {
			fmt.Println(err)
			return 2
		}
		u.Slots = 20
		u.Ran = func(_ *rig.Upstream, _ string, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			ran[r.Header.Get("X-Bilberrytiller-Attempt-Id")] = true
		}
		if err := u.Start(); err != nil {
			fmt.Println(err)
			return 2
		}
		defer u.Close()
	}
	fleet, err := rig.NewFleet(repo, work, l.Addr().String(), record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer fleet.Kill()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		fleet.Kill()
		_ = os.RemoveAll(work)
		os.Exit(2)
	}()
	if err := fleet.Start(); err != nil {
		fmt.Println(err)
		return 2
	}
	began := time.Now()
	raise, large, end := began.Add(5*time.Second), began.Add(15*time.Second), began.Add(25*time.Second)

	all, refused, onNew := 0, 0, map[int]int{}
	var group sync.WaitGroup
	for _, d := range fleet {
		for i := range clients {
			group.Go(func() {
				c := &client{daemon: d}
				time.Sleep(pause * time.Duration(i) / clients)
				for time.Now().Before(end) {
					id := rig.NewID()
					isLarge := time.Now().After(large)
					status, kept := c.send(id, isLarge)
					mu.Lock()
					all++
					if isLarge {
						record.Write("%s with a head of %d bytes sent to %s, kept connection %t: %d, run %t", id, fieldBytes, d.Name, kept, status, ran[id])
						if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
							refused++
						}
						if !kept {
							onNew[status]++
						}
					}
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
	}
	if trouble {
		time.Sleep(time.Until(raise))
		confirmed := store.Put("config", "main", desiredState("r8", newLimit))
		record.Write("r8 with max_header_bytes = %d is confirmed; %s until large heads are sent", newLimit, large.Sub(confirmed).Round(time.Millisecond))
		if large.Sub(confirmed) < configApply {
			return 2
		}
	}
	group.Wait()
	allowed := 5 + all/500
	record.Print("%d of %d requests were refused with a 4xx of the machines' own, %s and more after the confirmation; allowed %d", refused, all, large.Sub(raise), allowed)
	record.Print("large heads on new connections were answered %v", onNew)
	if all < 1000 {
		return 2
	}
	if refused > allowed {
		record.Print("DENIED is broken")
		return 1
	}
	return 0
}
