package backend

import (
	"math"
	"slices"

	"beechgrade"
	"beechgrade/internal/deadline"
	"beechgrade/internal/slots"
)

// AttemptID identifies an attempt of a request.
type AttemptID struct {
	Request slots.Ref
	Number  int
}

// Outcome is the end of an attempt or probe, with what its answer reported about the server.
type Outcome struct {
	Result      beechgrade.Result
	Answer      []byte // if Result is OK: the messages of the row, valid during the call
	Role        beechgrade.Role
	Position    float64 // a time in milliseconds; valid if HasPosition is true
	HasPosition bool
	WaitedMs    float64 // time spent waiting for a connection, in milliseconds
}

// attempt is an attempt of a request, or a probe if query is nil. All times are in milliseconds.
type attempt struct {
	ref          slots.Ref
	attemptID    AttemptID
	serverID     string
	server       *server // nil if the server is unknown
	query        Query
	timeoutAt    float64
	sendDeadline float64 // the attempt may not be sent at this time or later
	startedAt    float64
	writtenAt    float64 // 0 until the attempt has a connection
	conn         *conn
	timeoutTimer *deadline.Timer
	connectTimer *deadline.Timer // limits the wait for a connection
	atMostOnce   bool            // the request must not take effect twice
}

// StartAttempt starts an attempt that times out at timeoutAt and is not sent at sendDeadline or later. If atMostOnce is
// true, it is not sent on a connection that has probably expired while it was idle.
func (p *Pool) StartAttempt(serverID string, query Query, timeoutAt, sendDeadline float64, atMostOnce bool,
	id AttemptID) slots.Ref {
	a := &attempt{attemptID: id, serverID: serverID, query: query, timeoutAt: timeoutAt, sendDeadline: sendDeadline,
		startedAt: p.loop.Now(), atMostOnce: atMostOnce, server: p.servers[serverID]}
	a.ref = p.attempts.Put(a)
	p.start(a)
	return a.ref
}

// Probe requests the load report of a server.
func (p *Pool) Probe(serverID string) {
	a := &attempt{serverID: serverID, timeoutAt: p.loop.Now() + p.opt.ConnectTimeoutMs, sendDeadline: math.Inf(1),
		server: p.servers[serverID]}
	a.ref = p.attempts.Put(a)
	p.start(a)
}

// CancelAttempt cancels an attempt. If its query has been sent, its connection is closed and never used again.
func (p *Pool) CancelAttempt(ref slots.Ref) {
	if a, ok := p.attempts.Get(ref); ok {
		p.abort(a, beechgrade.Cancelled)
	}
}

// CancelUnsentAttempt cancels an attempt whose query has not been written completely, so that it cannot have run: it waits for
// a connection or for the socket. One that has been sent stays in flight.
func (p *Pool) CancelUnsentAttempt(ref slots.Ref) {
	if a, ok := p.attempts.Get(ref); ok && a.unsent() {
		p.abort(a, beechgrade.Skipped)
	}
}

// unsent reports whether some byte of the attempt's query has not been written to the socket.
func (a *attempt) unsent() bool { return a.conn == nil || a.conn.loopConn.UnsentBytes() > 0 }

func (p *Pool) start(a *attempt) {
	s := a.server
	if s == nil {
		p.finish(a, Outcome{Result: beechgrade.Unreachable})
		return
	}
	a.timeoutTimer = p.loop.At(a.timeoutAt, func() { p.abort(a, beechgrade.TimedOut) })
	a.connectTimer = p.loop.At(min(a.sendDeadline, p.loop.Now()+p.opt.ConnectTimeoutMs), func() {
		if s.dialing == 0 || p.expired(a) { // a lack of descriptors or of time is no evidence against the server
			p.abort(a, beechgrade.Skipped)
			return
		}
		p.abort(a, beechgrade.Unreachable)
	})
	s.waiting = append(s.waiting, a)
	p.serveWaiting(s)
	if slices.Contains(s.waiting, a) {
		p.dialForWaiting(s)
	}
}

