package backend

import (
	"beechgrade"
	"beechgrade/internal/deadline"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// Why this side closes a connection to a server.
const (
	closeMoved     loop.Reason = "backend.moved"     // the list shows the server at another address
	closeDraining  loop.Reason = "backend.draining"  // the server drains
	closeGone      loop.Reason = "backend.gone"      // the server has left the list
	closeNotQuiet  loop.Reason = "backend.not_quiet" // something came that was not asked for, or the server's end
	closeSlowStart loop.Reason = "backend.slow"      // it did not come up in time
	closeRoom      loop.Reason = "backend.room"      // its descriptor is needed
	closeGivenUp   loop.Reason = "backend.given_up"  // its attempt was given up
	closeIdle      loop.Reason = "backend.idle"      // it has been idle for as long as the settings allow
	closeSpoilt    loop.Reason = "backend.spoilt"    // the server broke the protocol
	closeUnsent    loop.Reason = "backend.unsent"    // it does not take a query whole
)

type state int

const (
	dialing state = iota
	greeting
	idle
	busy
	closed
)

// conn is a connection to a server; it is the loop's Handler.
type conn struct {
	pool    *Pool
	ref     slots.Ref
	server  *server
	addr    string // that it was dialled to
	c       *loop.Conn
	state   state
	in      pgwire.Reader
	attempt *attempt
	sent    bool // the attempt's last byte was handed to the socket or its buffer
	idleNo  uint64
	since   float64         // up or idle since then
	written float64         // its attempt, then
	rested  float64         // before that
	timer   *deadline.Timer // of coming up, then of idling

	// of the answer that is coming in
	reading pgwire.Answer
	answer  []byte
	held    int    // its part of the pool's
	row     []byte // of a probe's
	outcome Outcome
}

// failed takes a connection out that never came up, and with it the attempt that waited longest.
func (c *conn) failed() {
	if c.state == closed {
		return
	}
	c.state = closed
	c.pool.loop.StopTimer(c.timer)
	c.pool.conns.Delete(c.ref)
	c.server.dialing--
	if w := c.server.waiting; len(w) > c.server.dialing {
		c.pool.drop(w[0], beechgrade.Unreachable)
	}
}

// shortOfResources takes a connection out that this machine could not make. That tells nothing of the server: what waits goes on
// waiting, for another try or for a connection that comes free.
func (c *conn) shortOfResources() {
	p, s := c.pool, c.server
	c.state = closed
	p.loop.StopTimer(c.timer)
	p.conns.Delete(c.ref)
	s.dialing--
	if s.redial {
		return
	}
	s.redial = true
	p.loop.At(p.loop.Now()+redialMs, func() {
		s.redial = false
		p.refill(s)
	})
}

// Opened is loop's.
func (c *conn) Opened(lc *loop.Conn) {
	c.c = lc
	if c.state == closed { // given up meanwhile
		lc.Close(closeSlowStart)
		return
	}
	c.state = greeting
	_ = lc.Write(pgwire.AppendStartup(nil, c.pool.opt.User, c.pool.opt.Database))
}

// ready makes a connection carry the next attempt, or idle.
func (c *conn) ready() {
	c.state = idle
	c.since = c.pool.loop.Now()
	// Where the server has moved since, whatever still listens there is another. What it sent beyond its answer
	// would be taken for the answer to the next request.
	if c.addr != c.server.addr {
		c.c.Close(closeMoved)
		return
	}
	if c.in.Buffered() > 0 || !c.c.NoPendingInput() {
		c.c.Close(closeNotQuiet)
		return
	}
	p := c.pool
	for len(c.server.waiting) > 0 {
		a := c.server.waiting[0]
		if p.late(a) { // its time is over, and only the loop has not come to that yet
			p.drop(a, beechgrade.Skipped)
			continue
		}
		p.unqueue(a)
		if p.send(c, a) {
			return
		}
	}
	p.idleSeq++
	c.idleNo = p.idleSeq
	c.server.idle = append(c.server.idle, c)
	p.loop.StopTimer(c.timer)
	c.timer = p.loop.At(p.loop.Now()+p.opt.IdleTimeoutMs, func() { c.c.Close(closeIdle) })
}

// carry writes an attempt's query, which tells the server so much time.
func (c *conn) carry(a *attempt, tellMs int) {
	p := c.pool
	c.unidle()
	p.loop.StopTimer(c.timer)
	p.loop.StopTimer(a.connect)
	c.state, c.attempt, a.conn = busy, a, c
	c.reading, c.answer, c.row, c.outcome = pgwire.NewQueryAnswer(), c.answer[:0], nil, Outcome{}
	if a.query == nil {
		p.scratch = pgwire.AppendQuery(p.scratch[:0], "SHOW load")
	} else {
		p.scratch = a.query.AppendQuery(p.scratch[:0], tellMs)
	}
	c.written = p.loop.Now()
	a.written = c.written
	c.rested = c.written - c.since
	c.sent = false // a write that fails has closed the connection when it returns
	if c.c.Write(p.scratch) != nil {
		return
	}
	c.sent = true
	if c.c.UnsentBytes() > 0 && c.attempt == a {
		c.timer = p.loop.At(p.loop.Now()+wholeMs, func() { c.tooSlow(a) })
	}
}

// tooSlow ends an attempt whose query the socket has not taken whole: the time that it tells the server is not true any more, and
// without its last byte it does not run.
func (c *conn) tooSlow(a *attempt) {
	p := c.pool
	if c.attempt != a || c.c.UnsentBytes() == 0 {
		return
	}
	p.log.Info("a query is not taken whole", "server", c.server.id, "unsent", c.c.UnsentBytes())
	c.attempt, a.conn = nil, nil
	c.c.Close(closeUnsent)
	p.end(a, Outcome{Result: beechgrade.Skipped})
}

func (c *conn) unidle() {
	l := c.server.idle
	for i := len(l) - 1; i >= 0; i-- {
		if l[i] == c {
			c.server.idle = append(l[:i], l[i+1:]...)
			return
		}
	}
}

// Data is loop's.
func (c *conn) Data(b []byte) {
	if c.state == idle { // nothing was asked: it would answer what is asked next
		c.pool.log.Warn("server sent what was not asked for", "server", c.server.id, "bytes", len(b))
		c.c.Close(closeNotQuiet)
		return
	}
	c.in.Feed(b)
	for c.state == greeting || c.state == busy {
		m, ok, err := c.reading.Next(&c.in)
		if err != nil {
			c.spoilt(err)
			return
		}
		if !ok {
			break
		}
		c.message(m)
	}
	c.count()
	if p := c.pool; c.attempt != nil && c.held > keepAnswer && p.held > p.opt.MemoryBytes()/heldPart {
		p.log.Warn("no memory for an answer", "server", c.server.id, "bytes", c.held, "all", p.held)
		p.drop(c.attempt, beechgrade.Failed)
		return
	}
	c.watch()
}

// Closed is loop's.
func (c *conn) Closed(error) {
	p := c.pool
	was, unsent := c.state, c.c.UnsentBytes()
	if was == closed {
		return
	}
	if was == greeting {
		c.refused()
		return
	}
	c.c.DiscardUnsent() // or the rest of a query that is told as never sent might still arrive
	c.state = closed
	c.count()
	p.loop.StopTimer(c.timer)
	p.conns.Delete(c.ref)
	c.unidle()
	if a := c.attempt; a != nil {
		a.conn = nil
		if c.reading.Empty() && p.loop.Now()-c.written <= brokeMs {
			p.wear.note(p.loop.Now(), c.rested, true)
		}
		r := beechgrade.Reset
		// Where gnet has dropped what it buffered, unsent is 0 and the attempt may have run: the safe side.
		if !c.sent || unsent > 0 { // its last byte never left: it cannot have run
			r = beechgrade.Unreachable
		}
		if c.reading.ErrorCode == "53300" || c.reading.ErrorCode == "57P03" {
			r = beechgrade.Overloaded
		}
		p.end(a, Outcome{Result: r, Role: c.outcome.Role, Position: c.outcome.Position, HasPosition: c.outcome.HasPosition})
	}
	p.refill(c.server)
}

// refused ends a connection that broke while coming up. A server with too many turns away in words.
func (c *conn) refused() {
	if c.reading.ErrorCode == "53300" && len(c.server.waiting) >= c.server.dialing && len(c.server.waiting) > 0 {
		a := c.server.waiting[0]
		c.pool.unqueue(a)
		defer c.pool.end(a, Outcome{Result: beechgrade.Overloaded})
	}
	c.failed()
}
