// Package emulator emulates everything around real poolers on the loopback network: db servers, discovery, clients, and the
// operator who restarts the processes. It runs each pooler as a process of its own, injects faults by a plan drawn from a
// seed, records each request from its first byte to its last in a ledger, and checks the run against invariants. It shares no
// decision code with the pooler.
package emulator

import (
	"fmt"
	"sync"
	"time"
)

// Rule names an invariant that a run is checked against.
type Rule string

// The rules.
const (
	// RuleLost is broken if a request ends as Unanswered: it has no complete final answer, and nothing excuses that.
	RuleLost Rule = "lost"
	// RuleLate is broken if an answer arrives after the time that LatestAnswer returns, which is answerGrace after the deadline
	// unless something excuses the delay.
	RuleLate Rule = "late"
	// RuleWrong is broken if a request is answered with a value that belongs to another one, or if a server receives an
	// unknown request or a malformed statement.
	RuleWrong Rule = "wrong"
	// RuleDuplicate is broken if servers execute a request more than once that may run at most once.
	RuleDuplicate Rule = "duplicate"
	// RuleRefusedWrite is broken if a write runs although its client was told that it did not.
	RuleRefusedWrite Rule = "refused"
	// RuleOverlap is broken if two attempts of one request are in flight at once for longer than timingTolerance.
	RuleOverlap Rule = "overlap"
	// RuleExcessTimeout is broken if the time-out sent to a server exceeds the time that the client has left by more than
	// timeoutGrace.
	RuleExcessTimeout Rule = "told"
	// RuleAfterDisconnect is broken if an attempt begins more than disconnectGrace after the request's client disconnected.
	RuleAfterDisconnect Rule = "gone"
	// RuleAfterAnswer is broken if an attempt begins after its request was answered.
	RuleAfterAnswer Rule = "over"
	// RuleDrain is broken if an attempt begins at a server more than drainGrace after its drain counts as known, unless the
	// pooler was impaired meanwhile.
	RuleDrain Rule = "drain"
	// RuleCrash is broken if a pooler exits without having been sent SIGTERM or SIGKILL, or with an error after SIGTERM.
	RuleCrash Rule = "crash"
	// RuleReady is broken if a pooler can't be restarted, exits during its start, or is not ready within readyTimeout.
	RuleReady Rule = "ready"
	// RuleInvariant is broken if the pooler's own checks log a violation, or if it ends with a panic or a fatal error of Go's
	// runtime.
	RuleInvariant Rule = "invariant"
	// RulePartialRequest is broken if the connection of a client that stops halfway through a request is still open after
	// partialRequestGrace, unless the pooler was impaired or killed.
	RulePartialRequest Rule = "bad_client"
)

// Limits and tolerances of the rules.
const (
	// answerGrace is how long after its deadline an answer may still arrive. Within that time a late answer has no value, but it
	// breaks no rule.
	answerGrace = 500 * time.Millisecond
	// disconnectGrace is how long attempts may still begin after the request's client has disconnected.
	disconnectGrace = 100 * time.Millisecond
	// timeoutGrace is how much the time-out sent to a server may exceed the time that the client has left.
	timeoutGrace = 150 * time.Millisecond
	// drainGrace is how long attempts may still begin at a server after its drain counts as known.
	drainGrace = 2 * time.Second
	// propagationTime is the time after which a change in discovery counts as known to every pooler. It runs from the change
	// or, if discovery is down at that moment, from the end of the outage.
	propagationTime = 6 * time.Second
	// timingTolerance covers the inaccuracy of this process's own time measurements.
	timingTolerance = 60 * time.Millisecond
	// partialRequestGrace is the time within which a pooler must end the connection of a client that stopped halfway through a
	// request.
	partialRequestGrace = 3 * time.Second
	// readyTimeout is the time within which a started pooler must answer.
	readyTimeout = 10 * time.Second
	// killAfter is the time after SIGTERM at which a pooler may be killed: the longest deadline and 0.7 s.
	killAfter = 3700 * time.Millisecond
)

// Violation is one broken rule.
type Violation struct {
	At   float64 `json:"at_s"` // seconds since the run began
	Rule Rule    `json:"rule"`
	Text string  `json:"text"`
}

// Outcome is how a request ended for its client.
type Outcome string

