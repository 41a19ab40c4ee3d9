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

// Client is one emulated client of one pooler. It sends requests again and again, and records each of them in the ledger. It
// keeps its connection until the pooler closes it, an answer does not arrive in time, or it disconnects without waiting for an
// answer.
type Client struct {
	ledger  *Ledger
	process *Process
	rng     *rand.Rand
	name    string
	burst   *atomic.Bool // whether to send requests without a pause

	conn      net.Conn
	reader    *bufio.Reader
	execution int  // number of the process execution that the connection was made to
	newConn   bool // whether no answer has been received on the connection yet
	sent      int  // number of requests created so far
}

// Behaviour of emulated clients.
const (
	// thinkTime is the mean pause between requests.
	thinkTime = 120 * time.Millisecond
	// disconnectShare is the probability that the client disconnects without waiting for the answers to what it has sent.
	disconnectShare = 0.03
	// pipelineShare is the probability that two or three requests are sent at once.
	pipelineShare = 0.05
	// earlyRequestShare is the share of connections on which the first request is sent together with the startup message.
	earlyRequestShare = 0.3
	// redialDelay is the pause after a failed connection attempt.
	redialDelay = 50 * time.Millisecond
	// dialTimeout is the time limit for connecting, and for the answer to the startup message.
	dialTimeout = time.Second
)

