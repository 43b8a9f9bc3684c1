package catalogue_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
)

const baseEntries = `
{"schema":1,"kind":"region","name":"north","owner":"o"}
{"schema":1,"kind":"datacentre","name":"north-1","owner":"o","region":"north"}
{"schema":1,"kind":"service","name":"pay","owner":"o","class":{"rank":"payment","idempotent":false,"deadline":"1s","guaranteed":0.6},"limits":{}}
{"schema":1,"kind":"service","name":"look","owner":"o","class":{"rank":"lookup","idempotent":true,"deadline":"1s","guaranteed":0.6},"limits":{}}
`

const upstreamTemplate = `{"schema":1,"kind":"upstream","name":"NAME","owner":"o","services":["SERVICES"],"datacentre":"north-1","address":"10.0.0.1:80","slots":4,"connections":9}`

const serviceTemplate = `{"schema":1,"kind":"service","name":"s","owner":"o","class":{"rank":"RANK","idempotent":true,"deadline":"1s"},"limits":{}}`

func upstreamEntry(name, services string) string {
	return strings.NewReplacer("NAME", name, "SERVICES", services).Replace(upstreamTemplate)
}

func newSet(t *testing.T, lines string) *catalogue.Set {
	t.Helper()
	var records []catalogue.Record
	for line := range strings.Lines(lines) {
		if strings.TrimSpace(line) == "" {
			continue
		}
		entry, err := catalogue.Decode([]byte(line))
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, catalogue.Record{ID: entry.ID(), Version: catalogue.Version(len(records) + 1), Entry: entry})
	}
	set, _ := catalogue.Empty().Merge(records)
	return set
}

func TestCheckReportsEntryFieldAndCause(t *testing.T) {
	cases := []struct {
		name, extra, entry, field string
		cause                     error
	}{
		{"missing region", `{"schema":1,"kind":"datacentre","name":"dc","owner":"o","region":"gone"}`, "datacentre.dc", "region", catalogue.ErrEntryNotFound},
		{"missing service", upstreamEntry("u", "gone"), "upstream.u", "services[0]", catalogue.ErrEntryNotFound},
		{"missing data centre", strings.Replace(upstreamEntry("u", "pay"), "north-1", "gone", 1), "upstream.u", "datacentre", catalogue.ErrEntryNotFound},
		{"link to missing region", `{"schema":1,"kind":"link","name":"l","owner":"o","between":["north","gone"],"cap_mbit":1,"delay":"1ms"}`, "link.l", "between[1]", catalogue.ErrEntryNotFound},
		{"minimums above all slots", upstreamEntry("u", `pay","look`), "upstream.u", "services", catalogue.ErrOutOfRange},
		{"duplicate address", upstreamEntry("a", "pay") + "\n" + upstreamEntry("b", "pay"), "upstream.b", "address", catalogue.ErrDuplicate},
		{"missing site", `{"schema":1,"kind":"blocks","name":"b","owner":"o","blocks":[{"prefix":"10.0.0.0/8","sites":["gone"]}]}`, "blocks.b", "blocks[0].sites[0]", catalogue.ErrEntryNotFound},
		{"duplicate prefix", `{"schema":1,"kind":"blocks","name":"a","owner":"o","blocks":[{"prefix":"10.0.0.0/8","sites":["north-1"]}]}
			{"schema":1,"kind":"blocks","name":"b","owner":"o","blocks":[{"prefix":"10.0.0.0/8","sites":["north-1"]}]}`, "blocks.b", "blocks[0].prefix", catalogue.ErrDuplicate},
		{"minimum above concurrency limit", `{"schema":1,"kind":"service","name":"tight","owner":"o","class":{"rank":"lookup","idempotent":true,"deadline":"1s","guaranteed":0.5},"limits":{"concurrency":1}}
			` + upstreamEntry("u", "tight"), "service.tight", "class.guaranteed", catalogue.ErrOutOfRange},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			problems := newSet(t, baseEntries+c.extra).Check()
			if len(problems) != 1 {
				t.Fatalf("got %v, want one problem", problems)
			}
			p := problems[0]
			if p.ID.String() != c.entry || p.Field != c.field || !errors.Is(p, c.cause) {
				t.Errorf("got %v, want %s field %s: %v", p, c.entry, c.field, c.cause)
			}
		})
	}
}

func TestCheckRoundsMinimumsUpToWholeSlots(t *testing.T) {
	third := strings.NewReplacer(`0.6`, `0.3`).Replace(baseEntries)
	narrow := strings.Replace(upstreamEntry("u", `pay","look`), `"slots":4`, `"slots":1`, 1)
	problems := newSet(t, third+narrow).Check()
	if len(problems) != 1 || problems[0].Field != "slots" {
		t.Errorf("got %v, want one problem with field slots", problems)
	}
}

