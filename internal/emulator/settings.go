package emulator

import (
	"encoding/json"
	"fmt"
	"time"

	"beechgrade/internal/discovery"
)

// Class is a request class of the emulated clients.
type Class struct {
	Name          string
	ReadPolicy    string // value in family_info.class_read
	Effect        string // value in request_classes.effect
	LatencyTarget time.Duration
	Deadline      time.Duration
	MeanWork      time.Duration // mean time that a server takes for one request
	AtMostOnce    bool          // whether it must never run twice
	Share         float64       // share of all requests
}

// classes are the request classes of the emulated clients. Their shares add up to 1.
var classes = []Class{
	{Name: "read", ReadPolicy: "eventual", Effect: "retryable", LatencyTarget: 200 * time.Millisecond,
		Deadline: 800 * time.Millisecond, MeanWork: 10 * time.Millisecond, Share: 0.6},
	{Name: "report", ReadPolicy: "eventual", Effect: "retryable", LatencyTarget: time.Second, Deadline: 3 * time.Second,
		MeanWork: 150 * time.Millisecond, Share: 0.05},
	{Name: "entry", ReadPolicy: "mutate", Effect: "fragile", LatencyTarget: 500 * time.Millisecond, Deadline: 2 * time.Second,
		MeanWork: 15 * time.Millisecond, AtMostOnce: true, Share: 0.35},
}

// Settings of the poolers.
const (
	// poolerSockets is the number of sockets that a pooler may open.
	poolerSockets = 256
	// poolerMemoryMB is a pooler's memory, in megabytes.
	poolerMemoryMB = 64
	// connectTimeout is the time limit for a connection to a server.
	connectTimeout = 250 * time.Millisecond
	// idleTimeout is the time after which an idle connection to a server is closed.
	idleTimeout = 10 * time.Second
)

// configuration returns the contents of one pooler's configuration file.
func configuration(name, listen, discoveryAddr string, seed uint64, poolerCount int, known discovery.List) ([]byte, error) {
	var requestClasses []map[string]any
	var readPolicies []string
	var stalenessBounds []int
	for _, c := range classes {
		requestClasses = append(requestClasses, map[string]any{"name": c.Name, "effect": c.Effect,
			"slo_ns": c.LatencyTarget.Nanoseconds(), "deadline_ns": c.Deadline.Nanoseconds(), "points": 1})
		readPolicies, stalenessBounds = append(readPolicies, c.ReadPolicy), append(stalenessBounds, 0)
	}
	return json.Marshal(map[string]any{
		"name": name, "listen": listen, "discovery": discoveryAddr, "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": 1.0, "memory_mb": poolerMemoryMB, "sockets": poolerSockets},
		"known":  known,
		"settings": map[string]any{
			"siblings": poolerCount, "slot_no": 0, "tick_ns": 2_000_000, "my_zone": 0, "zones": []string{"room"},
			"kinds": []string{"small"}, "weights": "nominal", "membership_mode": "ask",
			"allowed": map[string]any{"connect_timeout_ns": connectTimeout.Nanoseconds(),
				"idle_close_ns": idleTimeout.Nanoseconds(), "max_attempts": 8, "max_retry_after_ns": 2_000_000_000,
				"may_cancel": true, "may_duplicate": false, "probes": true, "retry_after": true},
			"family_info": map[string]any{"class_read": readPolicies, "staleness_bound_ns": stalenessBounds,
				"shows_role": "trailing", "tells_position": true, "tokens": "brought", "when_behind": "none"},
			"invariants": map[string]any{"cold_from": 0.5, "cold_ns": 4_000_000_000, "drain_grace_ns": drainGrace.Nanoseconds(),
				"fall_multiple": 4, "tip_after_ns": 1_500_000_000},
			"prices":          map[string]any{"probe": 0.01},
			"telemetry":       map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
			"request_classes": requestClasses,
		},
	})
}
