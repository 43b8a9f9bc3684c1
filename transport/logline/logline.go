// Package logline writes zerolog events as lines of key=value pairs.
//
// A line starts with the time, the level and the event name; the other pairs
// follow in their original order. A value that contains spaces or other special
// characters is quoted as in JSON.
package logline

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// flushBytes is the buffered size at which lines are written.
	flushBytes = 64 << 10
	// flushInterval limits how long a line stays buffered.
	flushInterval = 100 * time.Millisecond
	// maxPairs is the largest number of pairs of an event that is converted. An
	// event with more is written as JSON.
	maxPairs = 64
)

// leadingKeys are the keys of the pairs that a line starts with.
var leadingKeys = [...]string{"time", "level", "event"}

// Writer converts each event that zerolog writes into a line. It is safe for
// concurrent use.
type Writer struct {
	mu     sync.Mutex
	out    io.Writer
	buffer []byte
	closed bool
	stop   chan struct{}
}

// NewWriter returns a writer to out. Lines of levels debug and info are buffered
// for at most 100 ms; lines of other levels are written at once. Close must be
// called to write the last lines.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{})}
	w.buffer = make([]byte, 0, 2*flushBytes)
	go w.flushPeriodically()
	return w
}

// Write writes one event in JSON. Input that is not a JSON object is written
// unchanged.
func (w *Writer) Write(event []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = Append(w.buffer, event)
	if len(w.buffer) < flushBytes && !w.closed && isBuffered(event) {
		return len(event), nil
	}
	return len(event), w.flush()
}

// isBuffered reports whether the level of an event allows buffering. It relies on
// zerolog writing the level as the first field.
func isBuffered(event []byte) bool {
	return bytes.HasPrefix(event, []byte(`{"level":"info"`)) || bytes.HasPrefix(event, []byte(`{"level":"debug"`))
}

// Flush writes the buffered lines.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flush()
}

// Close writes the buffered lines. Lines written afterwards are not buffered.
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
	ticker := time.NewTicker(flushInterval)
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

// pair is one field of an event. The value is JSON.
type pair struct{ name, value []byte }

// Append converts an event in JSON to a line and appends it to line. Input that is
// not a JSON object, or has no pairs or more than maxPairs, is appended unchanged.
func Append(line, event []byte) []byte {
	var pairs [maxPairs]pair
	count, ok := parsePairs(event, &pairs)
	if !ok {
		return append(line, event...)
	}
	for _, name := range leadingKeys {
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
	line = append(line, unquote(p.value)...)
	return append(line, ' ')
}

// unquote returns a JSON string without its quotes if it is unambiguous without
// them, and any other value unchanged.
func unquote(value []byte) []byte {
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

// parsePairs splits a JSON object into its pairs. It does not validate the JSON.
func parsePairs(event []byte, pairs *[maxPairs]pair) (int, bool) {
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

// valueEnd returns the length of the JSON value at the start of text, which ends
// before the first colon or comma that is outside of strings and brackets.
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
