// Package backend keeps the connections to the servers and carries out attempts and probes on them. It
// decides nothing about requests: it reports how each attempt and probe ended.
package backend

import (
	"log/slog"
	"slices"

	"beechgrade"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// Query is a request as a server is asked it.
type Query interface {
	AppendQuery(dst []byte, waitMs int) []byte
}

// Events receives the ends of attempts and probes. Its methods may be called from within StartAttempt, CancelAttempt and Probe.
type Events interface {
	AttemptEnded(t AttemptID, o Outcome)
	ProbeEnded(server string, o Outcome)
	// BeforeSend is called right before an attempt that times out at until is written. It returns the time limit to send to
	// the server, in milliseconds, and whether the attempt may be sent.
	BeforeSend(t AttemptID, until float64) (tellMs int, ok bool)
}

// Options are the pool's limits.
type Options struct {
	User, Database    string
	Roles             [2]string // names of the primary's and a replica's role
	PositionParameter string
	ReportFields      []string // that a load report has
	ConnectTimeoutMs  float64
	IdleTimeoutMs     float64    // connections that are idle for this long are closed
	MaxConns          func() int // over all servers, by the descriptors left now
	MemoryBytes       func() int // of the machine, in bytes
}

const (
	heldPart   = 8       // of the memory, answers that are coming in may take 1 in so many
	keepAnswer = 1 << 14 // of a buffer, from one answer to the next
	stallMs    = 150     // within an answer that has begun, after which its rest will not come...
	stallOnce  = 600     // ...for what must not run twice, and so has no second chance
	brokeMs    = 50      // a connection that breaks so soon after a request did so because of it
	wholeMs    = 100     // until a query is written whole: what it says of the time left holds for 150 ms
	aheadMs    = 100     // of the clock here that a position may be: commits are rounded up, clocks differ
)

// Pool holds the connections to all servers.
type Pool struct {
	loop     *loop.Loop
	log      *slog.Logger
	opt      Options
	events   Events
	servers  map[string]*server
	attempts slots.Table[*attempt]
	conns    slots.Table[*conn]
	idleSeq  uint64
	wear     wear
	held     int // bytes of answers that are coming in
	scratch  []byte
}

type server struct {
	id      string
	addr    string
	idle    []*conn    // the one used last at the end
	waiting []*attempt // without a connection, oldest first; a probe has an attempt too
	dialing int        // connections on their way up
	redial  bool       // one is to be tried again after this machine could not make it
}

// New makes a pool.
func New(l *loop.Loop, log *slog.Logger, opt Options, events Events) *Pool {
	return &Pool{loop: l, log: log, opt: opt, events: events, servers: map[string]*server{},
		wear: newWear()}
}

// SetTimeouts sets the connect time-out and the idle time-out. Timers that already run keep their time.
func (p *Pool) SetTimeouts(connectMs, idleMs float64) {
	p.opt.ConnectTimeoutMs, p.opt.IdleTimeoutMs = connectMs, idleMs
}

// SetAddress tells where a server listens. Connections to an address that it has left are closed, those in
// use once they are free.
func (p *Pool) SetAddress(id, addr string) {
	s := p.servers[id]
	if s == nil {
		p.servers[id] = &server{id: id, addr: addr}
		return
	}
	if s.addr != addr {
		s.addr = addr
		s.closeIdle(closeMoved)
	}
}

func (s *server) closeIdle(why loop.Reason) {
	for len(s.idle) > 0 {
		s.idle[0].c.Close(why)
	}
}

// Drain has a server carry nothing more than what has been sent to it: what waits for a connection there is told as
// never sent, as the news binds the moment at which it would be.
func (p *Pool) Drain(id string) {
	if s := p.servers[id]; s != nil {
		s.closeIdle(closeDraining)
		p.skipWaiting(s)
	}
}

// skipWaiting ends what waits for a connection to a server. What that leads to may have more wait there.
func (p *Pool) skipWaiting(s *server) {
	for _, a := range slices.Clone(s.waiting) {
		p.drop(a, beechgrade.Skipped)
	}
}

// Remove drops a server that has left the list. Its connections in use stay open until their attempts have ended.
func (p *Pool) Remove(id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.closeIdle(closeGone)
	delete(p.servers, id)
	s.addr = "" // its connections are closed once they are free
	p.skipWaiting(s)
}

// RemoveExcept removes all servers but the given ones.
func (p *Pool) RemoveExcept(ids map[string]bool) {
	for id := range p.servers {
		if !ids[id] {
			p.Remove(id)
		}
	}
}

// ConnCount returns the number of connections, including those that are being opened.
func (p *Pool) ConnCount() int { return p.conns.Len() }

// dial opens one more connection, if the budget allows it; else those that wait take what comes free.
func (p *Pool) dial(s *server) {
	if p.conns.Len() >= p.opt.MaxConns() && !p.CloseOldestIdle() {
		p.log.Debug("no descriptor left for a connection", "server", s.id, "conns", p.conns.Len())
		return
	}
	c := &conn{pool: p, server: s, addr: s.addr, in: pgwire.NewReader(pgwire.MaxMessage), reading: pgwire.NewStartupAnswer()}
	c.ref = p.conns.Put(c)
	s.dialing++
	c.timer = p.loop.At(p.loop.Now()+p.opt.ConnectTimeoutMs, func() {
		if c.state == greeting {
			c.c.Close(closeSlowStart)
		} else {
			c.failed()
		}
	})
	p.loop.Dial(s.addr, p.opt.ConnectTimeoutMs, c, func(err error) {
		if c.state != dialing {
			return
		}
		p.log.Debug("connect", "server", s.id, "err", err)
		if loop.IsLocal(err) {
			c.shortOfResources()
			return
		}
		c.failed()
	})
}

// CloseOldestIdle closes the connection that has been idle longest and reports whether there was one.
func (p *Pool) CloseOldestIdle() bool {
	var oldest *conn
	p.conns.Each(func(_ slots.Ref, c *conn) {
		if c.state == idle && (oldest == nil || c.idleNo < oldest.idleNo) {
			oldest = c
		}
	})
	if oldest == nil {
		return false
	}
	oldest.c.Close(closeRoom)
	return true
}

// redialMs is the pause after a connection that this machine could not make, until the next is tried.
const redialMs = 10

// refill dials for those that wait for a connection when one they might have had is lost.
func (p *Pool) refill(s *server) {
	if s.dialing < len(s.waiting) {
		p.dial(s)
	}
}
