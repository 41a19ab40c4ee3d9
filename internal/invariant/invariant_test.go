package invariant

import (
	"log/slog"
	"testing"

	"beechgrade"
	"beechgrade/internal/metrics"
)

// TestCheckSend checks that each violation is rejected and counted under the name of its rule, and that valid attempts pass.
func TestCheckSend(t *testing.T) {
	valid := Attempt{ID: "1", Effect: beechgrade.Unsafe, Now: 1000, Deadline: 2000, TimeLimitMs: 1000, DedupWindowMs: 500}
	for name, c := range map[string]struct {
		change func(*Attempt)
		want   Rule
	}{
		"sound":                       {func(*Attempt) {}, ""},
		"request ended":               {func(a *Attempt) { a.RequestEnded = true }, SentAfterEnd},
		"at its deadline":             {func(a *Attempt) { a.Deadline = 1000 }, SentAfterDeadline},
		"another in flight":           {func(a *Attempt) { a.InFlight = 1 }, ConcurrentAttempts},
		"another in flight, allowed":  {func(a *Attempt) { a.InFlight, a.MayDuplicate = 1, true }, ""},
		"unsafe and may have run":     {func(a *Attempt) { a.FirstRunAt = 999 }, MayRunTwice},
		"safe and may have run":       {func(a *Attempt) { a.FirstRunAt, a.Effect = 999, beechgrade.Safe }, ""},
		"dedup, within its window":    {func(a *Attempt) { a.FirstRunAt, a.Effect = 501, beechgrade.Deduplicated }, ""},
		"dedup, past its window":      {func(a *Attempt) { a.FirstRunAt, a.Effect = 500, beechgrade.Deduplicated }, MayRunTwice},
		"time limit too long":         {func(a *Attempt) { a.TimeLimitMs = 1001 }, TimeLimitTooLong},
		"shortest time limit":         {func(a *Attempt) { a.Deadline, a.TimeLimitMs = 1000.5, 1 }, ""},
		"unsafe, but nothing has run": {func(a *Attempt) { a.FirstRunAt = 0 }, ""},
	} {
		m := metrics.New()
		attempt := valid
		c.change(&attempt)
		ok := New(slog.New(slog.DiscardHandler), m).CheckSend(attempt)
		if ok != (c.want == "") || m.Sum(metrics.Violations) != m.Value(metrics.Violations, string(c.want)) ||
			ok != (m.Sum(metrics.Violations) == 0) {
			t.Errorf("%s: allowed %v, %d violations", name, ok, m.Sum(metrics.Violations))
		}
	}
}

// TestOtherChecks checks that a second answer, a connection closed with unanswered requests, a request accepted after
// shutdown and a shutdown with unanswered requests are rejected and counted.
func TestOtherChecks(t *testing.T) {
	m := metrics.New()
	g := New(slog.New(slog.DiscardHandler), m)
	for _, allowed := range []bool{g.CheckAnswer("1", false), g.CheckClose("idle", 0, false),
		g.CheckClose("stuck", 2, true), g.CheckAccept("1"), g.CheckShutdown(0)} {
		if !allowed {
			t.Error("a valid step was rejected")
		}
	}
	for _, allowed := range []bool{g.CheckAnswer("1", true), g.CheckClose("idle", 1, false), g.CheckAccept("2"),
		g.CheckShutdown(3)} {
		if allowed {
			t.Error("a violation was allowed")
		}
	}
	for _, rule := range []Rule{AnsweredTwice, ClosedUnanswered, AcceptedAfterShutdown, ShutdownUnanswered} {
		if got := m.Value(metrics.Violations, string(rule)); got != 1 {
			t.Errorf("%s counted %d times, want once", rule, got)
		}
	}
}
