// Package backend manages the connections to the servers and runs attempts and probes on them. It makes no decisions about
// requests: it reports how each attempt and probe ended.
package backend

import (
	"log/slog"
	"slices"

	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// Query is a request in the form in which it is sent to a server.
type Query interface {
	// AppendQuery appends the query message to dst. The message gives the server the time limit timeLimitMs, which is the time
	// that the pooler waits for the answer, in milliseconds.
	AppendQuery(dst []byte, timeLimitMs int) []byte
}

// Events receives the outcomes of attempts and probes. Its methods may be called from within any method of Pool that starts,
// cancels or skips attempts, such as StartAttempt, CancelAttempt, Probe, Drain and Remove. They may call these methods and
// CloseOldestIdle themselves.
type Events interface {
	AttemptEnded(id AttemptID, outcome Outcome)
	ProbeEnded(serverID string, outcome Outcome)
	// BeforeSend is called right before an attempt that times out at timeoutAt is written. It returns the time limit to send
	// to the server, in milliseconds, and whether the attempt may be sent. If it may, BeforeSend has called no method of Pool.
	BeforeSend(id AttemptID, timeoutAt float64) (timeLimitMs int, ok bool)
}

// Options are the settings of a Pool.
type Options struct {
	User, Database    string
	Roles             [2]string  // the names of the roles primary and replica
	PositionParameter string     // the parameter in which servers report their position
	ReportFields      []string   // the fields of a load report
	ConnectTimeoutMs  float64    // for a connection to become ready, for an attempt to get one, and for a complete probe
	IdleTimeoutMs     float64    // connections that are idle for this long are closed
	MaxConns          func() int // returns the limit for all servers together, which follows the free descriptors
	MemoryBytes       func() int // returns the memory limit of the process
}

const (
	// answerMemoryDivisor limits the buffered bytes of all incomplete answers to this fraction of the memory: 1/8.
	answerMemoryDivisor = 8
	// maxKeptBufferBytes is the capacity up to which an answer buffer is kept for the next answer.
	maxKeptBufferBytes = 1 << 14
	// stallTimeoutMs is how long an answer that has begun may make no progress, in milliseconds, before its attempt fails.
	stallTimeoutMs = 150
	// atMostOnceStallTimeoutMs takes the place of stallTimeoutMs for requests that must not take effect
	// twice. It is longer because
	// they cannot be retried.
	atMostOnceStallTimeoutMs = 600
	// lossWindowMs is the time after a query, in milliseconds, within which a broken connection is attributed to the query.
	lossWindowMs = 50
	// writeTimeoutMs is how long writing a query may take, in milliseconds. The time limit in the query may be out of date
	// by at most 150 ms when the server receives it.
	writeTimeoutMs = 100
	// maxPositionLeadMs is how far a server's position may be ahead of this machine's clock, in milliseconds. Commit times
	// are rounded up, and clocks differ.
	maxPositionLeadMs = 100
)

// Pool holds the connections to all servers. All its methods must be called on the event loop.
type Pool struct {
	loop        *loop.Loop
	log         *slog.Logger
	opt         Options
	events      Events
	servers     map[string]*server
	attempts    slots.Table[*attempt]
	conns       slots.Table[*conn]
	lastIdleSeq uint64
	idleTimeout idleTimeoutEstimate
	answerBytes int // buffered bytes of all incomplete answers
	scratch     []byte
}

// server is a server with its idle connections and waiting attempts.
type server struct {
	id            string
	addr          string
	idle          []*conn    // the most recently used one is the last
	waiting       []*attempt // attempts and probes without a connection, oldest first
	dialing       int        // the number of connections that are not ready yet
	redialPending bool       // a dial failed for lack of local resources and will be repeated
}

// New returns a pool without servers.
func New(l *loop.Loop, log *slog.Logger, opt Options, events Events) *Pool {
	return &Pool{loop: l, log: log, opt: opt, events: events, servers: map[string]*server{},
		idleTimeout: newIdleTimeoutEstimate()}
}

// SetTimeouts sets the connect time-out and the idle time-out, in milliseconds. Running timers are not changed.
func (p *Pool) SetTimeouts(connectMs, idleMs float64) {
	p.opt.ConnectTimeoutMs, p.opt.IdleTimeoutMs = connectMs, idleMs
}

// SetAddress adds a server, or changes its address. Connections to the old address are closed, those in use as soon as they
// are free.
func (p *Pool) SetAddress(serverID, addr string) {
	s := p.servers[serverID]
	if s == nil {
		p.servers[serverID] = &server{id: serverID, addr: addr}
		return
	}
	if s.addr != addr {
		s.addr = addr
		s.closeIdle(closeAddressChanged)
	}
}

func (s *server) closeIdle(reason loop.Reason) {
	for _, c := range slices.Clone(s.idle) {
		c.loopConn.Close(reason)
	}
}

// Drain closes the idle connections to a server and ends the attempts that wait for one as skipped, because nothing may be
// sent to a draining server. Attempts that were sent continue.
func (p *Pool) Drain(serverID string) {
	if s := p.servers[serverID]; s != nil {
		s.closeIdle(closeDraining)
		p.skipWaiting(s)
	}
}

// skipWaiting ends the attempts that wait for a connection to a server. It iterates over a copy because the calls that
// report them may add, end and send attempts.
func (p *Pool) skipWaiting(s *server) {
	for _, a := range slices.Clone(s.waiting) {
		p.CancelUnsentAttempt(a.ref)
	}
}

// Remove removes a server. Its connections in use stay open until their attempts have ended.
func (p *Pool) Remove(serverID string) {
	s := p.servers[serverID]
	if s == nil {
		return
	}
	s.closeIdle(closeRemoved)
	delete(p.servers, serverID)
	s.addr = "" // so that connections in use are closed once they are free
	p.skipWaiting(s)
}

// RemoveExcept removes all servers but the given ones.
func (p *Pool) RemoveExcept(serverIDs map[string]bool) {
	for serverID := range p.servers {
		if !serverIDs[serverID] {
			p.Remove(serverID)
		}
	}
}

// ConnCount returns the number of connections, including those that are being opened.
func (p *Pool) ConnCount() int { return p.conns.Len() }

// dial opens a connection.
func (p *Pool) dial(s *server) {
	c := &conn{pool: p, server: s, addr: s.addr, input: pgwire.NewReader(pgwire.MaxMessageBytes),
		parser: pgwire.NewStartupAnswer()}
	c.ref = p.conns.Put(c)
	s.dialing++
	c.timer = p.loop.At(p.loop.Now()+p.opt.ConnectTimeoutMs, func() {
		if c.state == startingUp {
			c.loopConn.Close(closeStartupTimeout)
		} else {
			c.connectFailed()
		}
	})
	p.loop.Dial(s.addr, p.opt.ConnectTimeoutMs, c, func(err error) {
		if c.state != dialing {
			return
		}
		p.log.Debug("connect failed", "server", s.id, "err", err)
		if loop.IsLocal(err) {
			c.connectFailedLocally()
			return
		}
		c.connectFailed()
	})
}

// CloseOldestIdle closes the connection that has been idle for the longest time, and reports whether there was one. It leaves
// out connections that an attempt is about to be sent on.
func (p *Pool) CloseOldestIdle() bool {
	var oldest *conn
	p.conns.Each(func(_ slots.Ref, c *conn) {
		if c.state == idle && (oldest == nil || c.idleSeq < oldest.idleSeq) && p.nextAttemptFor(c) == nil {
			oldest = c
		}
	})
	if oldest == nil {
		return false
	}
	oldest.loopConn.Close(closeForDescriptor)
	return true
}

// redialDelayMs is the delay, in milliseconds, before a dial that failed for lack of local resources is repeated.
const redialDelayMs = 10

// dialForWaiting opens a connection if more attempts wait than connections are being opened and MaxConns allows it. Otherwise
// the attempts use connections that become free. It is called when an attempt begins to wait, and after a connection that
// attempts might have used has closed.
func (p *Pool) dialForWaiting(s *server) {
	if n := len(s.idle); n > 0 && p.nextAttemptFor(s.idle[n-1]) != nil { // serveWaiting is about to use that connection
		return
	}
	// Closing a connection to make room may dial for attempts that wait at its server, which may be this one.
	for s.dialing < len(s.waiting) && p.conns.Len() >= p.opt.MaxConns() {
		if !p.CloseOldestIdle() {
			p.log.Debug("connection limit reached", "server", s.id, "conns", p.conns.Len())
			return
		}
	}
	if s.dialing < len(s.waiting) {
		p.dial(s)
	}
}
