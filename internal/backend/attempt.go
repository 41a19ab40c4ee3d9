package backend

import (
	"math"

	"beechgrade"
	"beechgrade/internal/deadline"
	"beechgrade/internal/slots"
)

// AttemptID identifies an attempt of a request.
type AttemptID struct {
	Request slots.Ref
	Number  int
}

// Outcome is how an attempt or probe ended, with what its answer told.
type Outcome struct {
	Result      beechgrade.Result
	Answer      []byte // OK: the row as messages, valid during the call
	Role        beechgrade.Role
	Position    float64 // on the clock, where HasPosition
	HasPosition bool
	WaitedMs    float64 // time that it waited for a connection, in milliseconds
}

// attempt is a request's attempt, or a probe where query is nil.
type attempt struct {
	ref     slots.Ref
	tag     AttemptID
	id      string  // of the server
	server  *server // nil if it is not known
	query   Query
	until   float64
	by      float64 // it may not be sent then or later
	began   float64
	written float64 // 0 until it has a connection
	conn    *conn
	timer   *deadline.Timer // its end
	connect *deadline.Timer // the end of its wait for a connection
	once    bool            // it must not run twice
}

// StartAttempt starts an attempt that times out at until, and is not sent at by or later. An attempt that must not run twice
// is not sent on a connection that would probably lose it.
func (p *Pool) StartAttempt(id string, q Query, until, by float64, once bool, t AttemptID) slots.Ref {
	a := &attempt{tag: t, id: id, query: q, until: until, by: by, began: p.loop.Now(), once: once, server: p.servers[id]}
	a.ref = p.attempts.Put(a)
	p.begin(a)
	return a.ref
}

// Probe asks a server for its load report.
func (p *Pool) Probe(id string) {
	a := &attempt{id: id, until: p.loop.Now() + p.opt.ConnectTimeoutMs, by: math.Inf(1), server: p.servers[id]}
	a.ref = p.attempts.Put(a)
	p.begin(a)
}

// CancelAttempt cancels an attempt. If its query has been sent, its connection is closed and never used again.
func (p *Pool) CancelAttempt(ref slots.Ref) {
	if a, ok := p.attempts.Get(ref); ok {
		p.drop(a, beechgrade.Cancelled)
	}
}

// CancelUnsentAttempt cancels an attempt that still waits for a connection. One that has been sent stays in flight.
func (p *Pool) CancelUnsentAttempt(ref slots.Ref) {
	if a, ok := p.attempts.Get(ref); ok && a.conn == nil {
		p.drop(a, beechgrade.Skipped)
	}
}

func (p *Pool) begin(a *attempt) {
	s := a.server
	if s == nil {
		p.end(a, Outcome{Result: beechgrade.Unreachable})
		return
	}
	a.timer = p.loop.At(a.until, func() { p.drop(a, beechgrade.TimedOut) })
	a.connect = p.loop.At(min(a.by, p.loop.Now()+p.opt.ConnectTimeoutMs), func() {
		if s.dialing == 0 || p.late(a) { // want of a descriptor, or of time, tells nothing of the server
			p.drop(a, beechgrade.Skipped)
			return
		}
		p.drop(a, beechgrade.Unreachable)
	})
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		// The server may have closed it, with the news still on its way through the loop: a request
		// written now would end as a reset, and an unsafe one could not be tried again.
		if !c.c.NoPendingInput() {
			c.c.Close(closeNotQuiet)
			continue
		}
		if a.once && p.loop.Now()-c.since >= p.wear.limit { // as far as can be told, it may be of no use
			break
		}
		p.send(c, a)
		return
	}
	s.waiting = append(s.waiting, a)
	if s.dialing < len(s.waiting) {
		p.dial(s)
	}
}

// send has a free connection carry an attempt, unless that may not be sent any more, and tells whether it does.
func (p *Pool) send(c *conn, a *attempt) bool {
	tellMs, ok := 0, true
	if a.query != nil {
		tellMs, ok = p.events.BeforeSend(a.tag, a.until)
	}
	if !ok {
		p.drop(a, beechgrade.Skipped)
		return false
	}
	c.carry(a, tellMs)
	return true
}

// late tells whether an attempt may not be sent any more.
func (p *Pool) late(a *attempt) bool { return p.loop.Now() >= min(a.by, a.until) }

// drop ends an attempt from this side.
func (p *Pool) drop(a *attempt, r beechgrade.Result) {
	c := a.conn
	if c == nil && a.query != nil && r != beechgrade.Unreachable && r != beechgrade.Overloaded {
		r = beechgrade.Skipped // it was never written
	}
	if c != nil {
		c.attempt, a.conn = nil, nil // before the close, which would report a reset...
		c.c.Close(closeGivenUp)      // ...and that before the end, which may have the request sent elsewhere at once
		p.end(a, Outcome{Result: r})
		return
	}
	p.unqueue(a)
	p.end(a, Outcome{Result: r})
}

func (p *Pool) unqueue(a *attempt) {
	w := a.server.waiting
	for i := range w {
		if w[i] == a {
			a.server.waiting = append(w[:i:i], w[i+1:]...)
			return
		}
	}
}

// end files an attempt out and reports it, once.
func (p *Pool) end(a *attempt, o Outcome) {
	if _, ok := p.attempts.Get(a.ref); !ok {
		return
	}
	p.attempts.Delete(a.ref)
	p.loop.StopTimer(a.timer)
	p.loop.StopTimer(a.connect)
	if a.conn != nil && a.conn.attempt == a {
		a.conn.attempt = nil
	}
	if a.query == nil {
		p.events.ProbeEnded(a.id, o)
		return
	}
	o.WaitedMs = p.loop.Now() - a.began
	if a.written > 0 {
		o.WaitedMs = a.written - a.began
	}
	p.events.AttemptEnded(a.tag, o)
}
