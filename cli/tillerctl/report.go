package tillerctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"bilberrytiller.example/tiller/coordination/change"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/state/catalogue"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitNotFound = 4
	exitInvalid  = 5
	exitUnknown  = 6
	exitTimeout  = 7
	exitDiffers  = 8
)

func exitCode(err error) int {
	var flagErr *flags.Error
	var usage *UsageError
	var notSet *MissingSettingError
	var assignment *change.AssignmentError
	var stale *change.StaleError
	var invalid *catalogue.EntryError
	var unknown *UnknownOutcomeError
	var timeout *TimeoutError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr), errors.As(err, &usage), errors.As(err, &notSet), errors.As(err, &assignment):
		return exitUsage
	case errors.As(err, &stale):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &timeout):
		return exitTimeout
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.Is(err, platform.ErrNotFound):
		return exitNotFound
	case errors.Is(err, errDiffers):
		return exitDiffers
	}
	return exitFailed
}

// reportError prints an error, if there is one, and returns its exit code.
func (e *env) reportError(err error) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(e.stdout, strings.TrimRight(flagErr.Message, "\n"))
		return exitOK
	}
	if err == nil || errors.Is(err, errDiffers) {
		return exitCode(err)
	}
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintln(e.stderr, "tillerctl:", strings.TrimRight(line, "\n"))
	}
	for _, stale := range staleErrors(err) {
		if err := e.printConflict(stale); err != nil {
			fmt.Fprintln(e.stderr, "tillerctl:", err)
		}
	}
	return exitCode(err)
}

// staleErrors returns all conflicts in a tree of wrapped and joined errors.
func staleErrors(err error) []*change.StaleError {
	if stale, ok := err.(*change.StaleError); ok {
		return []*change.StaleError{stale}
	}
	var out []*change.StaleError
	switch e := err.(type) {
	case interface{ Unwrap() error }:
		out = staleErrors(e.Unwrap())
	case interface{ Unwrap() []error }:
		for _, inner := range e.Unwrap() {
			out = append(out, staleErrors(inner)...)
		}
	}
	return out
}

// conflictReport is the JSON form of a conflict.
type conflictReport struct {
	Entry         string              `json:"entry"`
	StartedFrom   uint64              `json:"started_from"`
	StandsAt      uint64              `json:"stands_at"`
	Differences   []change.Difference `json:"differences"`
	BaseIsUnknown bool                `json:"base_is_unknown,omitempty"`
	Yours         json.RawMessage     `json:"yours,omitempty"`
	Theirs        json.RawMessage     `json:"theirs,omitempty"`
}

func (e *env) printConflict(stale *change.StaleError) error {
	differences, err := change.Differences(stale.Step.Base, stale.Current.Data, stale.Step.Data)
	if err != nil {
		return err
	}
	out := conflictReport{
		Entry: stale.Step.ID.String(), StartedFrom: stale.Step.Version, StandsAt: stale.Current.Version,
		Differences: differences, BaseIsUnknown: stale.Step.Base == nil && stale.Step.Version != 0,
		Yours: stale.Step.Data, Theirs: stale.Current.Data,
	}
	if e.json() {
		return printJSON(e.stdout, out)
	}
	fmt.Fprintf(e.stdout, "%s: nothing was written.\n", out.Entry)
	rows := [][]string{{"FIELD", fmt.Sprintf("BASE (%d)", out.StartedFrom), fmt.Sprintf("THEIRS (%d)", out.StandsAt), "YOURS"}}
	for _, d := range differences {
		base := orDash(d.Base)
		if out.BaseIsUnknown {
			base = "?"
		}
		rows = append(rows, []string{d.Field, base, orDash(d.Theirs), orDash(d.Yours)})
	}
	if err := printTable(e.stdout, rows); err != nil {
		return err
	}
	if stale.Step.Data != nil {
		fmt.Fprintf(e.stdout, "Your version, which was not saved:\n%s\n", strings.TrimSpace(string(stale.Step.Data)))
	}
	return nil
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func printTable(w io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
