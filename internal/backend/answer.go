package backend

import (
	"slices"
	"strconv"

	"beechgrade"
	"beechgrade/internal/clock"
	"beechgrade/internal/pgwire"
)

// updateAnswerBytes updates the number of buffered answer bytes, of this connection and of the pool.
func (c *conn) updateAnswerBytes() {
	n := 0
	if c.state == busy && c.attempt != nil {
		n = c.input.MemoryBytes() + cap(c.answer)
	}
	c.pool.answerBytes += n - c.answerBytes
	c.answerBytes = n
}

// resetStallTimer restarts the time-out for the rest of an answer that has begun. Connections may stall in the middle of an
// answer.
func (c *conn) resetStallTimer() {
	a, p := c.attempt, c.pool
	if c.state != busy || a == nil || c.parser.Empty() && c.input.Buffered() == 0 {
		return
	}
	timeoutMs := float64(stallTimeoutMs)
	if a.atMostOnce {
		timeoutMs = atMostOnceStallTimeoutMs
	}
	p.loop.StopTimer(c.timer)
	c.timer = p.loop.At(p.loop.Now()+timeoutMs, func() {
		p.log.Debug("answer stalled", "server", c.server.id)
		p.abort(a, beechgrade.Failed)
	})
}

// handleProtocolError closes the connection after its server violated the protocol. Its attempt has failed and may have run.
func (c *conn) handleProtocolError(err error) {
	c.pool.log.Warn("protocol violation by server", "server", c.server.id, "err", err)
	if c.attempt != nil {
		c.outcome = Outcome{} // what such an answer tells cannot be trusted
		c.pool.abort(c.attempt, beechgrade.Failed)
		return
	}
	c.loopConn.Close(closeProtocolError)
}

func (c *conn) handleMessage(m pgwire.Message) {
	switch m.Type {
	case 'T', 'C':
		c.answer = append(c.answer, m.Raw...)
	case 'D':
		c.answer = append(c.answer, m.Raw...)
		if c.attempt != nil && c.attempt.query == nil {
			c.reportRow = append([]byte(nil), m.Body...)
		}
	case 'S':
		c.handleParameter(m.Body)
	case 'Z':
		c.handleReadyForQuery()
	}
}

func (c *conn) handleParameter(body []byte) {
	name, val, err := pgwire.ParseParameter(body)
	if err != nil {
		return
	}
	switch name { // the first valid value of each counts
	case "role":
		if c.outcome.Role == beechgrade.RoleUnknown {
			c.outcome.Role = c.pool.parseRole(val)
		}
	case c.pool.opt.PositionParameter:
		if ms, err := strconv.ParseInt(val, 10, 64); err == nil && !c.outcome.HasPosition &&
			c.pool.plausiblePosition(clock.FromUnix(ms)) {
			c.outcome.Position, c.outcome.HasPosition = clock.FromUnix(ms), true
		}
	}
}

// plausiblePosition reports whether a server can have reached the position ms: it is above 0, and not further ahead of the
// clock than maxPositionLeadMs.
func (p *Pool) plausiblePosition(ms float64) bool {
	return ms > 0 && ms <= p.loop.Now()+maxPositionLeadMs
}

func (p *Pool) parseRole(val string) beechgrade.Role {
	switch val {
	case p.opt.Roles[0]:
		return beechgrade.RolePrimary
	case p.opt.Roles[1]:
		return beechgrade.RoleReplica
	}
	return beechgrade.RoleUnknown
}

// handleReadyForQuery completes the connection's startup or its attempt.
func (c *conn) handleReadyForQuery() {
	p := c.pool
	switch {
	case c.state == startingUp:
		c.server.dialing--
		c.becomeIdle()
		p.serveWaiting(c.server)
	case c.state == busy && c.attempt != nil:
		a, o := c.attempt, c.outcome
		p.idleTimeout.record(p.loop.Now(), c.idleMs, false)
		o.Result = c.result()
		if o.Result == beechgrade.OK {
			o.Answer = c.answer
			if a.query == nil {
				o = p.parseReport(c.reportRow)
			}
		}
		c.attempt, a.conn = nil, nil
		// Free the connection before the outcome is reported: that call may start an attempt which uses it. Attempts that
		// wait for it are sent after the report, because the answer may tell that the server no longer suits them.
		c.becomeIdle()
		p.finish(a, o)
		p.serveWaiting(c.server)
		if cap(c.answer) > maxKeptBufferBytes {
			c.answer = nil
		}
	}
}

// result returns the result of the attempt, according to the messages before ReadyForQuery.
func (c *conn) result() beechgrade.Result {
	switch c.parser.ErrorCode {
	case "":
		if c.parser.Succeeded {
			return beechgrade.OK
		}
	case "25006", "72000":
		return beechgrade.Misdirected
	case "53300", "57P03":
		return beechgrade.Overloaded
	}
	return beechgrade.Failed
}

// parseReport parses the row of a load report. An empty report comes from a server that has none yet, and counts as a
// successful probe. The probe has failed if the report has no valid x0 or x1 although ReportFields names it.
func (p *Pool) parseReport(row []byte) Outcome {
	o := Outcome{Result: beechgrade.OK}
	col, err := pgwire.ParseColumn(row)
	if err == nil && len(col) == 0 {
		return o
	}
	for name, val := range pgwire.Pairs(string(col)) {
		x, err := strconv.ParseFloat(val, 64)
		switch {
		case err != nil:
		case name == "x0" && p.plausiblePosition(x*1000):
			// Truncate to whole milliseconds, because the printed value may have been rounded up.
			o.Position, o.HasPosition = clock.FromUnix(int64(x*1000)), true
		case name == "x1" && x == 1:
			o.Role = beechgrade.RolePrimary
		case name == "x1" && x == 0:
			o.Role = beechgrade.RoleReplica
		}
	}
	if !o.HasPosition && slices.Contains(p.opt.ReportFields, "x0") ||
		o.Role == beechgrade.RoleUnknown && slices.Contains(p.opt.ReportFields, "x1") {
		return Outcome{Result: beechgrade.Failed}
	}
	return o
}
