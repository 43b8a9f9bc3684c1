package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often an upstream writes its entry. A silent one loses it after three.
const heartbeat = 1500 * time.Millisecond

// Upstream is a backend server at one address. It runs slots requests at a time, rejects
// those beyond a short queue, and crashes on the requests that Crashes names.
type Upstream struct {
	Service, Zone, Address string
	Slots                  int
	Work                   time.Duration
	// Crashes reports whether a request crashes the server as it begins to run.
	Crashes func(r *http.Request) bool
	// Down is how long a crashed server stays down.
	Down time.Duration
	// Ran is told of each request that began to run.
	Ran    func(u *Upstream, id string, r *http.Request)
	store  *Store
	record *Record

	mu     sync.Mutex
	boot   int
	id     string
	server *http.Server
	conns  map[net.Conn]bool
	slots  chan struct{}
	closed bool
}

// NewUpstream returns an upstream on a free port, which is not started.
func NewUpstream(name, service, zone string, store *Store, record *Record) (*Upstream, error) {
	ports, err := FreePorts(1)
	if err != nil {
		return nil, err
	}
	return &Upstream{Service: service, Zone: zone, Address: fmt.Sprintf("127.0.0.1:%d", ports[0]), Slots: 8, Work: 20 * time.Millisecond, Down: 3 * time.Second,
		store: store, record: record, id: name}, nil
}

// Start begins a new boot with a new ID and registers it.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", u.Address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.boot++
	id := fmt.Sprintf("i-%s-%d", u.id, u.boot)
	u.conns, u.slots = map[net.Conn]bool{}, make(chan struct{}, 3*u.Slots)
	running := make(chan struct{}, u.Slots)
	server := &http.Server{}
	u.server = server
	conns := u.conns
	u.mu.Unlock()
	server.ConnState = func(c net.Conn, s http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if s == http.StateNew {
			conns[c] = true
		} else if s == http.StateClosed {
			delete(conns, c)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.serve(w, r, id, server, running) })
	go func() { _ = server.Serve(l) }()
	go u.beat(id, server)
	return nil
}

// beat writes the entry until the server has crashed, and removes it after three heartbeats
// of silence.
func (u *Upstream) beat(id string, server *http.Server) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		u.mu.Lock()
		current, closed := u.server == server, u.closed
		u.mu.Unlock()
		if closed {
			return
		}
		if !current {
			time.Sleep(2 * heartbeat)
			u.store.Delete("servers", id)
			return
		}
		u.store.Put("servers", id, map[string]any{"service_name": u.Service, "address": u.Address, "zone": u.Zone, "config_version": "v1",
			"slots": u.Slots, "state": "ready", "cold_left": "0ms", "sequence": sequence, "born": born})
		time.Sleep(heartbeat)
	}
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request, id string, server *http.Server, running chan struct{}) {
	attempt := r.Header.Get("X-Bilberrytiller-Attempt-Id")
	w.Header().Set("X-Bilberrytiller-Instance-Id", id)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("X-Bilberrytiller-Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Bilberrytiller-Attempt-Id", attempt)
	reject := func() {
		w.Header().Set("X-Bilberrytiller-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		reject()
		return
	}
	select {
	case running <- struct{}{}:
		defer func() { <-running }()
	case <-r.Context().Done():
		return
	}
	if u.Ran != nil {
		u.Ran(u, id, r)
	}
	if u.Crashes != nil && u.Crashes(r) {
		u.crash(server)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(u.Work):
	case <-r.Context().Done():
		return
	}
	text := "answer to " + attempt + ": " + string(body)
	w.Header().Set("X-Bilberrytiller-Server-Signature", id+"."+attempt)
	w.Header().Set("X-Bilberrytiller-Server-Load", fmt.Sprintf("%d,%d,%d", len(running), max(0, len(u.slots)-len(running)), u.Slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// crash ends the boot as the end of a process does: its listener and all connections are
// closed at once. The next boot begins after Down.
func (u *Upstream) crash(server *http.Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != server {
		return
	}
	u.server = nil
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = server.Close()
	time.AfterFunc(u.Down, func() {
		u.mu.Lock()
		closed := u.closed
		u.mu.Unlock()
		if !closed {
			if err := u.Start(); err != nil {
				u.record.Write("upstream at %s does not start: %v", u.Address, err)
			}
		}
	})
}

// Close ends the upstream.
func (u *Upstream) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if u.server != nil {
		_ = u.server.Close()
	}
}
