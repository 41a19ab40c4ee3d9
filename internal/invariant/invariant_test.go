package invariant

import (
	"log/slog"
	"testing"

	"beechgrade"
	"beechgrade/internal/metrics"
)

// TestSend: each way to break a rule is stopped and counted under its own name; a sound attempt is neither.
func TestSend(t *testing.T) {
	sound := Send{ID: "1", Effect: beechgrade.Unsafe, Now: 1000, Due: 2000, TellMs: 1000, WindowMs: 500}
	for name, c := range map[string]struct {
		change func(*Send)
		want   Rule
	}{
		"sound":                       {func(*Send) {}, ""},
		"over":                        {func(s *Send) { s.Over = true }, SentAfterOver},
		"after its time":              {func(s *Send) { s.Due = 1000 }, SentAfterDue},
		"another is out":              {func(s *Send) { s.Out = 1 }, TwoOut},
		"another is out, as allowed":  {func(s *Send) { s.Out, s.MayDuplicate = 1, true }, ""},
		"unsafe and may have run":     {func(s *Send) { s.RanAt = 999 }, RanMaybeTwice},
		"safe and may have run":       {func(s *Send) { s.RanAt, s.Effect = 999, beechgrade.Safe }, ""},
		"keyed, within its window":    {func(s *Send) { s.RanAt, s.Effect = 501, beechgrade.Keyed }, ""},
		"keyed, past its window":      {func(s *Send) { s.RanAt, s.Effect = 500, beechgrade.Keyed }, RanMaybeTwice},
		"told more than is left":      {func(s *Send) { s.TellMs = 1001 }, ToldTooLong},
		"told the least there is":     {func(s *Send) { s.Due, s.TellMs = 1000.5, 1 }, ""},
		"unsafe, but nothing has run": {func(s *Send) { s.RanAt = 0 }, ""},
	} {
		m := metrics.New()
		s := sound
		c.change(&s)
		ok := New(slog.New(slog.DiscardHandler), m).Send(s)
		if ok != (c.want == "") || m.Sum(metrics.Violations) != m.Value(metrics.Violations, string(c.want)) || ok != (m.Sum(metrics.Violations) == 0) {
			t.Errorf("%s: allowed %v, %d violations", name, ok, m.Sum(metrics.Violations))
		}
	}
}

// TestOtherSteps: answering twice, closing what is owed, and taking or leaving requests at the end are counted.
func TestOtherSteps(t *testing.T) {
	m := metrics.New()
	g := New(slog.New(slog.DiscardHandler), m)
	for _, sound := range []bool{g.Answer("1", false), g.Close("idle", 0, false), g.Close("stuck", 2, true), g.Take("1"), g.End(0)} {
		if !sound {
			t.Error("a sound step is not allowed")
		}
	}
	for _, broken := range []bool{g.Answer("1", true), g.Close("idle", 1, false), g.Take("2"), g.End(3)} {
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
