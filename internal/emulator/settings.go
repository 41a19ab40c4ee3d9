package emulator

import (
	"encoding/json"
	"fmt"
	"time"

	"beechgrade/internal/discovery"
)

// Class is a kind of request that the emulated clients make.
type Class struct {
	Name     string
	Read     string // as family_info has it
	Effect   string
	Aim      time.Duration
	Deadline time.Duration
	Work     time.Duration // in the mean, at a server
	Unsafe   bool          // it must never run twice
	Share    float64       // of the requests
}

// classes are what emulated clients ask.
var classes = []Class{
	{Name: "read", Read: "eventual", Effect: "retryable", Aim: 200 * time.Millisecond, Deadline: 800 * time.Millisecond,
		Work: 10 * time.Millisecond, Share: 0.6},
	{Name: "report", Read: "eventual", Effect: "retryable", Aim: time.Second, Deadline: 3 * time.Second,
		Work: 150 * time.Millisecond, Share: 0.05},
	{Name: "entry", Read: "mutate", Effect: "fragile", Aim: 500 * time.Millisecond, Deadline: 2 * time.Second,
		Work: 15 * time.Millisecond, Unsafe: true, Share: 0.35},
}

// Limits of the emulated machines.
const (
	poolerSockets  = 256
	poolerMemoryMB = 64
	connectTimeout = 250 * time.Millisecond
	idleClose      = 10 * time.Second
)

// configuration is what one pooler is told, as its configuration file has it.
func configuration(name, listen, dir string, seed uint64, poolers int, known discovery.List) ([]byte, error) {
	var requestClasses []map[string]any
	var reads []string
	var bounds []int
	for _, c := range classes {
		requestClasses = append(requestClasses, map[string]any{"name": c.Name, "effect": c.Effect, "slo_ns": c.Aim.Nanoseconds(),
			"deadline_ns": c.Deadline.Nanoseconds(), "points": 1})
		reads, bounds = append(reads, c.Read), append(bounds, 0)
	}
	return json.Marshal(map[string]any{
		"name": name, "listen": listen, "discovery": dir, "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": 1.0, "memory_mb": poolerMemoryMB, "sockets": poolerSockets},
		"known":  known,
		"settings": map[string]any{
			"siblings": poolers, "slot_no": 0, "tick_ns": 2_000_000, "my_zone": 0, "zones": []string{"room"}, "kinds": []string{"small"},
			"weights": "nominal", "membership_mode": "ask",
			"allowed": map[string]any{"connect_timeout_ns": connectTimeout.Nanoseconds(), "idle_close_ns": idleClose.Nanoseconds(),
				"max_attempts": 8, "max_retry_after_ns": 2_000_000_000, "may_cancel": true, "may_duplicate": false, "probes": true,
				"retry_after": true},
			"family_info": map[string]any{"class_read": reads, "staleness_bound_ns": bounds, "shows_role": "trailing",
				"tells_position": true, "tokens": "brought", "when_behind": "none"},
			"invariants": map[string]any{"cold_from": 0.5, "cold_ns": 4_000_000_000, "drain_grace_ns": drainGrace.Nanoseconds(),
				"fall_multiple": 4, "tip_after_ns": 1_500_000_000},
			"prices":          map[string]any{"probe": 0.01},
			"telemetry":       map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
			"request_classes": requestClasses,
		},
	})
}
