package front

import (
	"math"
	"strconv"

	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// command is an entry in a session's queue of commands, which are answered in order. If the command is a request, the entry is
// the request's Client.
type command struct {
	session     *session
	ref         slots.Ref // of its request, valid while open is set
	open        bool      // its request has no answer yet
	responded   bool
	bytes       int    // memory that it takes: its statement's and its own while open is set, then the length of response
	response    []byte // the answer, while it waits for those to earlier commands
	endsSession bool   // the connection ends after the response
	isWrite     bool   // it is a request that may have an effect
}

// enqueue adds a command whose statement has the given length in bytes.
func (s *session) enqueue(size int) *command {
	c := &command{session: s, bytes: size}
	s.commands = append(s.commands, c)
	return c
}

// respond answers the command. response is valid only during the call.
func (c *command) respond(response []byte) {
	s := c.session
	if c.responded || s.closed || s.halfClosed {
		return
	}
	c.responded, c.open = true, false
	if s.commands[0] != c {
		c.response = append([]byte(nil), s.front.boundedResponse(c, response)...)
		c.bytes = len(c.response)
		s.updateHeldBytes()
		return
	}
	queueWasFull := s.wait == queueFull
	s.commands = s.commands[1:]
	s.send(response)
	for endsSession := c.endsSession; !s.closed; {
		if endsSession {
			s.halfClose()
			return
		}
		if len(s.commands) == 0 || !s.commands[0].responded {
			break
		}
		next := s.commands[0]
		s.commands = s.commands[1:]
		s.send(next.response)
		endsSession = next.endsSession
	}
	if s.closed {
		return
	}
	if len(s.commands) == 0 {
		s.commands = nil
	}
	if queueWasFull && !s.reader.AtBoundary() || s.front.draining {
		s.processNextTurn() // in a call of its own, so that the caller finishes first
	}
	s.updateState()
	s.restartIdleTime()
	s.front.enforceActiveLimit()
}

// Served implements Client.
func (c *command) Served(answer []byte) {
	c.respond(pgwire.AppendReady(append(c.session.front.scratch[:0], answer...)))
}

// Refused implements Client.
func (c *command) Refused(retryMs float64) { c.respond(refusal(c.session.front.scratch[:0], retryMs)) }

// refusal appends the answer to a request that was refused.
func refusal(dst []byte, retryMs float64) []byte {
	return pgwire.AppendReady(pgwire.AppendError(dst, "ERROR", codeRefused, "no server can take this now", retryDetail(retryMs)))
}

// Connected implements Client.
func (c *command) Connected() bool { return !c.session.closed && !c.session.conn.PeerClosed() }

// retryDetail returns the detail field of an error: the time in milliseconds after which to retry, or "" for none.
func retryDetail(ms float64) string {
	if ms <= 0 {
		return ""
	}
	return strconv.Itoa(int(math.Ceil(ms)))
}

// Failed implements Client.
func (c *command) Failed() { c.respond(failure(c.session.front.scratch[:0])) }

// failure appends the answer to a request that failed.
func failure(dst []byte) []byte {
	return pgwire.AppendReady(pgwire.AppendError(dst, "ERROR", codeFailed, "the request failed; it may have had an effect", ""))
}

// restartIdleTime restarts the time for which the session has been in its state, after an answer.
func (s *session) restartIdleTime() {
	s.stateSince = s.front.loop.Now()
	if s.listElement != nil {
		s.front.sessionsByState[s.state].MoveToBack(s.listElement)
	}
}

// halfClose closes the sending direction of a connection whose final message was written, and gives the client
// halfClosedTimeoutMs to close the other one. Closing a connection with unread input would reset it, and the reset may overtake
// the message.
func (s *session) halfClose() {
	s.flush()
	if s.closed || s.halfClosed {
		return
	}
	if s.front.sessionsByState[stateHalfClosed].Len() >= maxHalfClosed || s.conn.UnsentBytes() > 0 || s.conn.CloseWrite() != nil {
		s.close(closeImmediate)
		return
	}
	s.ended, s.halfClosed, s.stateSince = true, true, s.front.loop.Now()
	s.front.loop.StopTimer(s.processTimer)
	s.reader.Reset()
	s.updateState()
	s.abandonRequests()
}

// abandonRequests ends the open requests of a client that cannot receive their answers any more.
func (s *session) abandonRequests() {
	commands := s.commands
	s.commands = nil
	for _, c := range commands {
		if c.open {
			c.open = false
			s.front.handler.Abandon(c.ref, s.conn.CloseReason())
		}
	}
	s.updateHeldBytes()
}

// arrivals records when input arrived. A request's time-out runs from the arrival of its last byte, not from the time at which
// it is processed, as it may have waited for earlier commands.
type arrivals struct {
	entries  []arrival
	consumed int // number of bytes removed since entries was last empty
}

// arrival is the arrival time of the bytes before endOffset that no earlier entry covers.
type arrival struct {
	endOffset int
	at        float64
}

// maxArrivals is the maximum number of entries. Further bytes get the arrival time of the last entry.
const maxArrivals = 64

// add records that the next n bytes arrived at the given time.
func (r *arrivals) add(n int, at float64) {
	if len(r.entries) == 0 {
		r.entries, r.consumed = append(r.entries, arrival{n, at}), 0
		return
	}
	last := &r.entries[len(r.entries)-1]
	if last.at == at || len(r.entries) >= maxArrivals {
		last.endOffset += n
		return
	}
	r.entries = append(r.entries, arrival{last.endOffset + n, at})
}

// consume removes the next n bytes and returns the arrival time of the last of them.
func (r *arrivals) consume(n int) float64 {
	r.consumed += n
	i := 0
	for i < len(r.entries)-1 && r.entries[i].endOffset < r.consumed {
		i++
	}
	at := r.entries[i].at
	if r.entries[i].endOffset <= r.consumed {
		i++
	}
	if r.entries = r.entries[i:]; len(r.entries) == 0 {
		r.entries = nil
	}
	return at
}
