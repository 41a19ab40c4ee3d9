package emulator

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"beechgrade/internal/pgwire"
)

// Client is one emulated client of one pooler. It asks again and again, keeps its connection as long as it is let, and files each
// request in the ledger.
type Client struct {
	ledger  *Ledger
	process *Process
	rng     *rand.Rand
	name    string
	busy    *atomic.Bool // a burst: no pause between requests

	conn  net.Conn
	in    *bufio.Reader
	start int  // of the process, as the connection was made
	fresh bool // nothing has been answered on the connection
	asked int
}

// Habits of emulated clients.
const (
	thinkTime    = 120 * time.Millisecond // in the mean, between requests
	leavePart    = 0.03                   // of the requests, at which the client goes before it is answered
	pipelinePart = 0.05                   // sent two or three at once
	behindPart   = 0.3                    // of the connections, on which the first request comes with the startup
	redialPause  = 50 * time.Millisecond
	dialTime     = time.Second
)

// run asks until stop is closed.
func (c *Client) run(stop <-chan struct{}) {
	defer c.drop()
	for {
		pause := time.Duration(c.rng.ExpFloat64() * float64(thinkTime))
		if c.busy.Load() {
			pause = 0
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if c.conn != nil && c.closedMeanwhile() {
			c.drop()
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(redialPause)
			continue
		}
		c.ask(c.requests())
	}
}

// drop closes the connection.
func (c *Client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// closedMeanwhile tells whether the pooler has closed the connection while nothing was asked on it.
func (c *Client) closedMeanwhile() bool {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err != unix.EAGAIN
	})
	return closed
}

// connect opens a connection. On some, the first requests come right behind the startup message.
func (c *Client) connect() bool {
	c.start = c.process.Start()
	conn, err := net.DialTimeout("tcp", c.process.listen, dialTime)
	if err != nil {
		return false
	}
	c.conn, c.in, c.fresh = conn, bufio.NewReader(conn), true
	if c.rng.Float64() >= behindPart {
		_ = conn.SetDeadline(time.Now().Add(dialTime + c.hindered()))
		if _, err := conn.Write(startup()); err != nil || c.answer().outcome != Open {
			c.drop()
			return false
		}
		c.fresh = false
		_ = conn.SetDeadline(time.Time{})
	}
	return true
}

// hindered is how long the pooler may still be hindered.
func (c *Client) hindered() time.Duration {
	now := time.Now()
	if c.ledger.Hindered(c.process.Name, now, now.Add(time.Millisecond)) {
		return 3 * time.Second
	}
	return 0
}

func startup() []byte { return pgwire.AppendStartup(nil, "backend", "store") }

// requests makes up what is asked next.
func (c *Client) requests() []*Request {
	n := 1
	if c.rng.Float64() < pipelinePart {
		n += 1 + c.rng.IntN(2)
	}
	var all []*Request
	for range n {
		c.asked++
		all = append(all, &Request{ID: fmt.Sprintf("%s-%d", c.name, c.asked), Class: c.class(), Pooler: c.process.Name})
	}
	return all
}

