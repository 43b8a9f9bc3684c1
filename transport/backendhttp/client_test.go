package backendhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/protocol/backendapi"
	"bilberrytiller.example/tiller/state/request"
)

// rawServer answers each request with a text of the test's own, "%s" in it
// being the request's identity. An empty text closes the connection, and so
// does held once a cancellation has come.
type rawServer struct {
	addr    netip.AddrPort
	mu      sync.Mutex
	answer  string
	runs    int
	conns   int
	cancels int
	// cancelled gets a value for each cancellation.
	cancelled chan struct{}
}

const held = "held"

func startRaw(t *testing.T, answer string) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{addr: l.Addr().(*net.TCPAddr).AddrPort(), answer: answer, cancelled: make(chan struct{}, 8)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	s.mu.Lock()
	s.conns++
	s.mu.Unlock()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := s.answerTo(r)
		if answer == held {
			<-s.cancelled
		}
		if answer == "" || answer == held {
			return
		}
		fmt.Fprint(conn, strings.ReplaceAll(answer, "%s", r.Header.Get(backendapi.HeaderRequestID)))
	}
}

func (s *rawServer) answerTo(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, backendapi.PathCancel) {
		s.cancels++
		s.cancelled <- struct{}{}
		return ""
	}
	s.runs++
	return s.answer
}

func (s *rawServer) counts() (runs, conns, cancels int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs, s.conns, s.cancels
}

func newRequest(key string) *request.Request {
	// The header would let the HTTP library send the request again.
	return &request.Request{
		ID: "id-1", Key: key, Service: "payments", Body: []byte("pay"), Deadline: time.Now().Add(time.Minute),
		Header: http.Header{"Idempotency-Key": {"caller's own"}},
	}
}

const head = "HTTP/1.1 200 OK\r\nTiller-Request-Id: %s\r\n"

func TestAnswersThatAreNotWholeOrNotOwn(t *testing.T) {
	for name, answer := range map[string]string{
		"connection closed": "",
		"no identity":       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"crossed":           "HTTP/1.1 200 OK\r\nTiller-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
		"two identities":    head + "Tiller-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
		"no length":         head + "Connection: close\r\n\r\nok",
		"too large":         head + fmt.Sprintf("Content-Length: %d\r\n\r\n", MaxAnswerBytes+1) + strings.Repeat("x", MaxAnswerBytes+1),
		"broken chunk":      head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
		"shed with 200":     head + "Tiller-Shed: true\r\nContent-Length: 0\r\n\r\n",
		"no HTTP":           "nonsense\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startRaw(t, answer)
			client := New(s.addr, 10)
			defer client.Close()
			for range 2 {
				if got := client.Run(context.Background(), newRequest("key")); got.Outcome != request.Unknown || len(got.Body) != 0 {
					t.Errorf("got %s (%s) %.40q, want unknown", got.Outcome, got.Reason, got.Body)
				}
			}
			runs, conns, cancels := s.counts()
			if runs != 2 || conns-cancels != 2 {
				t.Errorf("%d requests on %d connections, want 2 on 2", runs, conns-cancels)
			}
		})
	}
}

func TestRequestOnReusedConnectionIsWrittenOnce(t *testing.T) {
	s := startRaw(t, head+"Content-Length: 0\r\n\r\n")
	client := New(s.addr, 10)
	if got := client.Run(context.Background(), newRequest("key")); got.Outcome != request.Done {
		t.Fatalf("got %s (%s), want done", got.Outcome, got.Reason)
	}
	s.mu.Lock()
	s.answer = ""
	s.mu.Unlock()
	if got := client.Run(context.Background(), newRequest("key")); got.Outcome != request.Unknown {
		t.Errorf("got %s (%s), want unknown", got.Outcome, got.Reason)
	}
	if runs, _, _ := s.counts(); runs != 2 {
		t.Errorf("%d requests were written, want 2", runs)
	}
}

func TestUnwrittenRequestIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	client := New(l.Addr().(*net.TCPAddr).AddrPort(), 10)
	if got := client.Run(context.Background(), newRequest("key")); got.Outcome != request.NotRun {
		t.Errorf("no server: got %s (%s), want not-run", got.Outcome, got.Reason)
	}
	s := startRaw(t, head+"Content-Length: 0\r\n\r\n")
	w := new(writing)
	if got := New(s.addr, 10).attempt(context.Background(), sealedClient(s.addr), newRequest("key"), w); got.Outcome != request.NotRun {
		t.Errorf("connection that took no byte: got %s (%s), want not-run", got.Outcome, got.Reason)
	}
	if runs, _, _ := s.counts(); runs != 0 {
		t.Errorf("%d runs, want none", runs)
	}
}

// sealedClient returns a client whose connections take no byte, as those that
// were lost while idle.
func sealedClient(addr netip.AddrPort) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		conn, err := dialWith(&net.Dialer{})(ctx, network, addr.String())
		if err == nil {
			conn.(*countedConn).seal()
		}
		return conn, err
	}}}
}

func TestCancelReachesTheBackendServer(t *testing.T) {
	for _, key := range []string{"", "key"} {
		s := startRaw(t, held)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan request.Answer, 1)
		go func() { done <- New(s.addr, 10).Run(ctx, newRequest(key)) }()
		for runs := 0; runs == 0; runs, _, _ = s.counts() {
			time.Sleep(time.Millisecond)
		}
		cancel()
		if got := <-done; got.Outcome != request.Unknown {
			t.Errorf("key %q: got %s (%s), want unknown", key, got.Outcome, got.Reason)
		}
		if _, _, cancels := s.counts(); cancels == 0 {
			t.Errorf("key %q: no cancellation", key)
		}
	}
}
