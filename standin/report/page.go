package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// site is the section of the page for one site.
type site struct {
	Name string
	// Charges is the plot of the highest prices of each day.
	Charges template.HTML
	Days    []dayRow
}

// dayRow is the table row and the plot of a day. The row shows the latest run.
type dayRow struct {
	Name, ID, Head                 string
	Runs                           int
	Worth, Served, Refused, Failed float64
	// Change is the difference in worth from the previous run.
	Change float64
	// Broken names the rules that the latest run broke.
	Broken []string
	// Moves is the plot of the worth and the credit over the runs.
	Moves template.HTML
}

// Write writes the page for the given runs.
func Write(w io.Writer, entries []Entry) error {
	var sites []*site
	bySite := map[string][]series{}
	for _, s := range groupByDay(entries) {
		if len(bySite[s.Site]) == 0 {
			sites = append(sites, &site{Name: s.Site})
		}
		bySite[s.Site] = append(bySite[s.Site], s)
	}
	for _, section := range sites {
		if err := section.fill(bySite[section.Name]); err != nil {
			return err
		}
	}
	if err := page.Execute(w, sites); err != nil {
		return fmt.Errorf("render page: %w", err)
	}
	return nil
}

func (section *site) fill(days []series) error {
	var err error
	if section.Charges, err = plotPrices(section.Name, days); err != nil {
		return err
	}
	for _, s := range days {
		row, err := newDayRow(s)
		if err != nil {
			return err
		}
		section.Days = append(section.Days, row)
	}
	return nil
}

func newDayRow(s series) (dayRow, error) {
	last, previous := s.runs[len(s.runs)-1], s.runs[len(s.runs)-2]
	row := dayRow{
		Name: s.Day, ID: last.entry.ID, Head: last.entry.Head[:min(7, len(last.entry.Head))], Runs: len(s.runs),
		Worth: last.day.Worth, Served: last.day.Served, Refused: last.day.Refused, Failed: last.day.Failed,
		Change: last.day.Worth - previous.day.Worth,
	}
	for rule := range last.day.Rules {
		row.Broken = append(row.Broken, rule)
	}
	var err error
	row.Moves, err = plotWorth(s)
	return row, err
}
