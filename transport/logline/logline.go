// Package logline writes zerolog's events as lines of key=value pairs.
//
// A line starts with the time, the level and the event; the other pairs
// follow in the order in which they were given. A value that a reader could
// take for more than one word is quoted as in JSON.
package logline

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes is how much is kept back before it is written.
	bufferBytes = 64 << 10
	// flushPeriod bounds how long a line is kept back.
	flushPeriod = 100 * time.Millisecond
	// maxPairs is how many pairs of an event are put in order; others keep
	// theirs.
	maxPairs = 64
)

// first names the pairs that a line starts with.
var first = [...]string{"time", "level", "event"}

// Writer turns each event that zerolog writes into a line. It is safe for
// concurrent use.
type Writer struct {
	mu     sync.Mutex
	out    io.Writer
	buffer []byte
	closed bool
	stop   chan struct{}
}

// NewWriter returns a writer that writes lines of levels debug and info to
// out at the latest after 100 ms, and others at once. Close must be called
// for the last ones.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{})}
	w.buffer = make([]byte, 0, 2*bufferBytes)
	go w.flushPeriodically()
	return w
}

// Write takes one event as JSON. What is no JSON object is written as it is.
func (w *Writer) Write(event []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = Append(w.buffer, event)
	if len(w.buffer) < bufferBytes && !w.closed && mayWait(event) {
		return len(event), nil
	}
	return len(event), w.flush()
}

// mayWait reports whether an event is of a level that is kept back. zerolog
// writes the level first.
func mayWait(event []byte) bool {
	return bytes.HasPrefix(event, []byte(`{"level":"info"`)) || bytes.HasPrefix(event, []byte(`{"level":"debug"`))
}

// Flush writes the lines that were kept back.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flush()
}

// Close writes the lines that were kept back. Later lines are written at
// once.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.stop)
	}
	return w.flush()
}

func (w *Writer) flush() error {
	if len(w.buffer) == 0 {
		return nil
	}
	_, err := w.out.Write(w.buffer)
	w.buffer = w.buffer[:0]
	return err
}

func (w *Writer) flushPeriodically() {
	ticker := time.NewTicker(flushPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = w.Flush()
		case <-w.stop:
			return
		}
	}
}

// pair is one field of an event: its name, and its value as JSON.
type pair struct{ name, value []byte }

// Append appends the line for an event in JSON.
func Append(line, event []byte) []byte {
	var pairs [maxPairs]pair
	count, ok := split(event, &pairs)
	if !ok {
		return append(line, event...)
	}
	for _, name := range first {
		for i := range pairs[:count] {
			if string(pairs[i].name) == name {
				line = appendPair(line, pairs[i])
				pairs[i].name = nil
			}
		}
	}
	for i := range pairs[:count] {
		if pairs[i].name != nil {
			line = appendPair(line, pairs[i])
		}
	}
	line[len(line)-1] = '\n'
	return line
}

func appendPair(line []byte, p pair) []byte {
	line = append(line, p.name...)
	line = append(line, '=')
	line = append(line, plain(p.value)...)
	return append(line, ' ')
}

// plain returns a JSON value without its quotes where it needs none.
func plain(value []byte) []byte {
	if len(value) <= len(`""`) || value[0] != '"' || value[len(value)-1] != '"' {
		return value
	}
	inner := value[1 : len(value)-1]
	for _, c := range inner {
		if c <= ' ' || c == '=' || c == '"' || c == '\\' || c >= 0x7f {
			return value
		}
	}
	return inner
}

// split finds the pairs of a flat JSON object.
func split(event []byte, pairs *[maxPairs]pair) (int, bool) {
	rest := bytes.TrimSpace(event)
	if len(rest) < 2 || rest[0] != '{' || rest[len(rest)-1] != '}' {
		return 0, false
	}
	rest = rest[1 : len(rest)-1]
	count := 0
	for len(rest) > 0 {
		nameEnd := valueEnd(rest)
		if count == maxPairs || nameEnd < 2 || nameEnd+1 >= len(rest) || rest[nameEnd] != ':' {
			return 0, false
		}
		value := rest[nameEnd+1:]
		end := valueEnd(value)
		if end == 0 {
			return 0, false
		}
		pairs[count] = pair{name: rest[1 : nameEnd-1], value: value[:end]}
		count++
		rest = value[end:]
		if len(rest) > 0 {
			rest = rest[1:]
		}
	}
	return count, count > 0
}

// valueEnd returns the length of the JSON value that text starts with: up to
// the colon or comma that follows it outside of text and brackets.
func valueEnd(text []byte) int {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case (c == ',' || c == ':') && depth == 0:
			return i
		}
	}
	return len(text)
}
