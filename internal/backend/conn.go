package backend

import (
	"beechgrade"
	"beechgrade/internal/deadline"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// Reasons for which the pool closes a connection to a server.
const (
	closeAddressChanged  loop.Reason = "backend.moved"     // discovery lists another address for the server
	closeDraining        loop.Reason = "backend.draining"  // the server is draining
	closeRemoved         loop.Reason = "backend.gone"      // the server was removed from the list
	closeUnexpectedInput loop.Reason = "backend.not_quiet" // unsolicited data or an end of stream was received
	closeStartupTimeout  loop.Reason = "backend.slow"      // the connection was not ready within the connect time-out
	closeForDescriptor   loop.Reason = "backend.room"      // the descriptor is needed for another connection
	closeAttemptAborted  loop.Reason = "backend.given_up"  // the attempt on the connection was aborted
	closeIdle            loop.Reason = "backend.idle"      // the idle time-out has passed
	closeProtocolError   loop.Reason = "backend.spoilt"    // the server violated the protocol
	closeWriteTimeout    loop.Reason = "backend.unsent"    // the query could not be written completely within writeTimeoutMs
)

// state is the state of a connection.
type state int

const (
	dialing    state = iota
	startingUp       // the startup message was sent, ReadyForQuery has not been received
	idle             // ready for a query; exactly these connections are in server.idle
	busy             // a query was sent
	closed
)

// conn is a connection to a server. It implements loop.Handler. All times are in milliseconds.
type conn struct {
	pool          *Pool
	ref           slots.Ref
	server        *server
	addr          string // the address that was dialled
	loopConn      *loop.Conn
	state         state
	input         pgwire.Reader
	attempt       *attempt
	queryBuffered bool            // the complete query was passed to loopConn, which may still buffer a part
	idleSeq       uint64          // orders idle connections by the time at which they became idle
	idleSince     float64         // when the connection last became ready for a query
	writtenAt     float64         // when the current query was written
	idleMs        float64         // how long the connection was idle before that query
	timer         *deadline.Timer // the connect, write, stall or idle time-out, depending on the state

	// The answer that is being received.
	parser      pgwire.Answer
	answer      []byte
	answerBytes int    // this connection's share of Pool.answerBytes
	reportRow   []byte // if the answer is a load report
	outcome     Outcome
}

// connectFailed removes a connection that was never established. It also ends the attempt that has waited longest, unless
// enough other connections are being opened for all that wait.
func (c *conn) connectFailed() {
	if c.state == closed {
		return
	}
	c.state = closed
	c.pool.loop.StopTimer(c.timer)
	c.pool.conns.Delete(c.ref)
	c.server.dialing--
	if w := c.server.waiting; len(w) > c.server.dialing {
		c.pool.abort(w[0], beechgrade.Unreachable)
	}
}

// connectFailedLocally removes a connection that failed for lack of resources on this machine. That is no evidence against
// the server, so waiting attempts keep waiting, for another dial or for a connection that becomes free.
func (c *conn) connectFailedLocally() {
	p, s := c.pool, c.server
	c.state = closed
	p.loop.StopTimer(c.timer)
	p.conns.Delete(c.ref)
	s.dialing--
	if s.redialPending {
		return
	}
	s.redialPending = true
	p.loop.At(p.loop.Now()+redialDelayMs, func() {
		s.redialPending = false
		p.dialForWaiting(s)
	})
}

// Opened implements loop.Handler.
func (c *conn) Opened(lc *loop.Conn) {
	c.loopConn = lc
	if c.state == closed { // it timed out in the meantime
		lc.Close(closeStartupTimeout)
		return
	}
	c.state = startingUp
	_ = lc.Write(pgwire.AppendStartup(nil, c.pool.opt.User, c.pool.opt.Database))
}

// becomeIdle adds a connection that is ready for a query to the server's idle ones, or closes it if it cannot be reused. It
// leaves the waiting attempts to Pool.serveWaiting.
func (c *conn) becomeIdle() {
	p := c.pool
	c.state = idle
	c.idleSince = p.loop.Now()
	if c.addr != c.server.addr { // another server may be listening at the old address
		c.loopConn.Close(closeAddressChanged)
		return
	}
	if c.input.Buffered() > 0 { // it would be taken for the answer to the next request
		c.loopConn.Close(closeUnexpectedInput)
		return
	}
	p.lastIdleSeq++
	c.idleSeq = p.lastIdleSeq
	c.server.idle = append(c.server.idle, c)
	p.loop.StopTimer(c.timer)
	c.timer = p.loop.At(c.idleSince+p.opt.IdleTimeoutMs, func() { c.loopConn.Close(closeIdle) })
}

// writeQuery writes the query of an attempt, which gives the server the time limit timeLimitMs, in milliseconds.
func (c *conn) writeQuery(a *attempt, timeLimitMs int) {
	p := c.pool
	c.removeFromIdle()
	p.loop.StopTimer(c.timer)
	p.loop.StopTimer(a.connectTimer)
	c.state, c.attempt, a.conn = busy, a, c
	c.parser, c.answer, c.reportRow, c.outcome = pgwire.NewQueryAnswer(), c.answer[:0], nil, Outcome{}
	if a.query == nil {
		p.scratch = pgwire.AppendQuery(p.scratch[:0], "SHOW load")
	} else {
		p.scratch = a.query.AppendQuery(p.scratch[:0], timeLimitMs)
	}
	c.writtenAt = p.loop.Now()
	a.writtenAt = c.writtenAt
	c.idleMs = c.writtenAt - c.idleSince
	c.queryBuffered = false // Closed, which reads it, is called within a Write that fails
	if c.loopConn.Write(p.scratch) != nil {
		return
	}
	c.queryBuffered = true
	if c.loopConn.UnsentBytes() > 0 && c.attempt == a {
		c.timer = p.loop.At(min(c.writtenAt+writeTimeoutMs, a.sendDeadline), func() { c.writeTimedOut(a) })
	}
}

// writeTimedOut ends an attempt whose query the socket has not accepted completely. The time limit in the query is out of
// date by now, or the send deadline has passed, and a query without its last byte does not run.
func (c *conn) writeTimedOut(a *attempt) {
	p := c.pool
	if c.attempt != a || c.loopConn.UnsentBytes() == 0 {
		return
	}
	p.log.Info("query not written in time", "server", c.server.id, "unsent", c.loopConn.UnsentBytes())
	c.attempt, a.conn = nil, nil
	c.loopConn.Close(closeWriteTimeout)
	p.finish(a, Outcome{Result: beechgrade.Skipped})
}

func (c *conn) removeFromIdle() {
	l := c.server.idle
	for i := len(l) - 1; i >= 0; i-- {
		if l[i] == c {
			c.server.idle = append(l[:i], l[i+1:]...)
			return
		}
	}
}

// Data implements loop.Handler.
func (c *conn) Data(b []byte) {
	if c.state == idle { // the data would be taken for the answer to the next request
		c.pool.log.Warn("unsolicited data from server", "server", c.server.id, "bytes", len(b))
		c.loopConn.Close(closeUnexpectedInput)
		return
	}
	c.input.Borrow(b)
	for c.state == startingUp || c.state == busy {
		m, ok, err := c.parser.Next(&c.input)
		if err != nil {
			c.handleProtocolError(err)
			return
		}
		if !ok {
			c.input.Reserve(c.input.IncompleteSize())
			break
		}
		c.handleMessage(m)
	}
	c.updateAnswerBytes()
	if p := c.pool; c.attempt != nil && c.answerBytes > maxKeptBufferBytes &&
		p.answerBytes > p.opt.MemoryBytes()/answerMemoryDivisor {
		p.log.Warn("no memory for an answer", "server", c.server.id, "bytes", c.answerBytes, "all", p.answerBytes)
		p.abort(c.attempt, beechgrade.Failed)
		return
	}
	c.input.Keep()
	c.resetStallTimer()
}

// Closed implements loop.Handler.
func (c *conn) Closed(error) {
	p := c.pool
	previousState, unsent := c.state, c.loopConn.UnsentBytes()
	if previousState == closed {
		return
	}
	if previousState == startingUp {
		c.startupFailed()
		return
	}
	c.loopConn.DiscardUnsent() // otherwise the rest of a query that is reported as not sent might still arrive
	c.state = closed
	c.updateAnswerBytes()
	p.loop.StopTimer(c.timer)
	p.conns.Delete(c.ref)
	c.removeFromIdle()
	if a := c.attempt; a != nil {
		a.conn = nil
		if c.parser.Empty() && p.loop.Now()-c.writtenAt <= lossWindowMs {
			p.idleTimeout.record(p.loop.Now(), c.idleMs, true)
		}
		r := beechgrade.Reset
		// A query whose last byte was not sent cannot have run. If nothing is unsent, the attempt may have run, so it stays
		// a reset.
		if !c.queryBuffered || unsent > 0 {
			r = beechgrade.Unreachable
		}
		if c.parser.ErrorCode == "53300" || c.parser.ErrorCode == "57P03" {
			r = beechgrade.Overloaded
		}
		p.finish(a, c.incompleteOutcome(r))
	}
	p.dialForWaiting(c.server)
}

// incompleteOutcome returns the outcome of an attempt whose answer is not complete: the result r, and what the part that was
// received tells about the server.
func (c *conn) incompleteOutcome(r beechgrade.Result) Outcome {
	return Outcome{Result: r, Role: c.outcome.Role, Position: c.outcome.Position, HasPosition: c.outcome.HasPosition}
}

// startupFailed ends a connection that was closed during its startup. A server that has too many connections sends an error
// first, which ends the attempt that has waited longest as overloaded.
func (c *conn) startupFailed() {
	if c.parser.ErrorCode == "53300" && len(c.server.waiting) >= c.server.dialing && len(c.server.waiting) > 0 {
		a := c.server.waiting[0]
		c.pool.removeWaiting(a)
		defer c.pool.finish(a, Outcome{Result: beechgrade.Overloaded})
	}
	c.connectFailed()
}
