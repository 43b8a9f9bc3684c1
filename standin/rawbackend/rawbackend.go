// Package rawbackend is a stand-in for a backend server that answers with
// arbitrary bytes, for answers that no HTTP server would send.
package rawbackend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"bilberrytiller.example/tiller/protocol/backendapi"
)

// Server answers each request with a text chosen by the test, in which "%s" is
// replaced by the request ID. An empty text closes the connection.
type Server struct {
	// Addr is the address that the server listens on.
	Addr    netip.AddrPort
	mu      sync.Mutex
	answer  string
	runs    int
	conns   int
	cancels int
	// cancelled receives a value for each cancellation.
	cancelled chan struct{}
}

// HoldUntilCancelled is an answer that waits for a cancellation and then
// closes the connection without a response.
const HoldUntilCancelled = "held"

// Start starts a server that stops at the end of its test.
func Start(t testing.TB, answer string) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Addr: l.Addr().(*net.TCPAddr).AddrPort(), answer: answer, cancelled: make(chan struct{}, 8)}
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

func (s *Server) serve(conn net.Conn) {
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
		if answer == HoldUntilCancelled {
			<-s.cancelled
		}
		if answer == "" || answer == HoldUntilCancelled {
			return
		}
		fmt.Fprint(conn, strings.ReplaceAll(answer, "%s", r.Header.Get(backendapi.HeaderRequestID)))
	}
}

func (s *Server) answerTo(r *http.Request) string {
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

// Counts returns the number of requests, connections and cancellations so far.
func (s *Server) Counts() (runs, conns, cancels int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs, s.conns, s.cancels
}

// SetAnswer sets the answer to later requests.
func (s *Server) SetAnswer(answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}
