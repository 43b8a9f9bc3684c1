package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// ErrNoEntries says that a folder holds no run of a day.
var ErrNoEntries = errors.New("no runs in the journal")

// Entry is one run of the bench.
type Entry struct {
	ID   string `json:"id"`
	Why  string `json:"why"`
	Site string `json:"site"`
	// Head is the commit that was checked out.
	Head string `json:"head"`
	// Times are the start and the end in RFC 3339, the end empty until then.
	Times []string `json:"at"`
	Days  []Day    `json:"days"`
}

// Day is one day of a run.
type Day struct {
	Name string `json:"name"`
	// Worth is the credit less the prices.
	Worth float64 `json:"G"`
	// Served is the credit earned as a part of the credit owed.
	Served  float64            `json:"served"`
	Refused float64            `json:"refused"`
	Failed  float64            `json:"failed"`
	Prices  []Price            `json:"prices"`
	Rules   map[string]float64 `json:"rules"`
}

// Price is what a day was charged for one kind of cost.
type Price struct {
	Kind   string
	Amount float64
	// Worth is the part of the day's worth that was taken off.
	Worth float64
}

// UnmarshalJSON reads a price from a list of its three fields.
func (p *Price) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.Kind, &p.Amount, &p.Worth})
}

// Read returns the runs in a folder, the oldest first, and the files that could
// not be read.
func Read(folder string) (entries []Entry, unreadable []error, err error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, nil, fmt.Errorf("journal %s: %w", folder, err)
	}
	for _, name := range names {
		entry, err := readEntry(name)
		if err != nil {
			unreadable = append(unreadable, err)
			continue
		}
		if len(entry.Days) > 0 && len(entry.Times) > 0 {
			entries = append(entries, entry)
		}
	}
	if len(entries) == 0 {
		return nil, unreadable, fmt.Errorf("journal %s: %w", folder, ErrNoEntries)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return strings.Compare(a.Times[0], b.Times[0]) })
	return entries, unreadable, nil
}

func readEntry(name string) (Entry, error) {
	var entry Entry
	text, err := os.ReadFile(name)
	if err == nil {
		err = json.Unmarshal(text, &entry)
	}
	if err != nil {
		return entry, fmt.Errorf("journal entry %s: %w", filepath.Base(name), err)
	}
	return entry, nil
}

// run is a day of a run.
type run struct {
	entry *Entry
	day   *Day
}

// series holds the runs of one day of one site, the oldest first.
type series struct {
	Site, Day string
	runs      []run
}

// seriesOf returns the runs of each day that was played more than once. Days
// that were drawn for one run have names of their own.
func seriesOf(entries []Entry) []series {
	byName := map[[2]string]*series{}
	for i := range entries {
		for j := range entries[i].Days {
			day := &entries[i].Days[j]
			if strings.Contains(day.Name, " ") {
				continue
			}
			name := [2]string{entries[i].Site, day.Name}
			if byName[name] == nil {
				byName[name] = &series{Site: name[0], Day: name[1]}
			}
			byName[name].runs = append(byName[name].runs, run{&entries[i], day})
		}
	}
	var all []series
	for _, s := range byName {
		if len(s.runs) > 1 {
			all = append(all, *s)
		}
	}
	slices.SortFunc(all, func(a, b series) int {
		return strings.Compare(a.Site+"/"+a.Day, b.Site+"/"+b.Day)
	})
	return all
}
