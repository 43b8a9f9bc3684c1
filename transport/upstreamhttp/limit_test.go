package upstreamhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
)

// maxMemoryOfEndlessAnswer is far above the limit of a head and far below what a
// server can send within a request's time.
const maxMemoryOfEndlessAnswer = 8 << 20

// startEndlessServer starts a server that answers each request with start and then
// repeats part until the connection is closed.
func startEndlessServer(t *testing.T, start, part string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	chunk := []byte(strings.Repeat(part, max(1, (64<<10)/len(part))))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, err := c.Write([]byte(start))
				for err == nil {
					_, err = c.Write(chunk)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestEndlessHeadEndsExchange guards against a server that sends a head without end:
// the daemon kept all of it and ran out of memory.
func TestEndlessHeadEndsExchange(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]struct{ start, part string }{
		"no line at all":       {"", "\x00"},
		"status line":          {"HTTP/1.1 200 ", "O"},
		"one header field":     {status + "X-Id: ", "a"},
		"header lines":         {status, "X-Load: 1,2,3\r\n"},
		"interim answers":      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"head after a 1xx one": {"HTTP/1.1 100 Continue\r\n\r\n" + status, "X-Load: 1,2,3\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startEndlessServer(t, answer.start, answer.part)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			x := New(testHeaders).Run(ctx, addr, newRequest("a"))
			runtime.ReadMemStats(&after)
			if !errors.Is(x.Err, ErrHeadTooLarge) || !x.Sent || x.Answer != nil {
				t.Errorf("got %+v, want ErrHeadTooLarge after a sent request", x)
			}
			if used := after.TotalAlloc - before.TotalAlloc; used > maxMemoryOfEndlessAnswer {
				t.Errorf("reading the head took %d bytes of memory, want at most %d", used, maxMemoryOfEndlessAnswer)
			}
		})
	}
}

