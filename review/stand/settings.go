package stand

// Class is a request class of a deployment.
type Class struct {
	Name, Read, Effect string
	BoundMs            int // for lag_bound
	AimMs, DeadlineMs  int
	Points             float64
}

// SmallClasses are the classes of the site page, with its figures.
var SmallClasses = []Class{
	{"browse", "lag_bound", "retryable", 300, 200, 800, 1},
	{"own-results", "causal", "retryable", 0, 200, 500, 1},
	{"deadline-check", "strong", "retryable", 0, 250, 750, 1},
	{"course-report", "eventual", "retryable", 0, 1500, 3000, 4},
	{"submit", "mutate", "fragile", 0, 500, 2000, 6},
}

// Settings returns the settings of a small deployment, in the form of the start-up settings.
func Settings(classes []Class, siblings int, whenBehind string) map[string]any {
	var list []map[string]any
	var reads []string
	var bounds []int64
	for _, c := range classes {
		list = append(list, map[string]any{"name": c.Name, "effect": c.Effect, "group": "all", "key_ttl_ns": int64(5e9),
			"slo_ns": int64(c.AimMs) * 1e6, "deadline_ns": int64(c.DeadlineMs) * 1e6, "points": c.Points, "late_worth": 0.2,
			"streaming": false})
		reads = append(reads, c.Read)
		bounds = append(bounds, int64(c.BoundMs)*1e6)
	}
	return map[string]any{
		"siblings": siblings, "slot_no": 0, "tick_ns": 2_000_000, "my_zone": 0, "zones": []string{"hall-kita"},
		"kinds": []string{"std-11"}, "weights": "none", "membership_mode": "ask", "kind_of_service": "replicas",
		"counted_by": "request", "layer": 0, "stages": "db-fleet", "tenants": "", "over_share_worth": 0.1,
		"allowed": map[string]any{"connect_timeout_ns": 250_000_000, "idle_close_ns": int64(30e9), "max_attempts": 10,
			"max_retry_after_ns": 1_000_000_000, "may_cancel": true, "may_duplicate": false, "most_held": 20000, "multiplex": 1,
			"peer_messages": false, "probes": true, "retry_after": true},
		"clients": map[string]any{"marks_retry": true},
		"family_info": map[string]any{"class_read": reads, "staleness_bound_ns": bounds, "holds_for_ns": 50_000_000,
			"position_zero_ns": 0, "shows_role": "static", "sync": false, "tells_position": true, "tokens": "kept",
			"when_behind": whenBehind},
		"goal": map[string]any{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2},
		"invariants": map[string]any{"answer_slack_ns": 8_000_000, "ask_every_ns": int64(10e9), "cold_from": 0.19,
			"cold_ns": int64(17e9), "drain_grace_ns": int64(2e9), "fall_multiple": 2.0, "tip_after_ns": 1_500_000_000},
		"prices":          map[string]any{"cross_zone": 0.02, "late_fail": 0.05, "probe": 0.01, "waste": 0.05},
		"telemetry":       map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
		"request_classes": list,
	}
}
