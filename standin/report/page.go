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
	Name    string
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
	Broken []string
	Moves  template.HTML
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
	for _, part := range sites {
		if err := part.fill(bySite[part.Name]); err != nil {
			return err
		}
	}
	if err := page.Execute(w, sites); err != nil {
		return fmt.Errorf("render page: %w", err)
	}
	return nil
}

func (p *site) fill(days []series) error {
	var err error
	if p.Charges, err = plotPrices(p.Name, days); err != nil {
		return err
	}
	for _, s := range days {
		row, err := newDayRow(s)
		if err != nil {
			return err
		}
		p.Days = append(p.Days, row)
	}
	return nil
}

func newDayRow(s series) (dayRow, error) {
	last, before := s.runs[len(s.runs)-1], s.runs[len(s.runs)-2]
	row := dayRow{
		Name: s.Day, ID: last.entry.ID, Head: last.entry.Head[:min(7, len(last.entry.Head))], Runs: len(s.runs),
		Worth: last.day.Worth, Served: last.day.Served, Refused: last.day.Refused, Failed: last.day.Failed,
		Change: last.day.Worth - before.day.Worth,
	}
	for rule := range last.day.Rules {
		row.Broken = append(row.Broken, rule)
	}
	var err error
	row.Moves, err = plotWorth(s)
	return row, err
}
