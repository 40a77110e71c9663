package main

// config is the operator's configuration of the cases.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, attempts int, resumable bool, timeoutMS int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "ficu95.example", "path_prefix": prefix, "type": kind, "timeout_ms": timeoutMS,
			"target_latency_ms": 900, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
			"sticky": kind == "streaming", "resumable": resumable, "target_gap_ms": 300,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("catch-summary", "/lohu930/", "streaming", "huvo11a", 2, true, 14000),
			route("origin-brief", "/pufi791/", "streaming", "huvo11a", 1, false, 14000),
			route("label-issue", "/pule252/", "unsafe", "wuno96b", 1, false, 1200),
			route("label-lookup", "/puxa403/", "safe", "wuno96b", 2, false, 1200),
		},
		"services": []any{
			map[string]any{
				"name": "huvo11a", "health_check_path": "/health", "max_connections": 250, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 32, "kv_capacity_tokens": 36778, "kv_token_bytes": 163840, "link_mbps": 1400000.0, "moves": true,
					"backups": true, "stride": stride, "most": 12, "kv_ttl_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0,
					"hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "wuno96b", "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{
			"name": "huka270", "api_keys": []any{clientKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 0, "burst": 0,
		}},
	}
}
