package front

import (
	"beechgrade/internal/loop"
	"beechgrade/internal/slots"
)

// Limits on the time that clients may spend without a request, in milliseconds.
const (
	// sweepIntervalMs is the interval of the periodic check of all connections.
	sweepIntervalMs = 250
	// startupTimeoutMs is the time that a client has to send its complete startup message.
	startupTimeoutMs = 1000
	// messageTimeoutMs is the time that a client has to complete a message after its first byte.
	messageTimeoutMs = 1500
	// sendStallTimeoutMs is the time for which a client may leave answers unread.
	sendStallTimeoutMs = 5000
	// halfClosedTimeoutMs is the time that a client has to close the connection after its final message was sent.
	halfClosedTimeoutMs = 250
	// activeLimitIdleMs is the idle time after which a connection may be closed while there are more active clients than
	// Budget.ActiveClientLimit.
	activeLimitIdleMs = 20
	// manyClientsIdleMs is the idle time after which a connection may be closed while there are many clients: more than
	// Budget.ActiveClientLimit, or more than there are spare descriptors.
	manyClientsIdleMs = 2000
	// idleTimeoutMs is the idle time after which a connection is closed in any case.
	idleTimeoutMs = 60000
)

const (
	// maxDiscardedBytes is the number of bytes that are read and discarded from a half-closed client.
	maxDiscardedBytes = 1 << 18
	// maxHalfClosed is the number of clients that may be half-closed at the same time.
	maxHalfClosed = 16
)

// Reasons for which this side closes a client's connection.
const (
	// closeHalfClosedTimeout means that the client did not close the connection within halfClosedTimeoutMs after the final
	// message was sent to it.
	closeHalfClosedTimeout loop.Reason = "front.left"
	// closeSendStalled means that the client does not read its answers.
	closeSendStalled loop.Reason = "front.stuck"
	// closeStartupTimeout means that the client has not sent any part of a startup message within startupTimeoutMs.
	closeStartupTimeout loop.Reason = "front.silent"
	// closeIdle means that the client has been idle for idleTimeoutMs.
	closeIdle loop.Reason = "front.idle"
	// closeEvicted means that the connection was closed in favour of other clients.
	closeEvicted loop.Reason = "front.evicted"
	// closeMemory means that the client does not read its answers and holds the most memory of those who do not, while all clients
	// together hold too much.
	closeMemory loop.Reason = "front.memory"
	// closeShutdown means that the process ends.
	closeShutdown loop.Reason = "front.end"
	// closeDrain means that the client is idle while the process drains.
	closeDrain loop.Reason = "front.drain"
	// closeProtocol means that the client has sent more than maxDiscardedBytes after the end of its session.
	closeProtocol loop.Reason = "front.protocol"
	// closeCancel means that the client has sent a cancel request, which has no answer.
	closeCancel loop.Reason = "front.cancel"
	// closeImmediate means that the session has ended, but the client cannot be given halfClosedTimeoutMs to close the
	// connection.
	closeImmediate loop.Reason = "front.last_word"
)

// Budget holds the limits on the resources that the front may use.
type Budget struct {
	SpareDescriptors    func() int  // descriptors left for clients, below 0 if there are too many clients
	ActiveClientLimit   func() int  // number of active clients above which idle ones are closed, see enforceActiveLimit
	CloseIdleServerConn func() bool // closes an idle connection to a server and reports whether there was one
	MemoryBytes         func() int  // memory limit of the process, in bytes

	MaxRetryAfterMs float64 // longest retry-after time that a client may be sent, 0 for none
}

// clientState orders clients by the cost of closing their connections, lowest first.
type clientState int

const (
	stateHalfClosed     clientState = iota // the final message is sent, and the client has yet to close
	stateStartingUp                        // the startup message is not complete
	stateIdleUnused                        // idle, without any request so far
	stateIdle                              // idle, with earlier requests
	statePartialMessage                    // a message has been received in part
	stateBusy                              // commands or unsent answers are pending; never evicted
	clientStateCount
)

// currentState returns the state that the session is in now. The field state holds it as of the last call of updateState.
func (s *session) currentState() clientState {
	switch {
	case s.halfClosed:
		return stateHalfClosed
	case !s.started:
		return stateStartingUp
	case s.idle() && !s.hasRequested:
		return stateIdleUnused
	case s.idle():
		return stateIdle
	case len(s.commands) == 0 && !s.reader.AtBoundary():
		return statePartialMessage
	}
	return stateBusy
}

// updateState moves the session to the list of its current state and updates what is read from its client.
func (s *session) updateState() {
	s.updateHeldBytes()
	s.updateReadLimit()
	p, state := s.front, s.currentState()
	if s.listElement != nil && (s.closed || state != s.state) {
		p.sessionsByState[s.state].Remove(s.listElement)
		s.listElement = nil
	}
	if s.listElement == nil && !s.closed {
		s.state = state
		s.listElement = p.sessionsByState[state].PushBack(s)
	}
}

