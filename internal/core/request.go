package core

import (
	"encoding/binary"
	"math"

	"beechgrade"
	"beechgrade/internal/backend"
	"beechgrade/internal/clock"
	"beechgrade/internal/front"
	"beechgrade/internal/invariant"
	"beechgrade/internal/metrics"
	"beechgrade/internal/slots"
)

// request is a client's request. It stays in the table until it and all its attempts have ended.
// Times are in milliseconds on the loop's clock.
type request struct {
	id           string
	atMostOnce   bool // its class is not Safe: it must not take effect twice
	client       front.Client
	query        backend.Query
	deadline     float64
	attempts     []attempt // indexed by attempt number
	openAttempts int       // started attempts that have not ended
	ended        bool      // it has its final answer, or was abandoned

	answered bool // it has its final answer

	// recordEnd logs these fields.
	class, group int
	arrivedAt    float64
	retry        bool
	reason       string // why it was refused, failed or abandoned
}

// attempt is one attempt of a request. Times are in milliseconds on the loop's clock.
type attempt struct {
	server    beechgrade.ServerID
	ref       slots.Ref // zero if it was skipped before it started
	startedAt float64
	waitedMs  float64 // time that it waited for a connection
	sentAt    float64 // 0 until it is about to be written
	endedAt   float64 // 0 until it has ended
	result    beechgrade.Result
}

// unsentReason is why an attempt may not be sent, as a key of metrics.Unsent. It is empty if the attempt may be sent.
type unsentReason string

const (
	unsentClientGone     unsentReason = "client_gone"     // the client has disconnected
	unsentDeadline       unsentReason = "deadline"        // the request's deadline has passed
	unsentServerUnsuited unsentReason = "server_unsuited" // the server no longer suits the request
	unsentInvariant      unsentReason = "invariant"       // an invariant forbids it
)

// BeforeSend implements backend.Events. It abandons a request whose client has disconnected, and allows an attempt only if its
// server still suits the request and no invariant forbids it.
func (c *Core) BeforeSend(id backend.AttemptID, timeoutAt float64) (timeLimitMs int, ok bool) {
	req, ok := c.requests.Get(id.Request)
	if !ok {
		return 0, false
	}
	timeLimitMs, reason := c.checkSend(req, id, timeoutAt)
	if reason != "" {
		c.loop.Metrics().Add(metrics.Unsent, string(reason))
		if reason == unsentClientGone {
			c.Abandon(id.Request, "peer, seen at the send")
		}
		return 0, false
	}
	return timeLimitMs, true
}

// checkSend returns the time limit of an attempt that is about to be sent, in milliseconds, or the reason why it may not be
// sent.
func (c *Core) checkSend(req *request, id backend.AttemptID, timeoutAt float64) (timeLimitMs int,
	reason unsentReason) {
	if !req.ended && !req.client.Connected() {
		return 0, unsentClientGone
	}
	class, now := &c.cfg.Settings.Classes[req.class], c.loop.Now()
	if now >= req.deadline { // the process may have been paused since the deadline was last checked
		return 0, unsentDeadline
	}
	timeLimitMs = int(max(1, math.Floor(timeoutAt-now)))
	if !c.guard.CheckSend(invariant.Attempt{ID: req.id, Effect: class.Effect, RequestEnded: req.ended,
		InFlight: req.inFlight(), MayDuplicate: c.cfg.Settings.MayDuplicate, FirstRunAt: req.firstRunAt(),
		DedupWindowMs: clock.Milliseconds(class.DedupWindow), Now: now, Deadline: req.deadline,
		TimeLimitMs: float64(timeLimitMs)}) {
		return 0, unsentInvariant
	}
	if !c.router.AllowsSend(clock.Duration(now), requestID(id.Request), id.Number) {
		return 0, unsentServerUnsuited
	}
	req.attempts[id.Number].sentAt = now
	return timeLimitMs, ""
}

// inFlight returns the number of attempts that were written and have not ended.
func (req *request) inFlight() int {
	n := 0
	for i := range req.attempts {
		if a := &req.attempts[i]; a.sentAt > 0 && a.endedAt == 0 {
			n++
		}
	}
	return n
}

