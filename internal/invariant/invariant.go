// Package invariant guards the rules that no fault excuses: what may be sent and sent again, when a client's connection may be closed,
// that a request is answered once, and that none is taken by a process that has ended. Each of these steps asks the one Guard of the
// process right before it is taken. A step that breaks a rule is not taken where that is possible, and is counted and logged always:
// it is a fault of the program, whatever the world around it does.
//
// The package decides nothing else and knows no sockets.
package invariant

import (
	"log/slog"

	"beechgrade"
	"beechgrade/internal/metrics"
)

// Rule names an invariant, as the counters and the log have it.
type Rule string

// The rules.
const (
	SentAfterOver   Rule = "sent_after_over"  // an attempt began for a request that is over
	SentAfterDue    Rule = "sent_after_due"   // an attempt began after its client's time
	TwoOut          Rule = "two_attempts_out" // an attempt began while another was out
	RanMaybeTwice   Rule = "may_run_twice"    // one that may have run was sent again, though its class forbids that
	ToldTooLong     Rule = "told_too_long"    // a server was told more time than the client has left
	AnsweredTwice   Rule = "answered_twice"   // a request had a second final answer
	ClosedOwing     Rule = "closed_owing"     // this side closed a client's connection that was owed an answer
	TakenAfterEnd   Rule = "taken_after_end"  // a request was taken by a process that had ended its service
	EndedUnanswered Rule = "ended_unanswered" // the process ended while a request had no answer
)

// Guard checks the steps of one pooler. It is for the loop alone.
type Guard struct {
	log     *slog.Logger
	metrics *metrics.Set
	ended   bool
}

// New makes a guard that counts in m.
func New(log *slog.Logger, m *metrics.Set) *Guard { return &Guard{log: log, metrics: m} }

// violated counts and logs a step that breaks a rule.
func (g *Guard) violated(rule Rule, attrs ...any) bool {
	g.metrics.Add(metrics.Violations, string(rule))
	g.log.Error("invariant violated", append([]any{"rule", rule}, attrs...)...)
	return false
}

// Send is an attempt that is about to be written to a server. Times are in milliseconds on the loop's clock.
type Send struct {
	ID           string
	Effect       beechgrade.Effect
	Over         bool    // the request has its final answer, or its client has gone
	Out          int     // other attempts that were written and have not ended
	MayDuplicate bool    // the settings allow a second copy
	RanAt        float64 // the first attempt that may have run was written then, 0 for none
	WindowMs     float64 // keyed: so long after that a repeat is dropped
	Now, Due     float64
	TellMs       float64 // the time that the server is told
}

// Send tells whether an attempt may be written.
func (g *Guard) Send(s Send) bool {
	switch {
	case s.Over:
		return g.violated(SentAfterOver, "id", s.ID)
	case s.Now >= s.Due:
		return g.violated(SentAfterDue, "id", s.ID, "late_ms", s.Now-s.Due)
	case s.Out > 0 && !s.MayDuplicate:
		return g.violated(TwoOut, "id", s.ID, "out", s.Out)
	case s.RanAt > 0 && s.Effect == beechgrade.Unsafe,
		s.RanAt > 0 && s.Effect == beechgrade.Keyed && s.Now >= s.RanAt+s.WindowMs:
		return g.violated(RanMaybeTwice, "id", s.ID, "since_ms", s.Now-s.RanAt)
	case s.TellMs > max(1, s.Due-s.Now): // less than 1 ms is told as 1
		return g.violated(ToldTooLong, "id", s.ID, "told_ms", s.TellMs, "left_ms", s.Due-s.Now)
	}
	return true
}

// Answer tells whether a request may be given a final answer. before says that it has had one.
func (g *Guard) Answer(id string, before bool) bool {
	if before {
		return g.violated(AnsweredTwice, "id", id)
	}
	return true
}

// Close tells whether a client's connection may be closed for the given reason with so many requests unanswered on it. forced says
// that the client itself is the reason: it does not read, or sends what cannot be taken.
func (g *Guard) Close(why string, owed int, forced bool) bool {
	if owed > 0 && !forced {
		return g.violated(ClosedOwing, "why", why, "owed", owed)
	}
	return true
}

// Take tells whether a request may be taken.
func (g *Guard) Take(id string) bool {
	if g.ended {
		return g.violated(TakenAfterEnd, "id", id)
	}
	return true
}

// End notes that the process ends its service with so many requests unanswered.
func (g *Guard) End(unanswered int) bool {
	g.ended = true
	if unanswered > 0 {
		return g.violated(EndedUnanswered, "requests", unanswered)
	}
	return true
}