// The outcomes.
const (
	// Open means that the request has not ended yet.
	Open Outcome = "open"
	// Served means that the request was answered with a row.
	Served Outcome = "served"
	// Refused means that the answer was an error which says that the request has not run.
	Refused Outcome = "refused"
	// Failed means that the answer was any other error.
	Failed Outcome = "failed"
	// Disconnected means that the client disconnected without waiting for the answer.
	Disconnected Outcome = "left"
	// PoolerKilled means that the pooler was killed before it answered: either without SIGTERM, or after SIGTERM, where the
	// request was sent less than 2*timingTolerance before the kill or the pooler was impaired between the two.
	PoolerKilled Outcome = "void"
	// CloseRace means that no server received the request, and that the pooler was impaired or closed the connection within
	// timingTolerance after the request was sent. A close of a new connection counts only after SIGTERM.
	CloseRace Outcome = "crossed"
	// PoolerDown means that the pooler had exited, or was about to, when the request was sent, and that no server received it.
	PoolerDown Outcome = "unserved"
	// Unanswered means that the request has no complete answer, and that none of the reasons above excuses it. This breaks
	// RuleLost.
	Unanswered Outcome = "abandoned"
)

// Request is one request in the ledger.
type Request struct {
	ID       string
	Class    Class
	Pooler   string
	Sent     time.Time // just before it was written
	Deadline time.Time
	Ended    time.Time
	Outcome  Outcome
	Note     string   // describes an end without an answer
	previous *Request // sent before it on the same connection; answers come in that order

	attempts []*Attempt
}

// Attempt is one arrival of a request at a server.
type Attempt struct {
	request  *Request
	server   string
	arrived  time.Time
	ended    time.Time // when it was answered, or its connection closed
	executed bool      // whether the server ran it instead of rejecting it
}

// interval is a period in which a pooler is impaired: its system calls fail, it lacks file descriptors, or strace may pause its
// process.
type interval struct{ from, to time.Time }

// Ledger records the requests, attempts and violations of one run. Its methods may be called from any goroutine.
type Ledger struct {
	began time.Time

	mu         sync.Mutex
	requests   map[string]*Request
	outcomes   map[Outcome]int
	violations []Violation
	impaired   map[string][]interval // by pooler name
	attempts   int                   // attempts received by servers, including those of unknown requests
}

// NewLedger returns an empty ledger, whose run begins now.
func NewLedger() *Ledger {
	return &Ledger{began: time.Now(), requests: map[string]*Request{}, outcomes: map[Outcome]int{},
		impaired: map[string][]interval{}}
}

// AddViolation records that a rule was broken.
func (l *Ledger) AddViolation(rule Rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(rule, format, args...)
}

func (l *Ledger) addViolation(rule Rule, format string, args ...any) {
	l.violations = append(l.violations, Violation{At: time.Since(l.began).Seconds(), Rule: rule,
		Text: fmt.Sprintf(format, args...)})
}

// MarkImpaired records that a pooler is impaired from now on for the duration d.
func (l *Ledger) MarkImpaired(pooler string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.impaired[pooler] = append(l.impaired[pooler], interval{now, now.Add(d)})
}

// impairedUntil returns the latest end of the intervals of impairment that overlap the given period, or the zero time.
func (l *Ledger) impairedUntil(pooler string, from, to time.Time) time.Time {
	var until time.Time
	for _, period := range l.impaired[pooler] {
		if period.from.Before(to) && period.to.After(from) && period.to.After(until) {
			until = period.to
		}
	}
	return until
}

// WasImpaired reports whether the pooler was impaired at any time between from and to.
func (l *Ledger) WasImpaired(pooler string, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.impairedUntil(pooler, from, to).IsZero()
}

// Begin records a request that is about to be sent.
func (l *Ledger) Begin(r *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Outcome = Open
	r.Sent = time.Now()
	r.Deadline = r.Sent.Add(r.Class.Deadline)
	l.requests[r.ID] = r
}

// LatestAnswer returns the time by which the request must be answered: answerGrace after its deadline. It is later if the
// request before it on the connection may take longer, and at least answerGrace after the end of an impairment of its pooler.
// timingTolerance is added.
func (l *Ledger) LatestAnswer(r *Request) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latestAnswer(r)
}

func (l *Ledger) latestAnswer(r *Request) time.Time {
	latest := r.Deadline.Add(answerGrace)
	if r.previous != nil {
		if previous := l.latestAnswer(r.previous); previous.After(latest) {
			latest = previous
		}
	}
	if until := l.impairedUntil(r.Pooler, r.Sent, latest); !until.IsZero() && until.Add(answerGrace).After(latest) {
		latest = until.Add(answerGrace)
	}
	return latest.Add(timingTolerance)
}

