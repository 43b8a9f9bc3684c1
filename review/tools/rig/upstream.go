package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of PROTOCOL.md.
const (
	HeaderAttempt  = "X-Bilberrytiller-Attempt-Id"
	HeaderKey      = "X-Bilberrytiller-Affinity-Key"
	HeaderDeadline = "X-Bilberrytiller-Deadline-Ms"
	HeaderExpect   = "X-Bilberrytiller-Expect-Instance"
	HeaderSigned   = "X-Bilberrytiller-Server-Signature"
	HeaderNotRun   = "X-Bilberrytiller-Not-Executed"
	HeaderInstance = "X-Bilberrytiller-Instance-Id"
	HeaderLoad     = "X-Bilberrytiller-Server-Load"
)

// Upstream is a stand-in for one backend server, as PROTOCOL.md describes it: it
// runs Slots requests at once, queues Queue more and rejects the others with
// X-Bilberrytiller-Not-Executed, and names its attempt ID, signature and load in
// its answers.
type Upstream struct {
	Service, Zone string
	Slots, Queue  int
	// Work is how long a request runs.
	Work func() time.Duration
	// OnRun is called when a request begins to run. It returns false if the request
	// makes the server crash.
	OnRun func(u *Upstream, r *Request) bool
	// Rejects reports whether the upstream rejects a request although it has a free
	// slot. It may be nil.
	Rejects func() bool
	// AfterAnswer may write further bytes to the connection after a complete answer.
	AfterAnswer func(u *Upstream, r *Request, answer []byte, write func([]byte))
	// Instead may write other bytes than an answer; it reports whether it did. The
	// connection is then closed.
	Instead func(u *Upstream, r *Request, c net.Conn) bool

	store *Store

	mu       sync.Mutex
	id       string
	address  string
	born     int64
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	slots    chan struct{}
	running  int
	waiting  int
	stopped  chan struct{}
}

// Request is a request as it reached an upstream.
type Request struct {
	ID, Key, Method, Path string
	Body                  []byte
	At                    time.Time
}

var (
	bootMu sync.Mutex
	boots  int
)

// Boot starts the upstream, or starts it again with a new id, and registers it. An
// upstream that starts again keeps its address.
func (u *Upstream) Boot(store *Store) {
	bootMu.Lock()
	boots++
	id := fmt.Sprintf("i-%04d", boots)
	bootMu.Unlock()
	u.mu.Lock()
	at := u.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		CannotRun("upstream: %v", err)
	}
	u.store, u.id, u.address, u.born, u.sequence = store, id, l.Addr().String(), time.Now().UnixMilli(), 0
	u.listener, u.conns, u.running, u.waiting = l, map[net.Conn]bool{}, 0, 0
	u.slots, u.stopped = make(chan struct{}, u.Slots), make(chan struct{})
	stopped := u.stopped
	u.mu.Unlock()
	go u.accept(l, stopped)
	u.beat()
	go u.heartbeat(stopped)
}

// ID returns the id of the present boot.
func (u *Upstream) ID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id
}

// Heartbeat is how often an upstream writes its entry.
const Heartbeat = 1500 * time.Millisecond

func (u *Upstream) heartbeat(stopped chan struct{}) {
	for {
		select {
		case <-time.After(Heartbeat):
			u.beat()
		case <-stopped:
			return
		}
	}
}

// beat writes the upstream's entry. The stand-in store creates an event for each
// change, so the entry is written only when more than sequence changes.
func (u *Upstream) beat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil || u.sequence > 0 {
		return
	}
	u.sequence++
	u.store.Put("servers", u.id, map[string]any{
		"service_name": u.Service, "address": u.address, "zone": u.Zone, "config_version": "v1", "slots": u.Slots,
		"state": "ready", "cold_left": "0ms", "sequence": u.sequence, "born": u.born,
	})
}

