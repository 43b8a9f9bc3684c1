package tillerctl

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"bilberrytiller.example/tiller/transport/operatorhttp"
)

// ErrNotGateway means that an address does not serve the metrics of a gateway.
var ErrNotGateway = errors.New("not the metrics of a gateway")

type gatewayCommand struct {
	env  *env
	Args struct {
		Addresses []string `positional-arg-name:"IP:PORT" required:"1"`
	} `positional-args:"yes"`
}

// gatewayMetrics are the metrics of a gateway that the command shows.
type gatewayMetrics struct {
	StoreEra     int64            `json:"store_era"`
	Daemons      int              `json:"daemons"`
	InFlight     int              `json:"requests_in_flight"`
	Waiting      map[string]int   `json:"waiting"`
	Refusals     map[string]int64 `json:"refusals"`
	QuotaRefused int64            `json:"quota_refused"`
	QuotaParts   *float64         `json:"quota_parts"`

	Organisations map[string]organisationMetrics `json:"organisations"`
}

type organisationMetrics struct {
	Admitted      int64   `json:"admitted"`
	Refused       int64   `json:"refused"`
	Rank          *int    `json:"rank,omitempty"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
}

// Execute prints the quotas, queues and refusals of each gateway, and the sum of the
// requests of each organisation.
func (c *gatewayCommand) Execute([]string) error {
	all := map[string]*gatewayMetrics{}
	for _, address := range c.Args.Addresses {
		m, err := c.fetch(address)
		if err != nil {
			return fmt.Errorf("gateway %s: %w", address, err)
		}
		all[address] = m
	}
	if c.env.json() {
		return printJSON(c.env.stdout, all)
	}
	if err := printTable(c.env.stdout, gatewayRows(all)); err != nil {
		return err
	}
	fmt.Fprintln(c.env.stdout)
	return printTable(c.env.stdout, organisationRows(all))
}

func (c *gatewayCommand) fetch(address string) (*gatewayMetrics, error) {
	metrics, err := operatorhttp.New(address, "").Metrics(c.env.ctx)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(metrics)
	if err != nil {
		return nil, err
	}
	m := &gatewayMetrics{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotGateway, err)
	}
	if m.QuotaParts == nil {
		return nil, ErrNotGateway
	}
	return m, nil
}

func gatewayRows(all map[string]*gatewayMetrics) [][]string {
	rows := [][]string{{"GATEWAY", "STORE ERA", "DAEMONS", "IN FLIGHT", "WAITING", "REFUSED", "OVER QUOTA", "QUOTA PARTS"}}
	for _, address := range slices.Sorted(maps.Keys(all)) {
		m := all[address]
		rows = append(rows, []string{
			address, strconv.FormatInt(m.StoreEra, 10), strconv.Itoa(m.Daemons), strconv.Itoa(m.InFlight), formatCounts(m.Waiting),
			formatCounts(m.Refusals), strconv.FormatInt(m.QuotaRefused, 10), strconv.FormatFloat(*m.QuotaParts, 'f', 3, 64),
		})
	}
	return rows
}

// formatCounts formats the counts that are not 0, the largest first.
func formatCounts[N int | int64](counts map[string]N) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	out := ""
	for _, name := range names {
		if counts[name] != 0 {
			out += fmt.Sprintf(" %s=%d", name, counts[name])
		}
	}
	if out == "" {
		return "-"
	}
	return out[1:]
}

// organisationRows returns the requests of each organisation at all gateways together,
// those with the most refused requests first. Gateways may have different configurations;
// the rank and quota are those of the first address that has the organisation.
func organisationRows(all map[string]*gatewayMetrics) [][]string {
	sums := map[string]organisationMetrics{}
	for _, address := range slices.Sorted(maps.Keys(all)) {
		for name, o := range all[address].Organisations {
			sum, known := sums[name]
			if !known {
				sum = o
				sum.Admitted, sum.Refused = 0, 0
			}
			sum.Admitted += o.Admitted
			sum.Refused += o.Refused
			sums[name] = sum
		}
	}
	names := slices.SortedFunc(maps.Keys(sums), func(a, b string) int {
		return cmp.Or(cmp.Compare(sums[b].Refused, sums[a].Refused), cmp.Compare(sums[b].Admitted, sums[a].Admitted), cmp.Compare(a, b))
	})
	rows := [][]string{{"ORGANISATION", "RANK", "QUOTA PER SECOND", "BURST", "ADMITTED", "OVER QUOTA"}}
	for _, name := range names {
		o := sums[name]
		rank, quota, burst := "-", "-", "-"
		if o.Rank != nil {
			rank = strconv.Itoa(*o.Rank)
		}
		if o.RatePerSecond > 0 {
			quota, burst = strconv.FormatFloat(o.RatePerSecond, 'g', -1, 64), strconv.FormatFloat(o.Burst, 'g', -1, 64)
		}
		if name == "" {
			name = "(others)"
		}
		rows = append(rows, []string{name, rank, quota, burst, strconv.FormatInt(o.Admitted, 10), strconv.FormatInt(o.Refused, 10)})
	}
	return rows
}
