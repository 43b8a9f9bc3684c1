package tillerctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"bilberrytiller.example/tiller/coordination/change"
	"bilberrytiller.example/tiller/state/catalogue"
)

// maxFileBytes limits the size of a file of entries.
const maxFileBytes = 64 << 20

// versionedEntry is an entry with the version at which it was read, in the form
// that get -o json prints.
type versionedEntry struct {
	Version *uint64         `json:"version"`
	Data    json.RawMessage `json:"data"`
}

// readEntries reads a file with one entry or a JSON array of entries. The error
// joins those of all invalid entries.
func (e *env) readEntries(file string) ([]change.DesiredEntry, error) {
	data, err := e.readFile(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	raw := []json.RawMessage{data}
	if strings.HasPrefix(strings.TrimSpace(string(data)), "[") {
		raw = nil
		if err := json.Unmarshal(data, &raw); err != nil {
			return nil, &catalogue.EntryError{Err: fmt.Errorf("%s: %w", file, err)}
		}
	}
	var entries []change.DesiredEntry
	var errs []error
	for _, item := range raw {
		entry, err := parseEntry(item)
		errs = append(errs, err)
		entries = append(entries, entry)
	}
	return entries, errors.Join(errs...)
}

func parseEntry(raw json.RawMessage) (change.DesiredEntry, error) {
	var obj versionedEntry
	var version *uint64
	if json.Unmarshal(raw, &obj) == nil && obj.Version != nil && obj.Data != nil {
		raw, version = obj.Data, obj.Version
	}
	entry, err := catalogue.Decode(raw)
	if err != nil {
		return change.DesiredEntry{}, err
	}
	return newDesiredEntry(entry, version)
}

func newDesiredEntry(entry catalogue.Entry, ifVersion *uint64) (change.DesiredEntry, error) {
	entry.SetChangeID("")
	data, err := catalogue.Encode(entry)
	if err != nil {
		return change.DesiredEntry{}, err
	}
	return change.DesiredEntry{ID: entry.ID(), Data: data, IfVersion: ifVersion}, nil
}

func (e *env) readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(e.stdin, maxFileBytes))
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFileBytes))
}
