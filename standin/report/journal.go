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

// ErrNoEntries reports that a folder contains no run with a day.
var ErrNoEntries = errors.New("no runs in the journal")

// Entry is one run of the bench.
type Entry struct {
	ID   string `json:"id"`
	Why  string `json:"why"`
	Site string `json:"site"`
	// Head is the commit that was checked out.
	Head string `json:"head"`
	// Times are the start and the end in RFC 3339. The end is empty while the run
	// is in progress.
	Times []string `json:"at"`
	Days  []Day    `json:"days"`
}

// Day is one simulated day of a run.
type Day struct {
	Name string `json:"name"`
	// Worth is the credit minus the prices.
	Worth float64 `json:"G"`
	// Served is the earned credit as a fraction of the credit owed.
	Served  float64            `json:"served"`
	Refused float64            `json:"refused"`
	Failed  float64            `json:"failed"`
	Prices  []Price            `json:"prices"`
	Rules   map[string]float64 `json:"rules"`
}

// Price is the charge for one kind of cost on a day.
type Price struct {
	Kind   string
	Amount float64
	// Worth is the amount subtracted from the worth of the day.
	Worth float64
}

// UnmarshalJSON decodes a price from an array of its three fields.
func (p *Price) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.Kind, &p.Amount, &p.Worth})
}

// Read returns the runs in a folder in the order of their start times, and an
// error for each file that could not be read.
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

// dayRun is one day of one run.
type dayRun struct {
	entry *Entry
	day   *Day
}

// series holds the runs of one day at one site in the order of their start
// times.
type series struct {
	Site, Day string
	runs      []dayRun
}

// groupByDay returns the runs of each day that ran more than once. It skips
// days generated for a single run, whose names contain a space.
func groupByDay(entries []Entry) []series {
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
			byName[name].runs = append(byName[name].runs, dayRun{&entries[i], day})
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