func TestExamplesAreValid(t *testing.T) {
	for name, upstreams := range map[string]int{"association": 36, "steinvelta": 36} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("../../examples", name, "catalogue.json"))
			if err != nil {
				t.Fatal(err)
			}
			var entries []json.RawMessage
			if err := json.Unmarshal(data, &entries); err != nil {
				t.Fatal(err)
			}
			lines := ""
			for _, entry := range entries {
				lines += string(entry) + "\n"
			}
			set := newSet(t, lines)
			for _, problem := range set.Check() {
				t.Error(problem)
			}
			if got := len(set.AllUpstreams()); got != upstreams {
				t.Errorf("got %d upstreams, want %d", got, upstreams)
			}
		})
	}
}

func TestDecodeIsStrict(t *testing.T) {
	valid := upstreamEntry("u", "pay")
	cases := []struct {
		name, data, field string
		cause             error
	}{
		{"field in another case", strings.Replace(valid, `"slots"`, `"Slots"`, 1), "Slots", catalogue.ErrUnknownField},
		{"duplicate field", strings.Replace(valid, `"slots":4`, `"slots":4,"slots":5`, 1), "slots", catalogue.ErrDuplicate},
		{"null", strings.Replace(valid, `"slots":4`, `"slots":4,"drain":null`, 1), "drain", catalogue.ErrNullValue},
		{"trailing data", valid + "{}", "", catalogue.ErrTrailingData},
		{"trailing word", valid + "x", "", catalogue.ErrTrailingData},
		{"link with three ends", `{"schema":1,"kind":"link","name":"l","owner":"o","between":["a","b","c"],"cap_mbit":1,"delay":"1ms"}`, "between", catalogue.ErrArrayLength},
		{"invalid UTF-8", strings.Replace(valid, `"owner":"o"`, "\"owner\":\"\xff\"", 1), "", catalogue.ErrNotUTF8},
		{"unknown rank", strings.Replace(serviceTemplate, "RANK", "soon", 1), "class.rank", request.UnknownRankError{Name: "soon"}},
		{"duplicate service", strings.Replace(valid, `["pay"]`, `["pay","pay"]`, 1), "services", catalogue.ErrDuplicate},
		{"negative delay", `{"schema":1,"kind":"link","name":"l","owner":"o","between":["a","b"],"cap_mbit":1,"delay":"-1ms"}`, "delay", catalogue.ErrOutOfRange},
		{"negative rate", strings.Replace(strings.Replace(serviceTemplate, "RANK", "payment", 1), `"limits":{}`, `"limits":{"rate":-1}`, 1), "limits.rate", catalogue.ErrOutOfRange},
		{"negative concurrency", strings.Replace(strings.Replace(serviceTemplate, "RANK", "payment", 1), `"limits":{}`, `"limits":{"concurrency":-1}`, 1), "limits.concurrency", catalogue.ErrOutOfRange},
		{"control character", strings.Replace(valid, `"owner":"o"`, `"owner":"a\nb"`, 1), "owner", catalogue.ErrOutOfRange},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := catalogue.Decode([]byte(c.data))
			var entry *catalogue.EntryError
			if !errors.As(err, &entry) || entry.Field != c.field || !errors.Is(err, c.cause) {
				t.Errorf("got %v, want field %q: %v", err, c.field, c.cause)
			}
			if c.cause == catalogue.ErrOutOfRange && !strings.Contains(err.Error(), "want ") {
				t.Errorf("got %q, which does not say what is allowed", err)
			}
		})
	}
}

// FuzzDecode checks that entries accepted by Decode survive encoding and
// decoding unchanged, and that every error is an *EntryError.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(upstreamEntry("u", "pay")))
	for line := range strings.Lines(baseEntries) {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := catalogue.Decode(data)
		if err != nil {
			var named *catalogue.EntryError
			if !errors.As(err, &named) {
				t.Fatalf("got error %v, want an *EntryError", err)
			}
			return
		}
		first, err := catalogue.Encode(entry)
		if err != nil {
			t.Fatalf("encode %q: %v", data, err)
		}
		decoded, err := catalogue.Decode(first)
		if err != nil {
			t.Fatalf("decode %q: %v", first, err)
		}
		second, err := catalogue.Encode(decoded)
		if err != nil || string(second) != string(first) {
			t.Fatalf("round trip changed %q to %q: %v", first, second, err)
		}
	})
}
