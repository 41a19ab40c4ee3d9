// Package invariant checks rules that must hold whatever fails outside the process: which attempts may be sent or repeated,
// when a client's connection may be closed, that a request is answered only once, and that no request is accepted after
// shutdown. Each such step is checked by the Guard of the process right before it is taken. A step that would break a rule
// is not taken where that is possible, and is always counted and logged, because it is a bug in this program.
//
// The package makes no other decisions and does not use sockets.
package invariant

import (
	"log/slog"

	"beechgrade"
	"beechgrade/internal/metrics"
)

// Rule is the name of an invariant in the metrics and in the log.
type Rule string

// The rules, each with the step that violates it.
const (
	SentAfterEnd          Rule = "sent_after_over"  // sending an attempt of a request that has ended
	SentAfterDeadline     Rule = "sent_after_due"   // sending an attempt after the request's deadline
	ConcurrentAttempts    Rule = "two_attempts_out" // sending an attempt with another in flight, without MayDuplicate
	MayRunTwice           Rule = "may_run_twice"    // repeating an attempt that may have run, where Effect forbids it
	TimeLimitTooLong      Rule = "told_too_long"    // sending a time limit that exceeds the time to the deadline
	AnsweredTwice         Rule = "answered_twice"   // giving a request a second final answer
	ClosedUnanswered      Rule = "closed_owing"     // closing a client's connection with unanswered requests
	AcceptedAfterShutdown Rule = "taken_after_end"  // accepting a request after the end of service
	ShutdownUnanswered    Rule = "ended_unanswered" // ending the service with unanswered requests
)

// Guard checks the invariants of one pooler. Its methods must only be called on the loop's goroutine.
type Guard struct {
	log     *slog.Logger
	metrics *metrics.Set
	ended   bool // CheckShutdown was called
}

// New returns a guard that counts violations in m.
func New(log *slog.Logger, m *metrics.Set) *Guard { return &Guard{log: log, metrics: m} }

// violated counts and logs a violation of a rule, and returns false.
func (g *Guard) violated(rule Rule, attrs ...any) bool {
	g.metrics.Add(metrics.Violations, string(rule))
	g.log.Error("invariant violated", append([]any{"rule", rule}, attrs...)...)
	return false
}

// Attempt is an attempt that is about to be written to a server. Times are in milliseconds on the loop's clock.
type Attempt struct {
	ID            string
	Effect        beechgrade.Effect
	RequestEnded  bool    // the request has its final answer, or was abandoned
	InFlight      int     // number of other attempts of the request that were written and have not ended
	MayDuplicate  bool    // the settings allow attempts of one request to run concurrently
	FirstRunAt    float64 // when the first attempt that may have run was written, 0 if there is none
	DedupWindowMs float64 // for deduplicated requests: repeats are dropped for this long after FirstRunAt
	Now, Deadline float64
	TimeLimitMs   float64 // the time limit that is sent to the server
}

// CheckSend reports whether an attempt may be written.
func (g *Guard) CheckSend(attempt Attempt) bool {
	switch {
	case attempt.RequestEnded:
		return g.violated(SentAfterEnd, "id", attempt.ID)
	case attempt.Now >= attempt.Deadline:
		return g.violated(SentAfterDeadline, "id", attempt.ID, "late_ms", attempt.Now-attempt.Deadline)
	case attempt.InFlight > 0 && !attempt.MayDuplicate:
		return g.violated(ConcurrentAttempts, "id", attempt.ID, "out", attempt.InFlight)
	case attempt.FirstRunAt > 0 && attempt.Effect == beechgrade.Unsafe,
		attempt.FirstRunAt > 0 && attempt.Effect == beechgrade.Deduplicated &&
			attempt.Now >= attempt.FirstRunAt+attempt.DedupWindowMs:
		return g.violated(MayRunTwice, "id", attempt.ID, "since_ms", attempt.Now-attempt.FirstRunAt)
	case attempt.TimeLimitMs > max(1, attempt.Deadline-attempt.Now): // the shortest time limit that can be sent is 1 ms
		return g.violated(TimeLimitTooLong, "id", attempt.ID, "told_ms", attempt.TimeLimitMs,
			"left_ms", attempt.Deadline-attempt.Now)
	}
	return true
}

// CheckAnswer reports whether a request may be given a final answer. answered is true if it already has one.
func (g *Guard) CheckAnswer(id string, answered bool) bool {
	if answered {
		return g.violated(AnsweredTwice, "id", id)
	}
	return true
}

// CheckClose reports whether a client's connection may be closed for the given reason with the given number of unanswered
// requests. clientAtFault is true if the client itself is the reason: it does not read, or sends input that cannot be
// accepted.
func (g *Guard) CheckClose(reason string, unanswered int, clientAtFault bool) bool {
	if unanswered > 0 && !clientAtFault {
		return g.violated(ClosedUnanswered, "why", reason, "owed", unanswered)
	}
	return true
}

// CheckAccept reports whether a request may be accepted.
func (g *Guard) CheckAccept(id string) bool {
	if g.ended {
		return g.violated(AcceptedAfterShutdown, "id", id)
	}
	return true
}

// CheckShutdown records that the process ends its service, and reports whether no request is unanswered.
func (g *Guard) CheckShutdown(unanswered int) bool {
	g.ended = true
	if unanswered > 0 {
		return g.violated(ShutdownUnanswered, "requests", unanswered)
	}
	return true
}
