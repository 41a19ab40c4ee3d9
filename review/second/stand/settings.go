package stand

import "time"

// Class is a class of requests.
type Class struct {
	Name, Read, Effect string
	Aim, Deadline      time.Duration
	BoundMs            int // for lag_bound
	Window             time.Duration
	Group              string
}

// Config returns a configuration like that of a small deployment. The caller may change it.
func Config(discovery string, known List, siblings int, classes ...Class) map[string]any {
	var requestClasses []map[string]any
	var reads []string
	var bounds []int64
	for _, c := range classes {
		group := c.Group
		if group == "" {
			group = "all"
		}
		requestClasses = append(requestClasses, map[string]any{"name": c.Name, "effect": c.Effect, "group": group,
			"slo_ns": c.Aim.Nanoseconds(), "deadline_ns": c.Deadline.Nanoseconds(), "key_ttl_ns": c.Window.Nanoseconds(),
			"points": 1, "late_worth": 0.2, "streaming": false})
		reads = append(reads, c.Read)
		bounds = append(bounds, int64(c.BoundMs)*1e6)
	}
	return map[string]any{
		"discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256},
		"known":  known,
		"settings": map[string]any{
			"siblings": siblings, "slot_no": 0, "tick_ns": 2_000_000, "my_zone": 0, "zones": []string{"hall-kita"},
			"kinds": []string{"std-11"}, "weights": "none", "membership_mode": "ask", "tenants": []any{},
			"over_share_worth": 0.1,
			"allowed": map[string]any{"connect_timeout_ns": 250_000_000, "idle_close_ns": 30_000_000_000, "max_attempts": 10,
				"max_retry_after_ns": 1_000_000_000, "may_cancel": true, "may_duplicate": false, "probes": true,
				"retry_after": true},
			"family_info": map[string]any{"class_read": reads, "staleness_bound_ns": bounds, "shows_role": "static",
				"tells_position": true, "tokens": "kept", "when_behind": "none", "holds_for_ns": 50_000_000},
			"invariants": map[string]any{"cold_from": 0.19, "cold_ns": 17_000_000_000, "drain_grace_ns": 2_000_000_000,
				"fall_multiple": 2.0, "tip_after_ns": 1_500_000_000, "ask_every_ns": 10_000_000_000,
				"answer_slack_ns": 8_000_000},
			"prices":          map[string]any{"probe": 0.01, "cross_zone": 0.02},
			"telemetry":       map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
			"request_classes": requestClasses,
		},
	}
}
