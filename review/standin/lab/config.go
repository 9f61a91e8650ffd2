package lab

// Tenant returns a tenant of the configuration without a quota.
func Tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}
}

// PlainRoute returns a route to a plain service.
func PlainRoute(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "latency_goal_ms": 300,
		"priority": 2, "service": service, "attempts": attempts, "public": false, "sticky": false, "resumable": false}
}

// Config returns the operator's configuration.
func Config(version int, routes []map[string]any, services []string, tenants ...map[string]any) map[string]any {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{"version": version, "routes": routes, "services": list, "tenants": tenants, "limits": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// Host is the host of all routes.
const Host = "ficu95.example"
