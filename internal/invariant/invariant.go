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

// Attempt is an attempt that is about to be written to a server. Times are in milliseconds on the loop's clock.
type Attempt struct {
	ID            string
	Effect        beechgrade.Effect
	RequestEnded  bool    // the request has its final answer, or its client has gone
	InFlight      int     // number of other attempts of the request that were written and have not ended
	MayDuplicate  bool    // the settings allow a second copy
	FirstRunAt    float64 // when the first attempt that may have run was written, 0 for none
	DedupWindowMs float64 // for deduplicated requests: repeats are dropped for this long after FirstRunAt
	Now, Deadline float64
	TimeoutMs     float64 // the time limit that is sent to the server
}

// CheckSend reports whether an attempt may be written.
func (g *Guard) CheckSend(s Attempt) bool {
	switch {
	case s.RequestEnded:
		return g.violated(SentAfterOver, "id", s.ID)
	case s.Now >= s.Deadline:
		return g.violated(SentAfterDue, "id", s.ID, "late_ms", s.Now-s.Deadline)
	case s.InFlight > 0 && !s.MayDuplicate:
		return g.violated(TwoOut, "id", s.ID, "out", s.InFlight)
	case s.FirstRunAt > 0 && s.Effect == beechgrade.Unsafe,
		s.FirstRunAt > 0 && s.Effect == beechgrade.Deduplicated && s.Now >= s.FirstRunAt+s.DedupWindowMs:
		return g.violated(RanMaybeTwice, "id", s.ID, "since_ms", s.Now-s.FirstRunAt)
	case s.TimeoutMs > max(1, s.Deadline-s.Now): // less than 1 ms is told as 1
		return g.violated(ToldTooLong, "id", s.ID, "told_ms", s.TimeoutMs, "left_ms", s.Deadline-s.Now)
	}
	return true
}

// CheckAnswer reports whether a request may be given a final answer. before says that it has already had one.
func (g *Guard) CheckAnswer(id string, before bool) bool {
	if before {
		return g.violated(AnsweredTwice, "id", id)
	}
	return true
}

// CheckClose reports whether a client's connection may be closed for the given reason while owed requests on it are
// unanswered. forced says that the client itself is the reason: it does not read, or sends input that cannot be accepted.
func (g *Guard) CheckClose(why string, owed int, forced bool) bool {
	if owed > 0 && !forced {
		return g.violated(ClosedOwing, "why", why, "owed", owed)
	}
	return true
}

// CheckAccept reports whether a request may be accepted.
func (g *Guard) CheckAccept(id string) bool {
	if g.ended {
		return g.violated(TakenAfterEnd, "id", id)
	}
	return true
}

// CheckShutdown records that the process ends its service with the given number of requests unanswered.
func (g *Guard) CheckShutdown(unanswered int) bool {
	g.ended = true
	if unanswered > 0 {
		return g.violated(EndedUnanswered, "requests", unanswered)
	}
	return true
}
