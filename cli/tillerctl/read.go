package tillerctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/transport/operatorhttp"
)

// entryArg is the argument that names the entry a command applies to.
type entryArg struct {
	Entry string `positional-arg-name:"KIND.NAME" required:"yes"`
}

func (a entryArg) id() (catalogue.ID, error) {
	id, err := catalogue.ParseID(a.Entry)
	if err != nil {
		return id, &UsageError{Problem: fmt.Sprintf("%q is not an entry name, want KIND.NAME: %v", a.Entry, err)}
	}
	return id, nil
}

type getCommand struct {
	env  *env
	Args entryArg `positional-args:"yes"`
}

// Execute prints the entry.
func (c *getCommand) Execute([]string) error {
	id, err := c.Args.id()
	if err != nil {
		return err
	}
	p, err := c.env.platform()
	if err != nil {
		return err
	}
	obj, err := p.Get(c.env.ctx, platform.KindCatalogue, id.String())
	if err != nil {
		return fmt.Errorf("get %s: %w", id, err)
	}
	if c.env.json() {
		return printJSON(c.env.stdout, obj)
	}
	return printJSON(c.env.stdout, obj.Data)
}

type listCommand struct {
	env  *env
	Args struct {
		Kind string `positional-arg-name:"KIND"`
	} `positional-args:"yes"`
}

// Execute lists the entries.
func (c *listCommand) Execute([]string) error {
	p, err := c.env.platform()
	if err != nil {
		return err
	}
	list, err := p.List(c.env.ctx, platform.KindCatalogue)
	if err != nil {
		return fmt.Errorf("list catalogue entries: %w", err)
	}
	objects := slices.DeleteFunc(list.Objects, func(o platform.Object) bool {
		return c.Args.Kind != "" && !strings.HasPrefix(o.Name, c.Args.Kind+".")
	})
	slices.SortFunc(objects, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	if c.env.json() {
		return printJSON(c.env.stdout, objects)
	}
	rows := [][]string{{"ENTRY", "VERSION", "OWNER", "STATE"}}
	for _, o := range objects {
		rows = append(rows, listRow(o))
	}
	return printTable(c.env.stdout, rows)
}

// listedFields are the fields of an entry that list shows.
type listedFields struct {
	Owner string `json:"owner"`
	Drain bool   `json:"drain"`
}

func listRow(o platform.Object) []string {
	var fields listedFields
	state := ""
	if _, err := catalogue.Decode(o.Data); err != nil {
		state = "invalid"
	}
	if json.Unmarshal(o.Data, &fields) == nil && fields.Drain {
		state = "drained"
	}
	return []string{o.Name, strconv.FormatUint(o.Version, 10), orDash(fields.Owner), orDash(state)}
}

type statusCommand struct{ env *env }

// Execute prints the status of each daemon.
func (c *statusCommand) Execute([]string) error {
	daemons, err := c.env.requireDaemons()
	if err != nil {
		return err
	}
	var all []operatorapi.Status
	for _, d := range daemons {
		status, err := d.Status(c.env.ctx)
		if err != nil {
			return err
		}
		all = append(all, status)
	}
	if c.env.json() {
		return printJSON(c.env.stdout, all)
	}
	rows := [][]string{{"HOST", "DATA CENTRE", "REGION", "CATALOGUE", "INVALID", "MEMBERS", "RELAY", "LEAVING"}}
	for _, s := range all {
		version := strconv.FormatUint(s.CatalogueVersion, 10)
		rows = append(rows, []string{
			s.Host, s.DataCentre, s.Region, version, strconv.Itoa(len(s.Invalid)), strconv.Itoa(len(s.Members)),
			strconv.FormatBool(s.Standing.Relay), strconv.FormatBool(s.Leaving),
		})
	}
	return printTable(c.env.stdout, rows)
}

type explainCommand struct {
	env  *env
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		Caller  string `positional-arg-name:"CALLER-IP"`
	} `positional-args:"yes"`
}

// Execute prints where the first daemon would send a caller now, and why.
func (c *explainCommand) Execute([]string) error {
	daemons, err := c.env.requireDaemons()
	if err != nil {
		return err
	}
	explanation, err := daemons[0].Explain(c.env.ctx, c.Args.Service, c.Args.Caller)
	if err != nil {
		return err
	}
	if c.env.json() {
		return printJSON(c.env.stdout, explanation)
	}
	return c.env.printExplanation(explanation)
}

func (e *env) printExplanation(x operatorapi.Explanation) error {
	fmt.Fprintf(e.stdout, "%s (rank %s) as seen by host %s, catalogue version %d\n\n", x.Service, x.Rank, x.Host, x.CatalogueVersion)
	rows := [][]string{{"ORDER", "ENTRY HOST", "DATA CENTRE", "REGION", "STATE", "REASON"}}
	for _, h := range x.Hosts {
		rows = append(rows, []string{formatOrder(h.Order), h.Host, h.DataCentre, h.Region, h.State, h.Reason})
	}
	if err := printTable(e.stdout, rows); err != nil {
		return err
	}
	fmt.Fprintln(e.stdout)
	rows = [][]string{{"ORDER", "UPSTREAM", "DATA CENTRE", "HOLDER", "DISTANCE", "IN USE", "WAITING", "SLOTS", "COST MS", "REASON"}}
	for _, u := range x.Upstreams {
		rows = append(rows, []string{
			formatOrder(u.Order), u.Upstream, u.DataCentre, orDash(u.Holder), strconv.Itoa(u.Distance),
			strconv.Itoa(u.InUse), strconv.Itoa(u.Waiting), strconv.Itoa(u.Slots), strconv.FormatInt(u.CostMs, 10), u.Reason,
		})
	}
	return printTable(e.stdout, rows)
}

func formatOrder(n int) string {
	if n == 0 {
		return "-"
	}
	return strconv.Itoa(n)
}

type metricsCommand struct{ env *env }

// Execute prints the metrics of each daemon.
func (c *metricsCommand) Execute([]string) error {
	daemons, err := c.env.requireDaemons()
	if err != nil {
		return err
	}
	all := map[string]map[string]json.RawMessage{}
	for _, d := range daemons {
		if all[d.Address()], err = d.Metrics(c.env.ctx); err != nil {
			return err
		}
	}
	if c.env.json() {
		return printJSON(c.env.stdout, all)
	}
	return printTable(c.env.stdout, metricRows(daemons, all))
}

func metricRows(daemons []*operatorhttp.Client, all map[string]map[string]json.RawMessage) [][]string {
	header := []string{"METRIC"}
	names := map[string]bool{}
	for _, d := range daemons {
		header = append(header, d.Address())
		for name := range all[d.Address()] {
			names[name] = true
		}
	}
	rows := [][]string{header}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		row := []string{name}
		for _, d := range daemons {
			row = append(row, orDash(string(all[d.Address()][name])))
		}
		rows = append(rows, row)
	}
	return rows
}
