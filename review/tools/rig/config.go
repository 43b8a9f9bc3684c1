package rig

import "fmt"

// Route is a route of the desired state.
type Route struct {
	Name, Host, Prefix, Service string
	Idempotent, Affinity        bool
	TargetMs, TimeoutMs         int
}

// MaxBodyBytes is the limit of request bodies. It and the other limits, like
// max_attempts, are those that "fleetbench wire" shows for kssa-tiller.
const MaxBodyBytes = 67108864

// PutConfig writes a desired state as the operator does.
func PutConfig(store *Store, version int, routes []Route) {
	services, table := map[string]any{}, map[string]any{}
	for _, r := range routes {
		services[r.Service] = map[string]any{"health_path": "/health", "max_conns": 330, "cold_start": "4s", "cold_per_s": 20}
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		table[r.Name] = map[string]any{
			"hostname": r.Host, "path_prefix": r.Prefix, "route_type": kind, "timeout": fmt.Sprintf("%dms", r.TimeoutMs),
			"target_latency": fmt.Sprintf("%dms", r.TargetMs), "priority": 1, "service_name": r.Service, "traffic_split": []any{},
			"max_attempts": 2, "session_affinity": r.Affinity, "allowed_regions": []string{},
		}
	}
	store.Put("config", "main", map[string]any{
		"config_version": fmt.Sprintf("r%d", version), "routes": table, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": MaxBodyBytes, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	Log("desired state r%d is confirmed by the store, with %d routes", version, len(routes))
}