// firstRunAt returns when the first attempt that may have run was written, or 0 if there is none. One that is in flight may
// have run.
func (req *request) firstRunAt() float64 {
	first := 0.0
	for i := range req.attempts {
		a := &req.attempts[i]
		if a.sentAt > 0 && (a.endedAt == 0 || mayHaveRun(a.result)) && (first == 0 || a.sentAt < first) {
			first = a.sentAt
		}
	}
	return first
}

// mayHaveRun reports whether an attempt that was written and ended with r may have had an effect.
func mayHaveRun(r beechgrade.Result) bool {
	switch r {
	case beechgrade.OK, beechgrade.Failed, beechgrade.TimedOut, beechgrade.Reset, beechgrade.Cancelled:
		return true
	}
	return false
}

// finish ends a request with a final answer of the router and returns it, or nil if it had already ended.
func (c *Core) finish(action *beechgrade.Action) *request {
	ref := requestRef(action.ID)
	req, ok := c.requests.Get(ref)
	if !ok || req.ended || !c.guard.CheckAnswer(req.id, req.answered) {
		return nil
	}
	req.ended, req.answered, req.reason = true, true, action.Text
	c.release(ref, req)
	return req
}

// release cancels the unsent attempts of a request that has ended, even if the settings do not allow attempts in flight to
// be cancelled, and frees the request's slot and ID once all its attempts have ended.
func (c *Core) release(ref slots.Ref, req *request) {
	if !req.ended {
		return
	}
	for i := range req.attempts {
		c.servers.CancelUnsentAttempt(req.attempts[i].ref)
	}
	// Cancelling the last open attempt calls release again through AttemptEnded, so the slot may already be free.
	if _, ok := c.requests.Get(ref); ok && req.openAttempts == 0 {
		c.requests.Delete(ref)
		delete(c.openIDs, req.id)
	}
}

// startAttempt starts a request's next attempt. It skips the attempt if the request has ended, has used all its attempts
// or has reached its deadline.
func (c *Core) startAttempt(action *beechgrade.Action) {
	ref := requestRef(action.ID)
	req, ok := c.requests.Get(ref)
	if !ok {
		return
	}
	number, timeoutAt := len(req.attempts), req.deadline
	if action.Wait != 0 {
		timeoutAt = min(timeoutAt, c.loop.Now()+clock.Milliseconds(action.Wait))
	}
	req.attempts = append(req.attempts, attempt{server: action.Server, startedAt: c.loop.Now()})
	if req.ended || number >= c.cfg.Settings.MaxAttempts || req.deadline <= c.loop.Now() {
		c.deliver(&beechgrade.Outcome{ID: action.ID, Attempt: number, Server: action.Server, Result: beechgrade.Skipped,
			Final: req.ended})
		return
	}
	req.openAttempts++
	attemptRef := c.servers.StartAttempt(string(action.Server), req.query, timeoutAt, clock.Milliseconds(action.SendDeadline),
		req.atMostOnce, backend.AttemptID{Request: ref, Number: number})
	req.attempts[number].ref = attemptRef
}

// attemptOf returns the attempt that an action names, or nil if it is unknown or its request has been released.
func (c *Core) attemptOf(action *beechgrade.Action) *attempt {
	req, ok := c.requests.Get(requestRef(action.ID))
	if !ok || action.Attempt < 0 || action.Attempt >= len(req.attempts) {
		return nil
	}
	return &req.attempts[action.Attempt]
}

// requestID returns the ID by which the router knows the request in a slot. The IDs that clients choose could collide.
func requestID(ref slots.Ref) beechgrade.RequestID {
	var b [8]byte
	binary.BigEndian.PutUint32(b[:4], ref.Index)
	binary.BigEndian.PutUint32(b[4:], ref.Generation)
	return beechgrade.RequestID(b[:])
}

// requestRef returns the slot of the request with the given ID: the inverse of requestID.
func requestRef(id beechgrade.RequestID) slots.Ref {
	if len(id) != 8 {
		return slots.Ref{}
	}
	b := []byte(id)
	return slots.Ref{Index: binary.BigEndian.Uint32(b[:4]), Generation: binary.BigEndian.Uint32(b[4:])}
}