// TestEndlessBodyEndsExchange guards against an answer whose body does not end.
func TestEndlessBodyEndsExchange(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: s\r\n"
	for name, answer := range map[string]struct{ start, part string }{
		"until the end of the connection": {head + "\r\n", "x"},
		"length":                          {head + "Content-Length: 99999999999\r\n\r\n", "x"},
		"chunks":                          {head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		"size of a chunk":                 {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"extension of a chunk":            {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":                         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Load: 1,2,3\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startEndlessServer(t, answer.start, answer.part)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			client := New(testHeaders)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			x := client.Run(ctx, addr, newRequest("a"))
			runtime.ReadMemStats(&after)
			if x.Answer != nil || x.Result.Outcome != upstream.Lost || ctx.Err() != nil {
				t.Errorf("got answer %+v and error %v, want an error before the request's time is over", x.Answer, x.Err)
			}
			// A buffer that doubles up to the limit takes four times it altogether.
			if used := after.TotalAlloc - before.TotalAlloc; used > 128<<20 {
				t.Errorf("reading the body took %d bytes of memory, want at most %d", used, 128<<20)
			}
			if n := client.OpenConns(); n != 0 {
				t.Errorf("got %d open connections, want the one of the request closed", n)
			}
		})
	}
}

// stallingBody returns bytes up to a limit and then blocks.
type stallingBody struct {
	left    int
	stalled func()
	resume  <-chan struct{}
}

func (b *stallingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.stalled()
		<-b.resume
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// TestUnfinishedBodiesShareMemory guards against many large bodies that arrive at the
// same time and do not end: each was kept up to the limit of a single one.
func TestUnfinishedBodiesShareMemory(t *testing.T) {
	const bodies = 24
	memory := New(testHeaders).bodyMemory
	resume := make(chan struct{})
	var settled, ended sync.WaitGroup
	var before, held runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range bodies {
		settled.Add(1)
		var once sync.Once
		done := func() { once.Do(settled.Done) }
		ended.Go(func() {
			defer done()
			if _, err := readBody(&stallingBody{left: MaxAnswerBytes / 2, stalled: done, resume: resume}, memory); err == nil {
				t.Error("got a body that has not ended")
			}
		})
	}
	settled.Wait()
	runtime.GC()
	runtime.ReadMemStats(&held)
	close(resume)
	ended.Wait()
	const want = largeBodyMemory + bodies*2*smallBodyBytes
	if used := int64(held.HeapAlloc) - int64(before.HeapAlloc); used > want {
		t.Errorf("%d bodies held %d bytes of memory, want at most %d", bodies, used, want)
	}
	if !memory.TryAcquire(largeBodyMemory) {
		t.Error("the memory of bodies that ended is still in use")
	}
}

// TestSmallAnswerPassesBesideLargeBodies guards against large bodies that use up
// the memory of the answers that everybody else waits for.
func TestSmallAnswerPassesBesideLargeBodies(t *testing.T) {
	client := New(testHeaders)
	if !client.bodyMemory.TryAcquire(largeBodyMemory) {
		t.Fatal("memory for large bodies is in use before the test")
	}
	small, large := strings.Repeat("x", 64<<10), strings.Repeat("x", 1<<20)
	addr := startScriptedServer(t, []string{successAnswer(small), successAnswer(large)}, []string{successAnswer(large)})
	if x := client.Run(context.Background(), addr, newRequest("a")); x.Err != nil || string(x.Answer.Body) != small {
		t.Errorf("small answer: got error %v, want its body", x.Err)
	}
	if x := client.Run(context.Background(), addr, newRequest("b")); !errors.Is(x.Err, ErrBodyMemory) {
		t.Errorf("large answer: got %v, want ErrBodyMemory", x.Err)
	}
	client.bodyMemory.Release(largeBodyMemory)
	if x := client.Run(context.Background(), addr, newRequest("c")); x.Err != nil || string(x.Answer.Body) != large {
		t.Errorf("large answer with free memory: got error %v, want its body", x.Err)
	}
}

// TestLargeAnswerWaitsForMemory guards against an answer that is lost, although its
// request has run, since another one is about to release its memory.
func TestLargeAnswerWaitsForMemory(t *testing.T) {
	client := New(testHeaders)
	if !client.bodyMemory.TryAcquire(largeBodyMemory) {
		t.Fatal("memory for large bodies is in use before the test")
	}
	refused := make(chan struct{}, 1)
	memory := &observedMemory{client.bodyMemory, refused}
	client.SetBodyMemory(memory)
	go func() {
		<-refused
		memory.Release(largeBodyMemory)
	}()
	large := strings.Repeat("x", 1<<20)
	addr := startScriptedServer(t, []string{successAnswer(large)})
	if x := client.Run(context.Background(), addr, newRequest("a")); x.Err != nil || string(x.Answer.Body) != large {
		t.Errorf("got error %v, want the answer's body", x.Err)
	}
}

// observedMemory reports a refusal.
type observedMemory struct {
	BodyMemory
	refused chan struct{}
}

func (m *observedMemory) TryAcquire(n int64) bool {
	if m.BodyMemory.TryAcquire(n) {
		return true
	}
	select {
	case m.refused <- struct{}{}:
	default:
	}
	return false
}

// TestConnectionLimit guards against connections to servers that take the descriptors of
// everything else, and idle ones that keep a request from being sent.
func TestConnectionLimit(t *testing.T) {
	client := New(testHeaders)
	client.SetMaxConns(1)
	first := startScriptedServer(t, []string{successAnswer("1")})
	if x := client.Run(context.Background(), first, newRequest("a")); x.Err != nil || client.OpenConns() != 1 {
		t.Fatalf("got %v and %d connections, want an answer and 1", x.Err, client.OpenConns())
	}
	second := startEndlessServer(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: s\r\n\r\n", "x")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	busy, _, err := client.getConn(ctx, second, newRequest("a"))
	if err != nil || client.OpenConns() != 1 {
		t.Fatalf("got %v and %d connections, want the idle connection closed", err, client.OpenConns())
	}
	if x := client.Run(ctx, first, newRequest("b")); !errors.Is(x.Err, ErrTooManyConns) || x.Sent {
		t.Errorf("got %+v, want ErrTooManyConns and nothing sent", x)
	}
	_ = busy.Close()
	_ = busy.Close()
	if n := client.OpenConns(); n != 0 {
		t.Errorf("got %d open connections at the end, want 0", n)
	}
}