func (c *Client) class() Class {
	x := c.rng.Float64()
	for _, k := range classes {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return classes[0]
}

// groups is the number of groups of servers.
const groups = 2

func (c *Client) query(r *Request) []byte {
	comment := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */", r.ID, r.Class.Name, r.Class.Deadline.Milliseconds(), c.rng.IntN(groups))
	if r.Class.Unsafe {
		return pgwire.AppendQuery(nil, fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x00') RETURNING content %s`, c.name, comment))
	}
	return pgwire.AppendQuery(nil, fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' %s", c.name, comment))
}

// ask sends requests in one write and sees each to its end.
func (c *Client) ask(all []*Request) {
	var b []byte
	waitsForStartup := c.fresh
	if waitsForStartup {
		b = startup()
	}
	for _, r := range all {
		b = append(b, c.query(r)...)
	}
	for i, r := range all {
		if i > 0 {
			r.before = all[i-1]
		}
		c.ledger.Begin(r)
	}
	_, err := c.conn.Write(b)
	leaves := c.rng.Float64() < leavePart
	if leaves {
		time.Sleep(time.Duration(c.rng.Float64() * float64(all[0].Class.Deadline) / 4))
		c.leave(all)
		return
	}
	if err == nil && waitsForStartup {
		if a := c.await(all[0]); a.outcome != Open {
			c.broken(all, a)
			return
		}
	}
	for i, r := range all {
		a := c.await(r)
		if a.outcome == Open || a.broken {
			c.broken(all[i:], a)
			return
		}
		c.fresh = false
		if a.outcome == Served && string(a.value) != string(value(r.ID)) {
			c.ledger.Violate(RuleWrong, "%s is served with %q", r.ID, a.value)
		}
		c.ledger.End(r, a.outcome)
	}
}

// leave goes before the answers come.
func (c *Client) leave(all []*Request) {
	c.drop()
	for _, r := range all {
		c.ledger.End(r, Left)
	}
}

// answer is one answer, up to ReadyForQuery or the connection's end.
type answer struct {
	outcome Outcome // Open for the answer to the startup message, or none
	value   []byte
	broken  bool  // the connection ended within it, or before it
	silent  bool  // nothing came in time
	err     error // of the connection
}

// await reads the answer to a request, for as long as that may take.
func (c *Client) await(r *Request) answer {
	for {
		_ = c.conn.SetReadDeadline(c.ledger.Deadline(r))
		a := c.answer()
		if !a.silent || !time.Now().Before(c.ledger.Deadline(r)) {
			return a
		}
	}
}

// answer reads one answer.
func (c *Client) answer() answer {
	a := answer{outcome: Open}
	for {
		var head [5]byte
		if _, err := io.ReadFull(c.in, head[:]); err != nil {
			return a.cut(err)
		}
		body := make([]byte, max(4, binary.BigEndian.Uint32(head[1:]))-4)
		if _, err := io.ReadFull(c.in, body); err != nil {
			return a.cut(err)
		}
		switch head[0] {
		case 'D':
			a.outcome = Served
			a.value, _ = pgwire.ParseColumn(body)
		case 'E':
			a.outcome = Failed
			if code := pgwire.ErrorCode(body); code == "53300" || code == "57P03" {
				a.outcome = Refused
			}
		case 'Z':
			return a
		}
	}
}

// cut ends an answer with the connection. An error may end it well, a row may not.
func (a answer) cut(err error) answer {
	a.err = err
	if e, ok := err.(net.Error); ok && e.Timeout() {
		a.silent = true
	}
	if a.outcome == Served {
		a.outcome = Open
	}
	a.broken = a.outcome == Open
	return a
}

// broken judges requests whose connection ended, or fell silent, before their answers.
func (c *Client) broken(all []*Request, a answer) {
	c.drop()
	now := time.Now()
	time.Sleep(noise) // until an end of the process is known
	for i, r := range all {
		if i == 0 && a.outcome != Open { // a last word, meant for all that was sent
			for _, rest := range all {
				c.ledger.End(rest, a.outcome)
			}
			return
		}
		c.ledger.End(r, c.judge(r, a, now))
	}
}

// judge tells how a request without an answer has ended, whose connection ended now.
func (c *Client) judge(r *Request, a answer, now time.Time) Outcome {
	fate := c.process.Fate(c.start)
	switch {
	case !fate.Killed.IsZero() && fate.Term.IsZero():
		return Void
	case !fate.Killed.IsZero() && (fate.Killed.Sub(r.Sent) < 2*noise || c.ledger.Hindered(c.process.Name, r.Sent, fate.Killed)):
		return Void
	case !fate.Ended.IsZero() && r.Sent.After(fate.Ended.Add(-noise)) && !c.ledger.Forwarded(r):
		return Unserved
	}
	r.Note = fmt.Sprintf("after %v: %v; new connection: %v; fate: %v", now.Sub(r.Sent), a.err, c.fresh, fate)
	switch {
	case a.silent:
		return Abandoned
	case !c.ledger.Forwarded(r) && c.ledger.Hindered(c.process.Name, r.Sent.Add(-noise), now):
		return Crossed // whether it was read cannot be seen from here; the pooler's own guard counts it if it was
	case !c.ledger.Forwarded(r) && (!c.fresh || !fate.Term.IsZero()) && now.Sub(r.Sent) < noise:
		return Crossed // a new one too, where nobody should come any more: by then the operator's front knows of the end
	}
	return Abandoned
}

// stopHalfWay sends half a request on a connection of its own and waits for the end that it is owed.
func stopHalfWay(ledger *Ledger, p *Process) {
	start := p.Start()
	conn, err := net.DialTimeout("tcp", p.listen, dialTime)
	if err != nil {
		return
	}
	defer conn.Close()
	began := time.Now()
	half := pgwire.AppendQuery(startup(), "SELECT content FROM kv WHERE name = 'half'")
	if _, err := conn.Write(half[:len(half)-9]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(began.Add(badGrace + noise))
	if _, err := io.Copy(io.Discard, conn); err == nil {
		return
	} else if e, ok := err.(net.Error); !ok || !e.Timeout() {
		return
	}
	if fate := p.Fate(start); !ledger.Hindered(p.Name, began, time.Now()) && fate.Killed.IsZero() {
		ledger.Violate(RuleBadClient, "%s: a client that stopped half way is left for %v", p.Name, time.Since(began))
	}
}

// crowd holds idle connections to a pooler for a while.
func crowd(ledger *Ledger, p *Process, n int, d time.Duration) {
	ledger.Hinder(p.Name, d)
	var all []net.Conn
	for range n {
		if conn, err := net.DialTimeout("tcp", p.listen, dialTime); err == nil {
			_, _ = conn.Write(startup())
			all = append(all, conn)
		}
	}
	time.Sleep(d)
	for _, conn := range all {
		_ = conn.Close()
	}
}
