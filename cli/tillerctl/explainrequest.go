package tillerctl

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/transport/operatorhttp"
)

type explainRequestCommand struct {
	env          *env
	Organisation string         `long:"organisation" value-name:"NAME" description:"organisation whose request it is"`
	Object       string         `long:"object" value-name:"KEY" description:"key of the object that the request is for"`
	ID           string         `long:"id" value-name:"ID" description:"ID of the request, which decides about the service where a route is split"`
	Deadline     *time.Duration `long:"deadline" value-name:"DURATION" description:"how long the client waits"`
	Args         struct {
		Gateway string `positional-arg-name:"IP:PORT"`
		Host    string `positional-arg-name:"HOST"`
		Path    string `positional-arg-name:"PATH"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints what the gateway would do with the request.
func (c *explainRequestCommand) Execute([]string) error {
	if !strings.HasPrefix(c.Args.Path, "/") {
		return &UsageError{Problem: fmt.Sprintf("%q is not a path, want one that begins with /", c.Args.Path)}
	}
	query := url.Values{operatorapi.ParamHost: {c.Args.Host}, operatorapi.ParamPath: {c.Args.Path}}
	for name, value := range map[string]string{operatorapi.ParamOrganisation: c.Organisation, operatorapi.ParamObject: c.Object, operatorapi.ParamID: c.ID} {
		if value != "" {
			query.Set(name, value)
		}
	}
	if c.Deadline != nil {
		if *c.Deadline < time.Millisecond {
			return &UsageError{Problem: fmt.Sprintf("--deadline = %v, want at least 1ms", *c.Deadline)}
		}
		query.Set(operatorapi.ParamDeadlineMs, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	x, err := operatorhttp.New(c.Args.Gateway, "").ExplainRequest(c.env.ctx, query)
	if err != nil {
		return err
	}
	if c.env.json() {
		return printJSON(c.env.stdout, x)
	}
	c.env.printRequest(&x)
	if len(x.Servers) == 0 {
		return nil
	}
	fmt.Fprintln(c.env.stdout)
	if err := printTable(c.env.stdout, serverRows(x.Servers)); err != nil {
		return err
	}
	for _, standing := range slices.Sorted(maps.Keys(x.MoreServers)) {
		fmt.Fprintf(c.env.stdout, "and %d more: %s\n", x.MoreServers[standing], standing)
	}
	return nil
}

// printRequest prints where the request would go, and how that was decided.
func (e *env) printRequest(x *operatorapi.RequestExplanation) {
	fmt.Fprintf(e.stdout, "as seen by gateway %s, configuration version %d, known to be current %d ms ago\n", x.Gateway, x.ConfigurationVersion, x.ConfigurationAgeMs)
	if x.Route != "" {
		fmt.Fprintf(e.stdout, "route %s, organisation %s, rank %d\n", x.Route, orDash(x.Organisation), x.Rank)
	}
	if q := x.Quota; q != nil {
		fmt.Fprintf(e.stdout, "quota %g a second and %g at once over all daemons; %d units here, other daemons are asked without one\n", q.RatePerSecond, q.Burst, q.Units)
	}
	if x.Service != "" {
		shares := make([]string, 0, len(x.Services))
		for _, s := range x.Services {
			shares = append(shares, fmt.Sprintf("%s=%g", s.Service, s.Weight))
		}
		fmt.Fprintf(e.stdout, "service %s, by weights %s\n", x.Service, strings.Join(shares, " "))
	}
	switch x.Action {
	case operatorapi.ActionSend:
		fmt.Fprintf(e.stdout, "would be sent to %s (%s)\n", x.Backend, x.Reason)
	case operatorapi.ActionWait:
		fmt.Fprintf(e.stdout, "would wait up to %d ms for room at %s (%s)\n", x.MaxWaitMs, x.Backend, x.Reason)
	default:
		fmt.Fprintf(e.stdout, "would be answered %d (%s)", x.Status, x.Reason)
		if x.RetryAfterMs > 0 {
			fmt.Fprintf(e.stdout, " and asked to return after %d ms", x.RetryAfterMs)
		}
		fmt.Fprintln(e.stdout)
	}
	if x.Action == operatorapi.ActionRefuse && causes[x.Reason] != "" {
		fmt.Fprintln(e.stdout, "cause:", causes[x.Reason])
	}
}

func serverRows(servers []operatorapi.ExplainedServer) [][]string {
	rows := [][]string{{"SERVER", "DATA CENTRE", "REGION", "STANDING", "CHANGES IN MS", "REQUESTS", "SLOTS", "LATENCY MS"}}
	for _, s := range servers {
		changes := "-"
		if s.ChangesInMs > 0 {
			changes = strconv.FormatInt(s.ChangesInMs, 10)
		}
		rows = append(rows, []string{
			s.Backend, s.DataCentre, s.Region, s.Standing, changes, strconv.Itoa(s.Requests), strconv.Itoa(s.Slots), strconv.FormatInt(s.LatencyMs, 10),
		})
	}
	return rows
}
