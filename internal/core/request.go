package core

import (
	"encoding/binary"
	"math"

	"beechgrade"
	"beechgrade/internal/backend"
	"beechgrade/internal/clock"
	"beechgrade/internal/front"
	"beechgrade/internal/invariant"
	"beechgrade/internal/slots"
)

// request is one that a client asked; it stays until it is over and its attempts have ended.
type request struct {
	id     string
	once   bool // it must not run twice
	client front.Client
	query  backend.Query
	due    float64
	tries  []try // by number
	open   int
	over   bool

	answered bool
	ranAt    float64 // the first attempt that may have run was written then, 0 for none

	// told in the log where it ends badly
	class, group int
	arrived      float64
	repeat       bool
	why          string // the module's reason for a refusal or failure
}

// try is an attempt; one that was skipped has no ref.
type try struct {
	server beechgrade.ServerID
	ref    slots.Ref
	began  float64
	waited float64 // for a connection
	sent   float64 // 0 until it is about to be written
	ended  float64 // 0 while it is out
	result beechgrade.Result
}

// BeforeSend implements backend.Events. A request whose client has gone is over at once.
func (c *Core) BeforeSend(t backend.AttemptID, until float64) (tellMs int, ok bool) {
	q, ok := c.requests.Get(t.Request)
	if !ok {
		return 0, false
	}
	if !q.over && !q.client.Connected() {
		c.Abandon(t.Request, "peer, seen at the send")
		return 0, false
	}
	class, now := &c.cfg.Settings.Classes[q.class], c.loop.Now()
	if now >= q.due { // the process was held up since that was looked at
		return 0, false
	}
	tellMs = int(max(1, math.Floor(until-now)))
	if !c.guard.CheckSend(invariant.Attempt{ID: q.id, Effect: class.Effect, RequestEnded: q.over, InFlight: q.out(),
		MayDuplicate: c.cfg.Settings.MayDuplicate, FirstRunAt: q.ranAt, DedupWindowMs: clock.Milliseconds(class.DedupWindow),
		Now: now, Deadline: q.due, TimeoutMs: float64(tellMs)}) {
		return 0, false
	}
	q.tries[t.Number].sent = now
	return tellMs, true
}

// out is the number of attempts that were written and have not ended.
func (q *request) out() int {
	n := 0
	for i := range q.tries {
		if y := &q.tries[i]; y.sent > 0 && y.ended == 0 {
			n++
		}
	}
	return n
}

// mayHaveRun tells whether an attempt that was written and ended so may have had an effect.
func mayHaveRun(r beechgrade.Result) bool {
	switch r {
	case beechgrade.OK, beechgrade.Failed, beechgrade.TimedOut, beechgrade.Reset, beechgrade.Cancelled:
		return true
	}
	return false
}

// conclude marks a request over, by a final answer of the router's, and returns it, or nil if it was over before.
func (c *Core) conclude(a *beechgrade.Action) *request {
	ref := refOf(a.ID)
	q, ok := c.requests.Get(ref)
	if !ok || q.over || !c.guard.CheckAnswer(q.id, q.answered) {
		return nil
	}
	q.over, q.answered, q.why = true, true, a.Text
	c.release(ref, q)
	return q
}

// release takes back what of a request that is over has not been sent, whether or not the settings allow attempts to be
// called off, and frees its slot once nothing is left of it.
func (c *Core) release(ref slots.Ref, q *request) {
	if !q.over {
		return
	}
	for i := range q.tries {
		c.servers.CancelUnsentAttempt(q.tries[i].ref)
	}
	if _, ok := c.requests.Get(ref); ok && q.open == 0 { // the last one taken back has led here already
		c.requests.Delete(ref)
		delete(c.ids, q.id)
	}
}

// send starts a request's next attempt, or skips it where the wire's rules let it not be sent.
func (c *Core) send(a *beechgrade.Action) {
	ref := refOf(a.ID)
	q, ok := c.requests.Get(ref)
	if !ok {
		return
	}
	no, until := len(q.tries), q.due
	if a.Wait != 0 {
		until = min(until, c.loop.Now()+clock.Milliseconds(a.Wait))
	}
	q.tries = append(q.tries, try{server: a.Server, began: c.loop.Now()})
	if q.over || no >= c.cfg.Settings.MaxAttempts || q.due <= c.loop.Now() {
		c.tell(&beechgrade.Outcome{ID: a.ID, Attempt: no, Server: a.Server, Result: beechgrade.Skipped, Final: q.over})
		return
	}
	q.open++
	at := c.servers.StartAttempt(string(a.Server), q.query, until, clock.Milliseconds(a.SendDeadline), q.once,
		backend.AttemptID{Request: ref, Number: no})
	q.tries[no].ref = at
}

// requestID names a request to the router by its slot: clients' own ids might meet.
func requestID(r slots.Ref) beechgrade.RequestID {
	var b [8]byte
	binary.BigEndian.PutUint32(b[:4], r.Index)
	binary.BigEndian.PutUint32(b[4:], r.Generation)
	return beechgrade.RequestID(b[:])
}

func refOf(id beechgrade.RequestID) slots.Ref {
	if len(id) != 8 {
		return slots.Ref{}
	}
	b := []byte(id)
	return slots.Ref{Index: binary.BigEndian.Uint32(b[:4]), Generation: binary.BigEndian.Uint32(b[4:])}
}
