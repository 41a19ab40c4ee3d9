package invariant

import (
	"log/slog"
	"testing"

	"beechgrade"
	"beechgrade/internal/metrics"
)

// TestSend: each way to break a rule is stopped and counted under its own name; a sound attempt is neither.
func TestSend(t *testing.T) {
	sound := Attempt{ID: "1", Effect: beechgrade.Unsafe, Now: 1000, Deadline: 2000, TimeoutMs: 1000, DedupWindowMs: 500}
	for name, c := range map[string]struct {
		change func(*Attempt)
		want   Rule
	}{
		"sound":                       {func(*Attempt) {}, ""},
		"over":                        {func(s *Attempt) { s.RequestEnded = true }, SentAfterOver},
		"after its time":              {func(s *Attempt) { s.Deadline = 1000 }, SentAfterDue},
		"another is out":              {func(s *Attempt) { s.InFlight = 1 }, TwoOut},
		"another is out, as allowed":  {func(s *Attempt) { s.InFlight, s.MayDuplicate = 1, true }, ""},
		"unsafe and may have run":     {func(s *Attempt) { s.FirstRunAt = 999 }, RanMaybeTwice},
		"safe and may have run":       {func(s *Attempt) { s.FirstRunAt, s.Effect = 999, beechgrade.Safe }, ""},
		"keyed, within its window":    {func(s *Attempt) { s.FirstRunAt, s.Effect = 501, beechgrade.Deduplicated }, ""},
		"keyed, past its window":      {func(s *Attempt) { s.FirstRunAt, s.Effect = 500, beechgrade.Deduplicated }, RanMaybeTwice},
		"told more than is left":      {func(s *Attempt) { s.TimeoutMs = 1001 }, ToldTooLong},
		"told the least there is":     {func(s *Attempt) { s.Deadline, s.TimeoutMs = 1000.5, 1 }, ""},
		"unsafe, but nothing has run": {func(s *Attempt) { s.FirstRunAt = 0 }, ""},
	} {
		m := metrics.New()
		s := sound
		c.change(&s)
		ok := New(slog.New(slog.DiscardHandler), m).CheckSend(s)
		if ok != (c.want == "") || m.Sum(metrics.Violations) != m.Value(metrics.Violations, string(c.want)) ||
			ok != (m.Sum(metrics.Violations) == 0) {
			t.Errorf("%s: allowed %v, %d violations", name, ok, m.Sum(metrics.Violations))
		}
	}
}

// TestOtherSteps: answering twice, closing what is owed, and taking or leaving requests at the end are counted.
func TestOtherSteps(t *testing.T) {
	m := metrics.New()
	g := New(slog.New(slog.DiscardHandler), m)
	for _, sound := range []bool{g.CheckAnswer("1", false), g.CheckClose("idle", 0, false),
		g.CheckClose("stuck", 2, true), g.CheckAccept("1"), g.CheckShutdown(0)} {
		if !sound {
			t.Error("a sound step is not allowed")
		}
	}
	for _, broken := range []bool{g.CheckAnswer("1", true), g.CheckClose("idle", 1, false), g.CheckAccept("2"), g.CheckShutdown(3)} {
		if broken {
			t.Error("a broken rule is allowed")
		}
	}
	for _, rule := range []Rule{AnsweredTwice, ClosedOwing, TakenAfterEnd, EndedUnanswered} {
		if got := m.Value(metrics.Violations, string(rule)); got != 1 {
			t.Errorf("%s counted %d times", rule, got)
		}
	}
}