// Crash ends the upstream at once: all of its connections are reset and its port
// refuses further ones. Its entry expires after three heartbeats.
func (u *Upstream) Crash() { CrashTogether([]*Upstream{u}) }

// CrashTogether ends upstreams at the same moment.
func CrashTogether(all []*Upstream) {
	var ending []*Upstream
	for _, u := range all {
		u.mu.Lock()
		if u.listener != nil {
			_ = u.listener.Close()
			u.listener = nil
			ending = append(ending, u)
		}
		u.mu.Unlock()
	}
	for _, u := range ending {
		u.reset()
	}
}

// reset resets the connections of an upstream that ends.
func (u *Upstream) reset() {
	u.mu.Lock()
	for c := range u.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	close(u.stopped)
	id, store := u.id, u.store
	u.mu.Unlock()
	time.AfterFunc(3*Heartbeat, func() { store.Delete("servers", id) })
}

func (u *Upstream) accept(l net.Listener, stopped chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		if u.stopped != stopped || u.listener == nil {
			u.mu.Unlock()
			_ = c.Close()
			return
		}
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c, stopped)
	}
}

func (u *Upstream) serve(c net.Conn, stopped chan struct{}) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	var writeMu sync.Mutex
	write := func(b []byte) {
		writeMu.Lock()
		defer writeMu.Unlock()
		_, _ = c.Write(b)
	}
	reader := bufio.NewReader(c)
	for {
		in, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(in.Body)
		if err != nil {
			return
		}
		r := &Request{
			ID: in.Header.Get(HeaderAttempt), Key: in.Header.Get(HeaderKey), Method: in.Method, Path: in.RequestURI, Body: body, At: time.Now(),
		}
		answer, ok := u.handle(in, r, c, stopped)
		if !ok {
			return
		}
		write(answer)
		if u.AfterAnswer != nil {
			u.AfterAnswer(u, r, answer, write)
		}
	}
}

// handle returns the answer to a request, or false if there is none.
func (u *Upstream) handle(in *http.Request, r *Request, c net.Conn, stopped chan struct{}) ([]byte, bool) {
	if expected := in.Header.Get(HeaderExpect); expected != "" && expected != u.ID() {
		return u.answer(http.StatusMisdirectedRequest, r, "", HeaderInstance, u.ID()), true
	}
	if u.Rejects != nil && u.Rejects() || !u.enter(in, stopped) {
		Log("attempt %s is rejected by %s", r.ID, u.ID())
		return u.answer(http.StatusServiceUnavailable, r, "", HeaderNotRun, "1"), true
	}
	crashed := u.OnRun != nil && !u.OnRun(u, r)
	if crashed {
		u.Crash()
		return nil, false
	}
	select {
	case <-time.After(u.Work()):
	case <-stopped:
		return nil, false
	}
	u.leave()
	if u.Instead != nil && u.Instead(u, r, c) {
		return nil, false
	}
	return u.answer(http.StatusOK, r, "answer to "+r.ID, HeaderSigned, u.ID()+"."+r.ID), true
}

// enter takes a slot, or waits for one if the queue has room. It returns false if
// the request is rejected.
func (u *Upstream) enter(in *http.Request, stopped chan struct{}) bool {
	u.mu.Lock()
	if u.running+u.waiting >= u.Slots+u.Queue {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	slots := u.slots
	u.mu.Unlock()
	left := 30 * time.Second
	if ms, err := strconv.Atoi(in.Header.Get(HeaderDeadline)); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	entered := false
	select {
	case slots <- struct{}{}:
		entered = true
	case <-time.After(left):
	case <-stopped:
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
	if entered {
		u.running++
	}
	return entered
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	<-u.slots
}

func (u *Upstream) answer(status int, r *Request, body, name, value string) []byte {
	u.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.Slots)
	u.mu.Unlock()
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), HeaderAttempt, r.ID, HeaderLoad, load, name, value, len(body), body)
}
