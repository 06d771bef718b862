package main

// route returns a route to one service.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name":               name,
		"hostname":           hostName,
		"prefix":             prefix,
		"type":               word(kind),
		"timeout_ms":         4000,
		word("field-target"): 600,
		"priority":           2,
		"service":            service,
		"attempts":           2,
	}
}

// service returns the settings of a service whose cold leaves tolerate the given number of
// requests in a second.
func service(name string, coldRate float64) map[string]any {
	return map[string]any{
		"name":                  name,
		"health_path":           healthPath,
		"max_connections":       36,
		"protocol":              "h1",
		"tls":                   false,
		word("field-cold-time"): 3.0,
		word("field-cold-rate"): coldRate,
	}
}

// configuration returns a configuration of the operator.
func configuration(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    262144,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
	}
}
