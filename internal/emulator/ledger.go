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
	// RuleLost is broken if a request that a pooler accepted has no complete final answer.
	RuleLost Rule = "lost"
	// RuleLate is broken if an answer arrives more than answerGrace after its deadline.
	RuleLate Rule = "late"
	// RuleWrong is broken if a request is answered with a value that belongs to another one, or if a server receives an
	// unknown request or a malformed statement.
	RuleWrong Rule = "wrong"
	// RuleDuplicate is broken if a request that may run at most once may have run twice.
	RuleDuplicate Rule = "duplicate"
	// RuleRefusedWrite is broken if a write runs although its client was told that it did not.
	RuleRefusedWrite Rule = "refused"
	// RuleOverlap is broken if two attempts of one request are in flight at once.
	RuleOverlap Rule = "overlap"
	// RuleExcessTimeout is broken if the time-out sent to a server exceeds the time that the client has left.
	RuleExcessTimeout Rule = "told"
	// RuleAfterDisconnect is broken if an attempt begins more than disconnectGrace after the request's client disconnected.
	RuleAfterDisconnect Rule = "gone"
	// RuleAfterAnswer is broken if an attempt begins after its request was answered.
	RuleAfterAnswer Rule = "over"
	// RuleDrain is broken if an attempt begins at a server more than drainGrace after its drain counts as known.
	RuleDrain Rule = "drain"
	// RuleCrash is broken if a pooler exits without having been sent SIGTERM or SIGKILL, or with an error after SIGTERM.
	RuleCrash Rule = "crash"
	// RuleReady is broken if a restarted pooler is not ready within readyTimeout.
	RuleReady Rule = "ready"
	// RuleInvariant is broken if the pooler's own checks log a violation, or if it panics.
	RuleInvariant Rule = "invariant"
	// RulePartialRequest is broken if a client that stops halfway through a request gets neither an error nor a close.
	RulePartialRequest Rule = "bad_client"
)