// StartSweeps starts the periodic check of clients' connections. It has to be called on the loop.
func (p *Postgres) StartSweeps() { p.loop.At(p.loop.Now()+sweepIntervalMs, p.sweep) }

// sweep closes the connections that have exceeded a time limit.
func (p *Postgres) sweep() {
	now := p.loop.Now()
	p.sessions.Each(func(_ slots.Ref, s *session) {
		if s.conn == nil {
			return
		}
		s.updateState() // the client may have read its answers since the last update
		if s.conn.UnsentBytes() == 0 {
			s.sendStalledSince = 0
		} else if s.sendStalledSince == 0 {
			s.sendStalledSince = now
		}
		age := now - s.stateSince
		switch {
		case s.halfClosed && age >= halfClosedTimeoutMs:
			s.close(closeHalfClosedTimeout)
		case s.sendStalledSince != 0 && now-s.sendStalledSince >= sendStallTimeoutMs:
			s.close(closeSendStalled)
		case s.state == stateStartingUp && s.conn.UnsentBytes() > 0: // the client waits for an answer that is still being sent
		case (s.state == stateStartingUp || s.state == statePartialMessage) && !s.conn.NoPendingInput():
			// The rest of the message may have arrived already and is not read yet.
		case s.state == stateStartingUp && s.reader.AtBoundary() && age >= startupTimeoutMs:
			s.close(closeStartupTimeout)
		case (s.state == stateIdleUnused || s.state == stateIdle) && age >= idleTimeoutMs && s.conn.NoPendingInput():
			s.close(closeIdle)
		case s.state == stateStartingUp && age >= startupTimeoutMs:
			s.fatal(codeProtocol, "the startup message is not whole in time")
		case s.state == statePartialMessage && s.sendStalledSince == 0 && age >= messageTimeoutMs:
			s.fatal(codeProtocol, "the message is not whole in time")
		}
	})
	if p.sessions.Len() > p.budget.ActiveClientLimit() {
		for p.evict(stateIdleUnused, manyClientsIdleMs) {
		}
	}
	if p.rejected > 0 {
		p.log.Warn("too many clients", "turned_away", p.rejected, "sessions", p.sessions.Len())
		p.rejected = 0
	}
	p.StartSweeps()
}

// admit reports whether there is a descriptor for a new client. If there is none, it closes other connections: first those of
// clients that are half-closed, still starting up or idle without any request so far, then idle connections to servers, then
// those of other idle clients, which can reconnect, and last those of clients whose message has been incomplete for
// sweepIntervalMs.
func (p *Postgres) admit(s *session) bool {
	for p.budget.SpareDescriptors() < 0 {
		if !p.evict(stateHalfClosed, 0) && !p.evict(stateStartingUp, 0) && !p.evict(stateIdleUnused, 0) &&
			!p.budget.CloseIdleServerConn() && !p.evict(stateIdle, 0) && !p.evict(statePartialMessage, sweepIntervalMs) {
			p.rejected++
			return false
		}
	}
	// With fewer spare descriptors than clients, more than half of the descriptors for clients are in use.
	if p.budget.SpareDescriptors() < p.sessions.Len() && !p.evict(stateIdleUnused, manyClientsIdleMs) {
		p.evict(stateIdle, manyClientsIdleMs)
	}
	p.enforceActiveLimit()
	return true
}

// FreeDescriptor closes one connection and reports whether there was one to close. It prefers that of a client that is
// half-closed, still starting up or idle without any request so far, then an idle connection to a server, then that of another
// idle client. It is called when the system has no descriptor left.
func (p *Postgres) FreeDescriptor() bool {
	return p.evict(stateHalfClosed, 0) || p.evict(stateStartingUp, 0) || p.evict(stateIdleUnused, 0) ||
		p.budget.CloseIdleServerConn() || p.evict(stateIdle, 0)
}

// enforceActiveLimit closes idle connections while more clients are active than Budget.ActiveClientLimit allows. All clients
// count as active but those that are half-closed, still starting up or idle without any request so far. The number of
// connections that clients may open is limited, and some clients keep each one open for a while after a single request.
func (p *Postgres) enforceActiveLimit() {
	for p.sessionsByState[stateIdle].Len()+p.sessionsByState[statePartialMessage].Len()+p.sessionsByState[stateBusy].Len() >
		p.budget.ActiveClientLimit() && p.evict(stateIdle, activeLimitIdleMs) {
	}
}

// evict closes the connection that has been in the given state for longest, if that is at least minMs, and reports whether
// there was one. It skips connections with input that has arrived and is not read yet.
func (p *Postgres) evict(state clientState, minMs float64) bool {
	for e := p.sessionsByState[state].Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		if p.loop.Now()-s.stateSince < minMs {
			return false
		}
		if s.currentState() != state { // the session may be within a call that has not updated its list yet
			continue
		}
		if state == stateHalfClosed || s.conn.NoPendingInput() {
			s.close(closeEvicted)
			return true
		}
	}
	return false
}
