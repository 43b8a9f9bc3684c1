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

// maxFileBytes bounds a file of entries.
const maxFileBytes = 64 << 20

// object is an entry with the version it was read at, as get -o json prints
// it.
type object struct {
	Version *uint64         `json:"version"`
	Data    json.RawMessage `json:"data"`
}

// readWanted reads a file that holds one entry or a JSON array of entries,
// and returns an error for each that is invalid.
func (e *env) readWanted(file string) ([]change.DesiredEntry, error) {
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
	var wanted []change.DesiredEntry
	var errs []error
	for _, one := range raw {
		w, err := readOne(one)
		errs = append(errs, err)
		wanted = append(wanted, w)
	}
	return wanted, errors.Join(errs...)
}

func readOne(raw json.RawMessage) (change.DesiredEntry, error) {
	var obj object
	var version *uint64
	if json.Unmarshal(raw, &obj) == nil && obj.Version != nil && obj.Data != nil {
		raw, version = obj.Data, obj.Version
	}
	entry, err := catalogue.Decode(raw)
	if err != nil {
		return change.DesiredEntry{}, err
	}
	return wantedOf(entry, version)
}

func wantedOf(entry catalogue.Entry, ifVersion *uint64) (change.DesiredEntry, error) {
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
