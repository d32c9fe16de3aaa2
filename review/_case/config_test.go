package reviewcase

import (
	"encoding/json"
	"fmt"
)

// hostName is the host of all routes.
const hostName = "ficu95.example"

// Services of the deployments.
const (
	serviceDesk  = "order-desk"
	serviceFloor = "print-floor"
)

// route is a route of a configuration.
type route struct {
	name, kind, prefix, service string
	targetMs, timeoutMs         int
}

// configOf returns a configuration with the routes; the service print-floor is divided by key.
func configOf(version int, routes ...route) string {
	var rules []map[string]any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name":            r.name,
			"kind":            r.kind,
			"targetLatencyMs": r.targetMs,
			"priority":        1,
			"match":           map[string]any{"prefix": r.prefix},
			"action": map[string]any{
				"service":        r.service,
				"timeoutMs":      r.timeoutMs,
				"maxAttempts":    2,
				"allowedRegions": []string{},
			},
		})
	}
	cluster := func(name string, sharded bool) map[string]any {
		c := map[string]any{
			"name":           name,
			"healthPath":     healthPath,
			"maxConnections": 130,
			"protocol":       "h1",
			"tls":            false,
			"coldStartS":     3.0,
			"coldPerS":       22.0,
		}
		if sharded {
			c["sharded"], c["warmupS"], c["grants"] = true, 2.0, "heartbeat"
		}
		return c
	}
	text, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"listeners": []any{map[string]any{"host": hostName, "ruleSet": rules}},
		"clusters":  []any{cluster(serviceDesk, false), cluster(serviceFloor, true)},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}