// Limits and tolerances of the rules.
const (
	// answerGrace is how long after its deadline an answer may still arrive. Within that time a late answer is worthless, but
	// it breaks no rule.
	answerGrace = 500 * time.Millisecond
	// disconnectGrace is how long attempts may still begin after the request's client has disconnected.
	disconnectGrace = 100 * time.Millisecond
	// timeoutGrace is how much the time-out sent to a server may exceed the time that the client has left.
	timeoutGrace = 150 * time.Millisecond
	// drainGrace is how long attempts may still begin at a server after its drain counts as known.
	drainGrace = 2 * time.Second
	// propagationTime is the time after which a change in discovery counts as known to every pooler. It runs from the change,
	// or from the moment at which discovery can be reached again if that is later.
	propagationTime = 6 * time.Second
	// timingTolerance covers the inaccuracy of this process's own time measurements.
	timingTolerance = 60 * time.Millisecond
	// partialRequestGrace is the time within which a pooler must end the connection of a client that stopped halfway through a
	// request.
	partialRequestGrace = 3 * time.Second
	// readyTimeout is the time within which a started pooler must answer.
	readyTimeout = 10 * time.Second
	// killAfter is the time between SIGTERM and SIGKILL: the longest deadline and 0.7 s.
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
	// Disconnected means that the client disconnected before the answer.
	Disconnected Outcome = "left"
	// PoolerKilled means that the pooler was killed without warning, or that it was killed after SIGTERM and had too little
	// time for the request, or was impaired.
	PoolerKilled Outcome = "void"
	// CloseRace means that the pooler closed the connection while the request was being sent, and no server received the
	// request.
	CloseRace Outcome = "crossed"
	// PoolerDown means that the pooler had exited, so that the request was never received.
	PoolerDown Outcome = "unserved"
	// Unanswered means that the request was accepted and never answered, which breaks RuleLost.
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
	attempts   int
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
	for _, s := range l.impaired[pooler] {
		if s.from.Before(to) && s.to.After(from) && s.to.After(until) {
			until = s.to
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

// LatestAnswer returns the time by which the request must be answered: answerGrace after its deadline, or later if the request
// before it on the connection may take longer or if its pooler was impaired.
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
func (l *Ledger) End(r *Request, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Outcome != Open {
		return
	}
	r.Outcome, r.Ended = o, time.Now()
	l.outcomes[o]++
	switch o {
	case Served, Refused, Failed:
		if latest := l.latestAnswer(r); r.Ended.After(latest) {
			l.addViolation(RuleLate, "%s of %s at %s: %s %v after its deadline", r.ID, r.Class.Name, r.Pooler, o,
				r.Ended.Sub(r.Deadline))
		}
	case Unanswered:
		l.addViolation(RuleLost, "%s of %s at %s, sent at %.3f: no complete answer; %s; %s", r.ID, r.Class.Name, r.Pooler,
			r.Sent.Sub(l.began).Seconds(), r.Note, r.describeAttempts(l.began))
	}
	if o == Refused && r.Class.AtMostOnce && r.executed() {
		l.addViolation(RuleRefusedWrite, "%s of %s at %s: refused after it ran; %s", r.ID, r.Class.Name, r.Pooler,
			r.describeAttempts(l.began))
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

// BeginAttempt records an attempt that a server has received completely, with the time-out sent along. It returns nil if no
// client sent the request.
func (l *Ledger) BeginAttempt(id, server string, timeout time.Duration, rejected bool) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	now := time.Now()
	r := l.requests[id]
	if r == nil {
		l.addViolation(RuleWrong, "server %s received request %q, which no client sent", server, id)
		return nil
	}
	a := &Attempt{request: r, server: server, arrived: now, executed: !rejected}
	l.checkAttempt(r, a, timeout)
	for _, earlier := range r.attempts {
		l.checkOverlap(r, earlier, a)
	}
	r.attempts = append(r.attempts, a)
	return a
}

// checkAttempt checks an attempt against its request.
func (l *Ledger) checkAttempt(r *Request, a *Attempt, timeout time.Duration) {
	where := fmt.Sprintf("%s of %s at %s, to %s", r.ID, r.Class.Name, r.Pooler, a.server)
	if left := r.Deadline.Sub(a.arrived); timeout > left+timeoutGrace+timingTolerance {
		l.addViolation(RuleExcessTimeout, "%s: time-out of %v, with %v left", where, timeout, left)
	}
	if r.Outcome == Disconnected && a.arrived.After(r.Ended.Add(disconnectGrace+timingTolerance)) {
		l.addViolation(RuleAfterDisconnect, "%s: %v after its client disconnected", where, a.arrived.Sub(r.Ended))
	}
	if answered := r.Outcome == Served || r.Outcome == Refused || r.Outcome == Failed; answered &&
		a.arrived.After(r.Ended.Add(timingTolerance)) {
		l.addViolation(RuleAfterAnswer, "%s: %v after its answer", where, a.arrived.Sub(r.Ended))
	}
	if a.executed && r.Class.AtMostOnce && r.executed() {
		l.addViolation(RuleDuplicate, "%s: it may have run already; %s", where, r.describeAttempts(l.began))
	}
	if a.executed && r.Class.AtMostOnce && r.Outcome == Refused {
		l.addViolation(RuleRefusedWrite, "%s: executed after it was refused", where)
	}
}

// checkOverlap checks that an earlier attempt had ended when the attempt a arrived. It does so after a delay, since the close
// of the earlier attempt's connection may be noticed later.
func (l *Ledger) checkOverlap(r *Request, earlier, a *Attempt) {
	time.AfterFunc(2*timingTolerance, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if earlier.ended.IsZero() || earlier.ended.After(a.arrived.Add(timingTolerance)) {
			l.addViolation(RuleOverlap, "%s of %s at %s: in flight at %s and %s", r.ID, r.Class.Name, r.Pooler,
				earlier.server, a.server)
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
