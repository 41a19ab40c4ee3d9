package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"beechgrade"
)

// settingsReader reads typed values from the settings. A missing key has the zero value of its type.
type settingsReader struct {
	values map[string]string
	err    error // the first error
}

func (r *settingsReader) float(key string) float64 {
	v, ok := r.values[key]
	if !ok || v == "" {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%s: %w", key, err)
	}
	return x
}

func (r *settingsReader) duration(key string) time.Duration {
	v, ok := r.values[key]
	if !ok || v == "" {
		return 0
	}
	x, err := strconv.ParseInt(v, 10, 64)
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%s: %w", key, err)
	}
	return time.Duration(x)
}

func (r *settingsReader) boolean(key string) bool {
	return r.values[key] == "true" || r.values[key] == "1"
}

func (r *settingsReader) list(key string) []string {
	if r.values[key] == "" {
		return nil
	}
	return strings.Split(r.values[key], ",")
}

// maxCount limits the number of entries that a list may declare, so that a malformed count cannot exhaust memory.
const maxCount = 10000

// count returns the number of entries that a list declares.
func (r *settingsReader) count(key string) int {
	n := int(r.duration(key))
	if (n < 0 || n > maxCount) && r.err == nil {
		r.err = fmt.Errorf("%s: %d out of range", key, n)
		return 0
	}
	return n
}

// Settings converts settings from the wire to the router's settings. It also returns the position origin: the time on the
// clock of position 0.
func Settings(values map[string]string) (beechgrade.Settings, time.Duration, error) {
	reader := &settingsReader{values: values}
	settings := beechgrade.Settings{
		RouterCount:      int(reader.duration("siblings")),
		Zone:             int(reader.duration("my_zone")),
		Tick:             reader.duration("tick_ns"),
		OverShareFactor:  reader.float("over_share_worth"),
		SubscribeList:    values["membership_mode"] == "ask",
		LagWaitTime:      reader.duration("family_info.holds_for_ns"),
		TrackCommits:     values["family_info.tokens"] == "kept",
		ListShowsRole:    values["family_info.shows_role"] == "trailing" || values["family_info.shows_role"] == "static",
		ListRoleUpdates:  values["family_info.shows_role"] == "trailing",
		WeightTracksLoad: values["weights"] == "live",
		MayCancel:        reader.boolean("allowed.may_cancel"),
		MayDuplicate:     reader.boolean("allowed.may_duplicate"),
		MayProbe:         reader.boolean("allowed.probes"),
		MaxRetryAfter:    reader.duration("allowed.max_retry_after_ns"),
		MaxAttempts:      int(reader.duration("allowed.max_attempts")),
		DrainGrace:       reader.duration("invariants.drain_grace_ns"),
		SoftRemoval:      reader.boolean("invariants.soft_removal"),
		OverloadMultiple: reader.float("invariants.fall_multiple"),
		OverloadTime:     reader.duration("invariants.tip_after_ns"),
		ColdCapacity:     reader.float("invariants.cold_from"),
		ColdDuration:     reader.duration("invariants.cold_ns"),
		CrossZoneCost:    reader.float("prices.cross_zone"),
		ProbeCost:        reader.float("prices.probe"),
		ReportsInAnswers: values["telemetry.source"] == "answers",
	}
	if !reader.boolean("allowed.retry_after") {
		settings.MaxRetryAfter = 0
	}
	switch values["family_info.when_behind"] {
	case "bounce":
		settings.LagPolicy = beechgrade.LagRejects
	case "await":
		settings.LagPolicy = beechgrade.LagWaits
	}
	reads, bounds := reader.list("family_info.class_read"), reader.list("family_info.staleness_bound_ns")
	for i := range reader.count("request_classes.count") {
		prefix := "request_classes." + strconv.Itoa(i) + "."
		class := beechgrade.Class{
			LatencyTarget: reader.duration(prefix + "slo_ns"),
			Deadline:      reader.duration(prefix + "deadline_ns"),
			Value:         reader.float(prefix + "points"),
			LateFactor:    reader.float(prefix + "late_worth"),
			DedupWindow:   reader.duration(prefix + "key_ttl_ns"),
		}
		switch values[prefix+"effect"] {
		case "retryable":
		case "dedup":
			class.Effect = beechgrade.Deduplicated
		default: // an unknown effect is treated as the strictest
			class.Effect = beechgrade.Unsafe
		}
		switch values[prefix+"group"] {
		case "cell":
			class.Scope = beechgrade.ScopeGroup
		case "zone":
			class.Scope = beechgrade.ScopeZone
		}
		class.Read = beechgrade.ReadFresh // an unknown kind of read goes to the primary
		if i < len(reads) {
			switch reads[i] {
			case "eventual":
				class.Read = beechgrade.ReadAny
			case "lag_bound":
				class.Read = beechgrade.ReadBounded
			case "causal":
				class.Read = beechgrade.ReadSession
			case "mutate":
				class.Read = beechgrade.Write
			}
		}
		if i < len(bounds) {
			bound, err := strconv.ParseInt(bounds[i], 10, 64)
			if err != nil {
				return settings, 0, fmt.Errorf("staleness bound: %w", err)
			}
			class.StalenessBound = time.Duration(bound)
		}
		settings.Classes = append(settings.Classes, class)
	}
	for i := range reader.count("tenants.count") {
		settings.Tenants = append(settings.Tenants, beechgrade.Tenant{
			Allowance: reader.float("tenants." + strconv.Itoa(i) + ".allowance_per_s"),
		})
	}
	return settings, reader.duration("family_info.position_zero_ns"), reader.err
}
