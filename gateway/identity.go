package gateway

import (
	"net/http"
	"strings"
	"time"

	"bilberrytiller.example/tiller/state/routing"
)

const (
	authorizationHeader = "Authorization"
	keyScheme           = "Bearer"
	// oldConfigurationRetryAfter is the Retry-After of requests that a daemon with an
	// old configuration cannot allow. Another daemon may have a newer one.
	oldConfigurationRetryAfter = 250 * time.Millisecond
)

// authenticate returns the organisation whose key a request carries, or the response
// that refuses the request. On a public route, the organisation may be nil. The
// key and the client's own name for its organisation are removed from the header, so
// that neither reaches a server.
func (g *Gateway) authenticate(h http.Header, c *routing.Configuration, route *routing.Route) (*routing.Organisation, *localResponse) {
	if !c.HasOrganisations() {
		return nil, nil
	}
	organisation := c.OrganisationByKey(keyOf(h))
	h.Del(authorizationHeader)
	h.Del(g.headers.Organisation)
	if organisation == nil && !route.Public {
		resp := g.denial(http.StatusUnauthorized, "unknown_key", c)
		resp.needsKey = resp.status == http.StatusUnauthorized
		return nil, resp
	}
	return organisation, nil
}

// keyOf returns the key in a request's header, or "" if it has none. A request with
// several Authorization headers has none, since servers and proxies differ in which
// one they use.
func keyOf(h http.Header) string {
	values := h[authorizationHeader]
	if len(values) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(scheme, keyScheme) {
		return ""
	}
	return strings.TrimLeft(key, " ")
}

// denial returns the response to a request that the configuration does not allow. If
// the configuration is so old that a later one may allow the request, the client is
// told to come back instead. That is so only where the configuration has organisations or
// the store was restored from an older copy.
func (g *Gateway) denial(status int, reason string, c *routing.Configuration) *localResponse {
	maxAge := g.settings.Load().MaxDenialAge
	isNeeded := c.HasOrganisations() || g.storeEra() > 0
	if isNeeded && maxAge > 0 && g.configurationAge() > maxAge {
		return &localResponse{
			status: http.StatusServiceUnavailable, reason: "configuration_old", retryAfter: oldConfigurationRetryAfter, version: c.Version,
		}
	}
	return &localResponse{status: status, reason: reason, version: c.Version}
}

// organisationName returns the name of the request's organisation, or "".
func (r *clientRequest) organisationName() string {
	if r.organisation == nil {
		return ""
	}
	return r.organisation.Name
}
