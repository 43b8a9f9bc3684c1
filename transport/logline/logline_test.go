package logline_test

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/transport/logline"
)

func TestAppend(t *testing.T) {
	cases := map[string]struct{ event, want string }{
		"key order":     {`{"level":"info","host":"a","event":"x.y","n":3,"ok":true,"time":"t"}`, "time=t level=info event=x.y host=a n=3 ok=true"},
		"quoting":       {`{"event":"x","a":"two words","b":"k=v","c":"","d":"say \"no\"","e":"line\nbreak"}`, `event=x a="two words" b="k=v" c="" d="say \"no\"" e="line\nbreak"`},
		"nested values": {`{"a":["x, y",{"b":"}"}],"event":"e"}`, `event=e a=["x, y",{"b":"}"}]`},
		"duplicate key": {`{"a":1,"event":"e","a":2}`, `event=e a=1 a=2`},
		"not an object": {"text", "text"},
		"empty object":  {"{}", "{}"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := string(logline.Append(nil, []byte(c.event)))
			if strings.TrimSuffix(got, "\n") != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestAppendDoesNotAllocate(t *testing.T) {
	event := []byte(`{"level":"info","event":"route.decision","host":"a","detail":"two words","time":"t"}`)
	line := make([]byte, 0, 1024)
	if n := testing.AllocsPerRun(100, func() { line = logline.Append(line[:0], event) }); n != 0 {
		t.Errorf("got %v allocations, want 0", n)
	}
}

func TestCloseWritesBufferedLines(t *testing.T) {
	var out bytes.Buffer
	w := logline.NewWriter(&out)
	log := zerolog.New(w)
	const events = 5000
	for range events {
		log.Info().Str("event", "x").Send()
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(out.String(), "\n"); got != events {
		t.Errorf("got %d lines after Close, want %d", got, events)
	}
	log.Info().Str("event", "after-close").Send()
	if got := strings.Count(out.String(), "\n"); got != events+1 {
		t.Errorf("got %d lines after a write to the closed writer, want %d", got, events+1)
	}
}

func TestWarningsAreWrittenImmediately(t *testing.T) {
	var out bytes.Buffer
	w := logline.NewWriter(&out)
	defer w.Close()
	log := zerolog.New(w)
	log.Info().Str("event", "first").Send()
	log.Warn().Str("event", "second").Send()
	if got := strings.Count(out.String(), "\n"); got != 2 {
		t.Errorf("got %d lines, want 2", got)
	}
}

func logDecision(log *zerolog.Logger) {
	log.Info().Str("event", "route.decision").Str("request", "7KQZ3M5WJ2XN4D6RBYTCVEAHGS").Str("service", "stock-lookup").
		Str("rank", "lookup").Str("upstream", "stock-lookup-7").Int("distance", 1).Int("in_use", 5).Int("waiting", 0).
		Int("attempt", 0).Str("outcome", "done").Str("reason", "answered").Str("detail", "").Send()
}

// BenchmarkDecision logs one routing decision to a pipe with each writer that was
// considered. docs/design/logging.md has the results.
func BenchmarkDecision(b *testing.B) {
	console := func(w io.Writer) io.Writer {
		return zerolog.SyncWriter(zerolog.ConsoleWriter{Out: w, NoColor: true, PartsOrder: []string{"time", "level", "event"}, FieldsExclude: []string{"event"}})
	}
	lines := func(w io.Writer) io.Writer { return logline.NewWriter(w) }
	unbuffered := func(w io.Writer) io.Writer {
		l := logline.NewWriter(w)
		_ = l.Close()
		return l
	}
	variants := []struct {
		name string
		wrap func(io.Writer) io.Writer
	}{{"console", console}, {"json", zerolog.SyncWriter}, {"logline-unbuffered", unbuffered}, {"logline", lines}}
	for _, variant := range variants {
		b.Run(variant.name, func(b *testing.B) {
			reader, pipe, err := os.Pipe()
			if err != nil {
				b.Fatal(err)
			}
			defer pipe.Close()
			go func() { _, _ = io.Copy(io.Discard, reader) }()
			log := zerolog.New(variant.wrap(pipe)).With().Timestamp().Str("host", "nairobi-a").Logger()
			b.ReportAllocs()
			for b.Loop() {
				logDecision(&log)
			}
		})
	}
}

// FuzzAppend checks that a valid event becomes one line, apart from line breaks
// within the event, and that the preceding line is unchanged.
func FuzzAppend(f *testing.F) {
	for _, seed := range []string{`{"a":1}`, `{"a":"x\ny"}`, `{`, `{}`, `{"a"`, `{"a":}`, `{:}`, `{"":""}`, `{"a":[1,{"b":"]"}]}`, `{a:b,c}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, event []byte) {
		line := logline.Append([]byte("before\n"), event)
		if !bytes.HasPrefix(line, []byte("before\n")) {
			t.Errorf("event %q changed the line before it: %q", event, line)
		}
		if json.Valid(event) && bytes.Count(line[len("before\n"):], []byte("\n")) > 1+bytes.Count(event, []byte("\n")) {
			t.Errorf("event %q became more than one line: %q", event, line)
		}
	})
}
