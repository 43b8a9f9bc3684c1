package gateway

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/state/routing"
)

// maxExplainedServers bounds the servers that an explanation lists of those that may get
// the request, and of those that may not.
const maxExplainedServers = 20

// ErrUnknownOrganisation means that the configuration has no organisation of a name.
var ErrUnknownOrganisation = errors.New("no such organisation in the configuration in force")

// operatorHandler serves the explanation of requests, and the metrics at any other path.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operatorapi.PathExplainRequest, g.serveExplanation)
	mux.Handle("/", g.metrics.handler())
	return mux
}

// serveExplanation answers what the gateway would do with a request.
func (g *Gateway) serveExplanation(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	x, err := g.explain(r.URL.Query(), time.Now())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(operatorapi.ErrorResponse{Error: err.Error()})
		return
	}
	_ = json.NewEncoder(w).Encode(x)
}

// explain returns what the gateway would do with a request now. It sends nothing, draws on
// no budget and changes no decision. Whether the request crashes servers is not known, as
// its body is not. The error wraps ErrUnknownOrganisation.
func (g *Gateway) explain(q url.Values, now time.Time) (*operatorapi.RequestExplanation, error) {
	x := &operatorapi.RequestExplanation{Gateway: g.self.ID, Action: operatorapi.ActionRefuse}
	c := g.configuration.Load()
	if c == nil {
		refuse(x, http.StatusServiceUnavailable, "no_configuration", noConfigurationRetryAfter)
		return x, nil
	}
	x.ConfigurationVersion, x.ConfigurationAgeMs = uint64(c.Version), g.configurationAge().Milliseconds()
	path, _, _ := strings.Cut(q.Get(operatorapi.ParamPath), "?")
	route, ok := c.Match(q.Get(operatorapi.ParamHost), path)
	if !ok {
		refuseWith(x, g.denial(http.StatusNotFound, "no_route", c))
		return x, nil
	}
	x.Route = route.Name
	var organisation *routing.Organisation
	if name := q.Get(operatorapi.ParamOrganisation); name != "" {
		if organisation = c.Organisation(name); organisation == nil {
			return nil, fmt.Errorf("%w: %q", ErrUnknownOrganisation, name)
		}
		x.Organisation = name
	}
	if organisation == nil && c.HasOrganisations() && !route.Public {
		refuseWith(x, g.denial(http.StatusUnauthorized, "unknown_key", c))
		return x, nil
	}
	x.Rank = route.Rank(organisation)
	g.explainQuota(x, organisation, now)
	budget := clientBudget(q.Get(operatorapi.ParamDeadlineMs))
	deadline := requestDeadline(budget, route, now)
	if plan := g.stopPlan.Load(); plan != nil && !plan.Admits(now, deadline) {
		refuse(x, http.StatusServiceUnavailable, "stopping", stoppingRetryAfter)
		return x, nil
	}
	req := clientRequest{
		id: q.Get(operatorapi.ParamID), route: route, organisation: organisation, rank: x.Rank,
		arrived: now, deadline: deadline, clientDeadline: now.Add(budget),
	}
	explainServices(x, &req, c)
	if route.SessionAffinity {
		req.key = q.Get(operatorapi.ParamObject)
	}
	d := dispatcher{g: g, req: &req}
	describe(x, g.balancer.Explain(d.upstreamRequest(&wait{g: g}), now), now)
	return x, nil
}

// explainQuota adds the quota of an organisation that has one.
func (g *Gateway) explainQuota(x *operatorapi.RequestExplanation, o *routing.Organisation, now time.Time) {
	if o == nil || o.RatePerSecond <= 0 || !g.quotas.active.Load() {
		return
	}
	x.Quota = &operatorapi.ExplainedQuota{RatePerSecond: o.RatePerSecond, Burst: o.Burst, Units: g.quotas.ledger.Peek(o.Name, now)}
}

// explainServices adds the services of the route and chooses the one of the request.
func explainServices(x *operatorapi.RequestExplanation, req *clientRequest, c *routing.Configuration) {
	for _, s := range req.route.TrafficSplit {
		x.Services = append(x.Services, operatorapi.ExplainedServiceShare{Service: s.Service, Weight: s.Weight})
	}
	req.chooseService(c)
	if req.id == "" && len(x.Services) > 0 {
		most := slices.MaxFunc(x.Services, func(a, b operatorapi.ExplainedServiceShare) int { return cmp.Compare(a.Weight, b.Weight) })
		req.service = c.Services[most.Service]
		req.service.Name = most.Service
	}
	x.Service = req.service.Name
}

// describe adds the choice of a server.
func describe(x *operatorapi.RequestExplanation, from upstream.Explanation, now time.Time) {
	switch refusal := from.Refusal; {
	case refusal == nil:
		x.Action, x.Backend, x.Reason = operatorapi.ActionSend, from.Chosen, string(from.Reason)
	case refusal.Waiter != nil:
		x.Action, x.Backend, x.Reason, x.MaxWaitMs = operatorapi.ActionWait, refusal.BestCandidate, string(refusal.Reason), refusal.MaxWait.Milliseconds()
	default:
		refuse(x, http.StatusServiceUnavailable, string(refusal.Reason), refusal.RetryAfter)
		x.Backend = refusal.BestCandidate
	}
	var shown [2]int
	for _, s := range from.Servers {
		list := 0
		if s.Standing != upstream.StandingChosen && s.Standing != upstream.StandingUsable {
			list = 1
		}
		if shown[list]++; shown[list] > maxExplainedServers {
			if x.MoreServers == nil {
				x.MoreServers = map[string]int{}
			}
			x.MoreServers[string(s.Standing)]++
			continue
		}
		e := operatorapi.ExplainedServer{
			Backend: s.ID, DataCentre: s.Zone, Region: s.Region, Standing: string(s.Standing), Requests: s.Requests, Slots: s.Slots,
			LatencyMs: s.Latency.Milliseconds(),
		}
		if s.Until.After(now) {
			e.ChangesInMs = s.Until.Sub(now).Milliseconds()
		}
		x.Servers = append(x.Servers, e)
	}
}

func refuseWith(x *operatorapi.RequestExplanation, resp *localResponse) {
	refuse(x, resp.status, resp.reason, resp.retryAfter)
}

func refuse(x *operatorapi.RequestExplanation, status int, reason string, retryAfter time.Duration) {
	x.Action, x.Status, x.Reason, x.RetryAfterMs = operatorapi.ActionRefuse, status, reason, retryAfter.Milliseconds()
}
