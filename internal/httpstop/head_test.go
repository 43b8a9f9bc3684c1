package httpstop

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bilberrytiller.example/tiller/coordination/connlimit"
	"bilberrytiller.example/tiller/coordination/memory"
)

func headOf(fields int, field string) string {
	return "GET / HTTP/1.1\r\n" + strings.Repeat(field+"\r\n", fields) + "\r\n"
}

// TestOnlyLargeHeadsNeedPlaces guards against ordinary heads that wait, also if they come
// in pieces or with their bodies, and large ones that do not.
func TestOnlyLargeHeadsNeedPlaces(t *testing.T) {
	lines := strings.Repeat("x\n", 1000)
	for name, c := range map[string]struct {
		text string
		want bool
	}{
		"ordinary":            {headOf(12, "Name: value"), false},
		"most fields":         {headOf(memory.FreeHeadFields, "a:"), false},
		"body of many lines":  {headOf(12, "Name: value") + lines, false},
		"many fields":         {headOf(memory.FreeHeadFields+1, "a:"), true},
		"long field":          {headOf(1, strings.Repeat("a", memory.FreeHeadBytes)), true},
		"lines end in LF":     {strings.ReplaceAll(headOf(200, "a:"), "\r", ""), true},
		"blank line before":   {"\r\n" + headOf(200, "a:"), true},
		"ordinary LF, body":   {strings.ReplaceAll(headOf(12, "a:"), "\r", "") + lines, false},
		"no blank line at CR": {"GET / HTTP/1.1\r\na:\rb\r\n" + headOf(200, "a:"), true},
	} {
		for split := range min(len(c.text), 300) {
			var size headSize
			size.add([]byte(c.text[:split]))
			size.add([]byte(c.text[split:]))
			if size.large() != c.want {
				t.Errorf("%s, in two pieces at %d: got large %t, want %t", name, split, size.large(), c.want)
				break
			}
		}
	}
}

// TestLargeHeadWaitsForPlace guards against large heads that are parsed without bound while
// others are, against ordinary heads that wait for them, and against a client that learns
// nothing of a refusal.
func TestLargeHeadWaitsForPlace(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n\r\n"
	ordinary, large := headOf(12, "a:"), headOf(500, "a:")
	for name, c := range map[string]struct {
		text         string
		wait         time.Duration
		free, refuse bool
	}{
		"ordinary": {text: ordinary}, "place comes free": {text: large, wait: memory.HeadWait / 4, free: true},
		"no place": {text: large, wait: memory.HeadWait, refuse: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				places := memory.NewHeads(memory.New(1), 0)
				other := places.Enter(time.Now(), func() {})
				client, server := net.Pipe()
				defer client.Close()
				refused := 0
				conns := &Conns{open: map[*conn]bool{}}
				conns.LimitHeads(places, []byte(refusal), func() { refused++ })
				s := &conn{Conn: server, heads: conns.heads, waits: connlimit.Conn{Phase: connlimit.Head}}
				answer := make(chan string, 1)
				go func() {
					_, _ = io.WriteString(client, c.text)
					b, _ := io.ReadAll(client)
					answer <- string(b)
				}()
				if c.free {
					time.AfterFunc(c.wait, func() { other.Leave(time.Now()) })
				}
				began := time.Now()
				n, err := s.Read(make([]byte, bufferBytes))
				waited := time.Since(began)
				server.Close()
				got := <-answer
				if c.refuse {
					var opErr *net.OpError
					if !errors.As(err, &opErr) || opErr.Op != "read" || got != refusal || refused != 1 {
						t.Errorf("got %v and %q, %d refused, want the refusal", err, got, refused)
					}
				} else if err != nil || n != len(c.text) || refused > 0 || waited != c.wait {
					t.Errorf("got %d bytes, %v after %s, want %d after %s", n, err, waited, len(c.text), c.wait)
				}
			})
		})
	}
}

// TestHeadThatStandsStillGivesUpItsPlace guards against a client that sends a part of a large
// head and keeps others out.
func TestHeadThatStandsStillGivesUpItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		places := memory.NewHeads(memory.New(1), 0)
		read := func(text string) (ended <-chan error) {
			client, server := net.Pipe()
			t.Cleanup(func() { client.Close() })
			conns := &Conns{open: map[*conn]bool{}}
			conns.LimitHeads(places, nil, func() {})
			s := &conn{Conn: server, heads: conns.heads, waits: connlimit.Conn{Phase: connlimit.Head}}
			result := make(chan error, 1)
			go func() { _, _ = io.WriteString(client, text); _, _ = io.Copy(io.Discard, client) }()
			go func() {
				for p := make([]byte, bufferBytes); ; {
					if _, err := s.Read(p); err != nil || s.size.ended {
						s.leaveHead()
						server.Close()
						result <- err
						return
					}
				}
			}()
			return result
		}
		stalled := read(strings.TrimSuffix(headOf(500, "a:"), "\r\n"))
		synctest.Wait()
		if err := <-read(headOf(500, "b:")); err != nil {
			t.Error(fmt.Errorf("head that waits: %w", err))
		}
		if err := <-stalled; !errors.Is(err, memory.ErrShortage) {
			t.Errorf("head that stands still: got %v, want ErrShortage", err)
		}
	})
}