// serveWaiting sends waiting attempts on the idle connections of their server, oldest first, until none is left that can be
// sent. Each send may call the receiver of events, which may start and end attempts and open and close connections. No state
// is therefore kept from one send to the next.
func (p *Pool) serveWaiting(s *server) {
	for {
		a, c := p.nextSend(s)
		if a == nil {
			return
		}
		p.send(c, a)
	}
}

// nextSend returns the next waiting attempt and the idle connection to send it on, or nil if there is none. It closes the idle
// connections that can no longer be used.
func (p *Pool) nextSend(s *server) (*attempt, *conn) {
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		a := p.nextAttemptFor(c)
		if a == nil { // the other connections have been idle for longer
			return nil, nil
		}
		// The server may have closed the connection without the loop having read the end of the stream yet. A request
		// written now would end in a reset, and one that must not take effect twice could not be retried. Data that was
		// received after an answer would be taken for the answer to the next request.
		if c.loopConn.NoPendingInput() {
			return a, c
		}
		c.removeFromIdle()
		c.loopConn.Close(closeUnexpectedInput)
	}
	return nil, nil
}

// nextAttemptFor returns the attempt that has waited longest of those that may use an idle connection, or nil. An attempt that
// must not take effect twice is not sent on a connection that has probably expired.
func (p *Pool) nextAttemptFor(c *conn) *attempt {
	probablyExpired := p.loop.Now()-c.idleSince >= p.idleTimeout.limitMs
	for _, a := range c.server.waiting {
		if !a.atMostOnce || !probablyExpired {
			return a
		}
	}
	return nil
}

// send sends a waiting attempt on an idle connection, or ends it as skipped if it may no longer be sent.
func (p *Pool) send(c *conn, a *attempt) {
	p.removeWaiting(a)
	timeLimitMs, ok := 0, !p.expired(a) // its timer may be due, and the loop has not run it yet
	if ok && a.query != nil {
		timeLimitMs, ok = p.events.BeforeSend(a.attemptID, a.timeoutAt)
	}
	if !ok {
		p.abort(a, beechgrade.Skipped)
		return
	}
	c.writeQuery(a, timeLimitMs)
}

// expired reports whether the send deadline or the time-out of an attempt has passed.
func (p *Pool) expired(a *attempt) bool { return p.loop.Now() >= min(a.sendDeadline, a.timeoutAt) }

// abort ends an attempt that has not been answered. If its query was written, the connection is closed.
func (p *Pool) abort(a *attempt, r beechgrade.Result) {
	c := a.conn
	if c == nil && a.query != nil && r != beechgrade.Unreachable && r != beechgrade.Overloaded {
		r = beechgrade.Skipped // the query was never written
	}
	if c != nil {
		// Detach the attempt first, because the close would report a reset for it. Close the connection before the outcome
		// is reported, because that call may send the request to another server at once, and then two attempts would be
		// in flight.
		c.attempt, a.conn = nil, nil
		c.loopConn.Close(closeAttemptAborted)
		p.finish(a, c.incompleteOutcome(r))
		return
	}
	p.removeWaiting(a)
	p.finish(a, Outcome{Result: r})
}

func (p *Pool) removeWaiting(a *attempt) {
	w := a.server.waiting
	for i := range w {
		if w[i] == a {
			a.server.waiting = append(w[:i:i], w[i+1:]...)
			return
		}
	}
}

// finish removes an attempt and reports its outcome. It does nothing if the attempt has ended before.
func (p *Pool) finish(a *attempt, o Outcome) {
	if _, ok := p.attempts.Get(a.ref); !ok {
		return
	}
	p.attempts.Delete(a.ref)
	p.loop.StopTimer(a.timeoutTimer)
	p.loop.StopTimer(a.connectTimer)
	if a.conn != nil && a.conn.attempt == a {
		a.conn.attempt = nil
	}
	if a.query == nil {
		p.events.ProbeEnded(a.serverID, o)
		return
	}
	o.WaitedMs = p.loop.Now() - a.startedAt
	if a.writtenAt > 0 {
		o.WaitedMs = a.writtenAt - a.startedAt
	}
	p.events.AttemptEnded(a.attemptID, o)
}