// run sends requests until stop is closed.
func (c *Client) run(stop <-chan struct{}) {
	defer c.closeConn()
	for {
		pause := time.Duration(c.rng.ExpFloat64() * float64(thinkTime))
		if c.burst.Load() {
			pause = 0
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if c.conn != nil && c.closedByPooler() {
			c.closeConn()
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(redialDelay)
			continue
		}
		c.exchange(c.nextRequests())
	}
}

// closeConn closes the connection, if there is one.
func (c *Client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// closedByPooler reports whether the pooler has closed the idle connection, or has sent unsolicited data on it.
func (c *Client) closedByPooler() bool {
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

// connect opens a connection. On some of them, the startup message is left to exchange, which sends it together with requests.
func (c *Client) connect() bool {
	c.execution = c.process.CurrentExecution()
	conn, err := net.DialTimeout("tcp", c.process.listen, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.newConn = conn, bufio.NewReader(conn), true
	if c.rng.Float64() >= earlyRequestShare {
		_ = conn.SetDeadline(time.Now().Add(dialTimeout + c.impairmentAllowance()))
		if _, err := conn.Write(startupMessage()); err != nil || c.readAnswer().outcome != Open {
			c.closeConn()
			return false
		}
		c.newConn = false
		_ = conn.SetDeadline(time.Time{})
	}
	return true
}

// impairmentAllowance returns how much longer the answer to the startup message may take, depending on whether the pooler is
// impaired now.
func (c *Client) impairmentAllowance() time.Duration {
	now := time.Now()
	if c.ledger.WasImpaired(c.process.Name, now, now.Add(time.Millisecond)) {
		return 3 * time.Second
	}
	return 0
}

func startupMessage() []byte { return pgwire.AppendStartup(nil, "backend", "store") }

// nextRequests draws the requests to send next.
func (c *Client) nextRequests() []*Request {
	count := 1
	if c.rng.Float64() < pipelineShare {
		count += 1 + c.rng.IntN(2)
	}
	var requests []*Request
	for range count {
		c.sent++
		requests = append(requests, &Request{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Class: c.drawClass(),
			Pooler: c.process.Name})
	}
	return requests
}

func (c *Client) drawClass() Class {
	x := c.rng.Float64()
	for _, k := range classes {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return classes[0]
}

// groupCount is the number of groups of servers.
const groupCount = 2

func (c *Client) query(r *Request) []byte {
	comment := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */", r.ID, r.Class.Name, r.Class.Deadline.Milliseconds(),
		c.rng.IntN(groupCount))
	if r.Class.AtMostOnce {
		return pgwire.AppendQuery(nil, fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x00') RETURNING content %s`,
			c.name, comment))
	}
	return pgwire.AppendQuery(nil, fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' %s", c.name, comment))
}

// exchange sends requests in one write and waits until each of them has ended.
func (c *Client) exchange(requests []*Request) {
	var data []byte
	startupPending := c.newConn
	if startupPending {
		data = startupMessage()
	}
	for _, request := range requests {
		data = append(data, c.query(request)...)
	}
	for i, request := range requests {
		if i > 0 {
			request.previous = requests[i-1]
		}
		c.ledger.Begin(request)
	}
	_, err := c.conn.Write(data)
	disconnects := c.rng.Float64() < disconnectShare
	if disconnects {
		time.Sleep(time.Duration(c.rng.Float64() * float64(requests[0].Class.Deadline) / 4))
		c.disconnect(requests)
		return
	}
	if err == nil && startupPending {
		if ans := c.awaitAnswer(requests[0]); ans.outcome != Open {
			c.endUnanswered(requests, ans)
			return
		}
	}
	for i, request := range requests {
		ans := c.awaitAnswer(request)
		if ans.outcome == Open || ans.incomplete {
			c.endUnanswered(requests[i:], ans)
			return
		}
		c.newConn = false
		if ans.outcome == Served && string(ans.value) != string(expectedValue(request.ID)) {
			c.ledger.AddViolation(RuleWrong, "%s is answered with %q", request.ID, ans.value)
		}
		c.ledger.End(request, ans.outcome)
	}
}

// disconnect closes the connection before the answers have arrived.
func (c *Client) disconnect(requests []*Request) {
	c.closeConn()
	for _, r := range requests {
		c.ledger.End(r, Disconnected)
	}
}

// answer is one answer, which ends with ReadyForQuery or with the connection.
type answer struct {
	outcome    Outcome // Open for the answer to the startup message, or if there is no complete answer
	value      []byte
	incomplete bool  // the connection ended before or within the answer
	timedOut   bool  // the read deadline passed
	err        error // the error that ended the connection
}

// awaitAnswer reads the answer to a request until the time at which it must have arrived. That time may move while it waits,
// since the pooler may become impaired.
func (c *Client) awaitAnswer(r *Request) answer {
	for {
		_ = c.conn.SetReadDeadline(c.ledger.LatestAnswer(r))
		a := c.readAnswer()
		if !a.timedOut || !time.Now().Before(c.ledger.LatestAnswer(r)) {
			return a
		}
	}
}

// readAnswer reads one answer.
func (c *Client) readAnswer() answer {
	ans := answer{outcome: Open}
	for {
		var head [5]byte
		if _, err := io.ReadFull(c.reader, head[:]); err != nil {
			return ans.interrupted(err)
		}
		body := make([]byte, max(4, binary.BigEndian.Uint32(head[1:]))-4)
		if _, err := io.ReadFull(c.reader, body); err != nil {
			return ans.interrupted(err)
		}
		switch head[0] {
		case 'D':
			ans.outcome = Served
			ans.value, _ = pgwire.ParseColumn(body)
		case 'E':
			ans.outcome = Failed
			if code := pgwire.ErrorCode(body); code == "53300" || code == "57P03" {
				ans.outcome = Refused
			}
		case 'Z':
			return ans
		}
	}
}

// interrupted returns the answer as it stands when reading ended with err. An error message without ReadyForQuery counts as an
// answer, a row does not.
func (a answer) interrupted(err error) answer {
	a.err = err
	if e, ok := err.(net.Error); ok && e.Timeout() {
		a.timedOut = true
	}
	if a.outcome == Served {
		a.outcome = Open
	}
	a.incomplete = a.outcome == Open
	return a
}

// endUnanswered ends requests that have no complete answers of their own, because the connection was closed, the read timed out,
// or the startup message was answered with an error.
func (c *Client) endUnanswered(requests []*Request, ans answer) {
	c.closeConn()
	now := time.Now()
	time.Sleep(timingTolerance) // an exit of the process may be noticed later than the close
	for i, request := range requests {
		if i == 0 && ans.outcome != Open { // an error in answer to the startup message applies to all requests sent with it
			for _, rest := range requests {
				c.ledger.End(rest, ans.outcome)
			}
			return
		}
		c.ledger.End(request, c.unansweredOutcome(request, ans, now))
	}
}

// unansweredOutcome returns the outcome of a request without an answer, whose connection ended at the time now.
func (c *Client) unansweredOutcome(request *Request, ans answer, now time.Time) Outcome {
	execution := c.process.Execution(c.execution)
	switch {
	case !execution.KilledAt.IsZero() && execution.TermAt.IsZero():
		return PoolerKilled
	case !execution.KilledAt.IsZero() && (execution.KilledAt.Sub(request.Sent) < 2*timingTolerance ||
		c.ledger.WasImpaired(c.process.Name, request.Sent, execution.KilledAt)):
		return PoolerKilled
	case !execution.ExitedAt.IsZero() && request.Sent.After(execution.ExitedAt.Add(-timingTolerance)) &&
		!c.ledger.Forwarded(request):
		return PoolerDown
	}
	request.Note = fmt.Sprintf("after %v: %v; new connection: %v; process: %v", now.Sub(request.Sent), ans.err, c.newConn,
		execution)
	switch {
	case ans.timedOut:
		return Unanswered
	case !c.ledger.Forwarded(request) && c.ledger.WasImpaired(c.process.Name, request.Sent.Add(-timingTolerance), now):
		// Whether the pooler read the request can't be seen from here. If it did, its own invariants count the violation.
		return CloseRace
	case !c.ledger.Forwarded(request) && (!c.newConn || !execution.TermAt.IsZero()) && now.Sub(request.Sent) < timingTolerance:
		// The pooler may close an established connection while a request is on its way. After SIGTERM it may close a new one as
		// well: by then, the operator's load balancer sends it no more clients.
		return CloseRace
	}
	return Unanswered
}

// sendPartialRequest sends part of a request on a new connection and checks that the pooler ends the connection in time.
func sendPartialRequest(ledger *Ledger, pooler *Process) {
	number := pooler.CurrentExecution()
	conn, err := net.DialTimeout("tcp", pooler.listen, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	began := time.Now()
	partial := pgwire.AppendQuery(startupMessage(), "SELECT content FROM kv WHERE name = 'half'")
	if _, err := conn.Write(partial[:len(partial)-9]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(began.Add(partialRequestGrace + timingTolerance))
	if _, err := io.Copy(io.Discard, conn); err == nil {
		return
	} else if e, ok := err.(net.Error); !ok || !e.Timeout() {
		return
	}
	if execution := pooler.Execution(number); !ledger.WasImpaired(pooler.Name, began, time.Now()) && execution.KilledAt.IsZero() {
		ledger.AddViolation(RulePartialRequest, "%s: a client that stopped halfway through a request is still connected after %v",
			pooler.Name, time.Since(began))
	}
}

// holdIdleConns holds n idle connections to a pooler for the duration d.
func holdIdleConns(ledger *Ledger, pooler *Process, n int, d time.Duration) {
	ledger.MarkImpaired(pooler.Name, d)
	var conns []net.Conn
	for range n {
		if conn, err := net.DialTimeout("tcp", pooler.listen, dialTimeout); err == nil {
			_, _ = conn.Write(startupMessage())
			conns = append(conns, conn)
		}
	}
	time.Sleep(d)
	for _, conn := range conns {
		_ = conn.Close()
	}
}
