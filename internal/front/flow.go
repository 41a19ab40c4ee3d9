package front

import "math"

// wait is why received commands of a client are not processed yet.
type wait int

const (
	noWait     wait = iota
	queueFull       // too many commands are unanswered; the next answer calls processCommands
	unreadFull      // the client does not read its answers
	throttled       // the client has been sent too many answers that need no server
)

// readAheadBytes returns the number of unprocessed bytes at which reading stops while the client's commands wait.
func (s *session) readAheadBytes() int {
	switch {
	case s.wait == noWait:
		return math.MaxInt
	case s.wait == throttled || s.front.memoryScarce():
		return 1
	}
	return maxReadAheadBytes
}

// queueLimit returns the number of unanswered commands that each client may have. While memory is scarce it is 1, because the
// answers to further ones would wait in memory.
func (p *Postgres) queueLimit() int {
	if p.memoryScarce() {
		return 1
	}
	return maxQueuedCommands
}

// currentWait returns why the next command has to wait.
func (s *session) currentWait() wait {
	switch {
	case len(s.commands) >= s.front.queueLimit():
		return queueFull
	case s.started && s.conn.UnsentBytes() > maxUnsentBytes:
		return unreadFull
	case !s.mayAnswer():
		return throttled
	}
	return noWait
}

// updateReadLimit stops reading from a client whose commands wait and which is far ahead of its answers, so that the rest waits
// in the socket and the client is held back. A command that was read could only be dropped if there were no room for it.
func (s *session) updateReadLimit() {
	if s.closed || s.conn == nil {
		return
	}
	limit := s.readLimit()
	s.conn.SetReadLimit(limit)
	if s.readStopped = limit == 0; s.readStopped {
		s.scheduleProbe()
	}
}

// readLimit returns the largest number of bytes that may be read from the client at once.
func (s *session) readLimit() int {
	switch {
	case s.ended && !s.halfClosed: // no more commands are accepted, and the final message is not sent yet
		return 0
	case !s.ended && s.reader.Buffered() >= s.readAheadBytes():
		return 0
	case s.ended || s.reader.Reserved() || s.reader.Skipping():
		return maxLargeReadBytes
	}
	return maxReadBytes
}

// processAfter schedules a call of processCommands and cancels the one scheduled before.
func (s *session) processAfter(ms float64) {
	l := s.front.loop
	l.StopTimer(s.processTimer)
	s.processTimer = l.At(l.Now()+ms, s.processCommands)
}