// End sets the outcome of a request and checks it. Further calls for the same request do nothing.
func (l *Ledger) End(request *Request, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request.Outcome != Open {
		return
	}
	request.Outcome, request.Ended = outcome, time.Now()
	l.outcomes[outcome]++
	switch outcome {
	case Served, Refused, Failed:
		if latest := l.latestAnswer(request); request.Ended.After(latest) {
			l.addViolation(RuleLate, "%s of %s at %s: %s %v after its deadline", request.ID, request.Class.Name, request.Pooler,
				outcome, request.Ended.Sub(request.Deadline))
		}
	case Unanswered:
		l.addViolation(RuleLost, "%s of %s at %s, sent at %.3f: no complete answer; %s; %s", request.ID, request.Class.Name,
			request.Pooler, request.Sent.Sub(l.began).Seconds(), request.Note, request.describeAttempts(l.began))
	}
	if outcome == Refused && request.Class.AtMostOnce && request.executed() {
		l.addViolation(RuleRefusedWrite, "%s of %s at %s: refused after it ran; %s", request.ID, request.Class.Name,
			request.Pooler, request.describeAttempts(l.began))
	}
}

func (r *Request) executed() bool {
	for _, a := range r.attempts {
		if a.executed {
			return true
		}
	}
	return false
}

// Forwarded reports whether the request has reached a server.
func (l *Ledger) Forwarded(r *Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(r.attempts) > 0
}

func (r *Request) describeAttempts(began time.Time) string {
	text := "attempts:"
	for _, a := range r.attempts {
		text += fmt.Sprintf(" %s@%.3f", a.server, a.arrived.Sub(began).Seconds())
		if !a.ended.IsZero() {
			text += fmt.Sprintf("-%.3f", a.ended.Sub(began).Seconds())
		}
	}
	return text
}

// BeginAttempt records and checks an attempt that a server has received completely, with the time-out sent along. It returns
// nil if no client sent the request.
func (l *Ledger) BeginAttempt(id, server string, timeout time.Duration, rejected bool) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	now := time.Now()
	request := l.requests[id]
	if request == nil {
		l.addViolation(RuleWrong, "server %s received request %q, which no client sent", server, id)
		return nil
	}
	attempt := &Attempt{request: request, server: server, arrived: now, executed: !rejected}
	l.checkAttempt(request, attempt, timeout)
	for _, earlier := range request.attempts {
		l.checkOverlap(request, earlier, attempt)
	}
	request.attempts = append(request.attempts, attempt)
	return attempt
}

// checkAttempt checks an attempt against its request.
func (l *Ledger) checkAttempt(request *Request, attempt *Attempt, timeout time.Duration) {
	where := fmt.Sprintf("%s of %s at %s, to %s", request.ID, request.Class.Name, request.Pooler, attempt.server)
	if left := request.Deadline.Sub(attempt.arrived); timeout > left+timeoutGrace+timingTolerance {
		l.addViolation(RuleExcessTimeout, "%s: time-out of %v, with %v left", where, timeout, left)
	}
	if request.Outcome == Disconnected && attempt.arrived.After(request.Ended.Add(disconnectGrace+timingTolerance)) {
		l.addViolation(RuleAfterDisconnect, "%s: %v after its client disconnected", where, attempt.arrived.Sub(request.Ended))
	}
	if answered := request.Outcome == Served || request.Outcome == Refused || request.Outcome == Failed; answered &&
		attempt.arrived.After(request.Ended.Add(timingTolerance)) {
		l.addViolation(RuleAfterAnswer, "%s: %v after its answer", where, attempt.arrived.Sub(request.Ended))
	}
	if attempt.executed && request.Class.AtMostOnce && request.executed() {
		l.addViolation(RuleDuplicate, "%s: it may have run already; %s", where, request.describeAttempts(l.began))
	}
	if attempt.executed && request.Class.AtMostOnce && request.Outcome == Refused {
		l.addViolation(RuleRefusedWrite, "%s: executed after it was refused", where)
	}
}

// checkOverlap checks that the earlier attempt had ended when the later one arrived. It does so after a delay, since the close
// of the earlier attempt's connection may be noticed late.
func (l *Ledger) checkOverlap(request *Request, earlier, later *Attempt) {
	time.AfterFunc(2*timingTolerance, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if earlier.ended.IsZero() || earlier.ended.After(later.arrived.Add(timingTolerance)) {
			l.addViolation(RuleOverlap, "%s of %s at %s: in flight at %s and %s; %s", request.ID, request.Class.Name, request.Pooler,
				earlier.server, later.server, request.describeAttempts(l.began))
		}
	})
}

// EndAttempt records that an attempt was answered, or that its connection was closed.
func (l *Ledger) EndAttempt(a *Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a != nil && a.ended.IsZero() {
		a.ended = time.Now()
	}
}

// InFlight reports whether an attempt has arrived and not ended.
func (l *Ledger) InFlight(a *Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a != nil && a.ended.IsZero()
}
