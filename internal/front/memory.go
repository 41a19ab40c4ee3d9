package front

import (
	"beechgrade/internal/metrics"
	"beechgrade/internal/slots"
)

const (
	// heldMemoryDivisor limits the data that is held for clients (input that is not processed yet, open requests and unsent
	// answers) to 1/heldMemoryDivisor of the memory.
	heldMemoryDivisor = 8
	// openCommandBytes is the memory that an open request takes beside its statement.
	openCommandBytes = 1 << 10
	// smallMessageBytes is the length up to which an incomplete message is always kept in memory.
	smallMessageBytes = 1 << 12
	// maxReadBytes is the largest number of bytes that are read from a client at once, unless they belong to a large message.
	maxReadBytes = 1 << 12
	// maxLargeReadBytes is the largest number of bytes that are read at once of a message for which there is memory, or which is
	// discarded.
	maxLargeReadBytes = 1 << 16
)

// heldLimit returns the number of bytes that may be held for all clients together.
func (p *Postgres) heldLimit() int { return p.budget.MemoryBytes() / heldMemoryDivisor }

// memoryScarce reports whether clients hold more than half of the memory allowed for them. Nothing is then read ahead.
func (p *Postgres) memoryScarce() bool { return p.heldBytes > p.heldLimit()/2 }

// openRequestsExceedMemory reports whether open requests hold more than half of the memory allowed for clients. Further
// requests are then refused.
func (p *Postgres) openRequestsExceedMemory() bool { return p.openRequestBytes > p.heldLimit()/2 }

// updateHeldBytes brings the byte counts of the session and of the front up to date.
func (s *session) updateHeldBytes() {
	held, open, unread := 0, 0, 0
	if !s.closed {
		if s.conn != nil {
			unread = s.conn.UnsentBytes()
		}
		for _, c := range s.commands {
			if c.open {
				open += c.bytes
			} else {
				unread += c.bytes
			}
		}
		held = s.reader.MemoryBytes() + open + unread
	}
	s.front.heldBytes += held - s.heldBytes
	s.front.openRequestBytes += open - s.openRequestBytes
	s.heldBytes, s.openRequestBytes, s.unreadBytes = held, open, unread
	if p := s.front; p.heldBytes > p.heldLimit() && !p.enforcingMemory {
		p.enforcingMemory = true
		p.loop.Defer(p.enforceMemoryLimit)
	}
}

// reserveMemory decides whether the incomplete message of a client is kept in memory: if it is small, or if there is room for
// all of it. Otherwise its bytes are discarded as they arrive, and it is refused once it is complete.
func (s *session) reserveMemory() {
	size := s.reader.IncompleteSize()
	if size <= smallMessageBytes || s.reader.Reserved() {
		return
	}
	s.updateHeldBytes()
	if s.front.heldBytes-s.reader.MemoryBytes()+size > s.front.heldLimit() {
		s.front.loop.Metrics().Add(metrics.ClientLimits, "no_memory")
		s.reader.SkipMessage()
		return
	}
	s.reader.Reserve(size)
	s.updateHeldBytes()
}

// refuseForMemory refuses a request because requests hold too much memory.
func (c *command) refuseForMemory() {
	c.Refused(c.session.front.noMemoryRetryMs())
}

// boundedResponse returns the response to a command that waits for the answers to earlier ones, or an error if there is no memory
// for the response: a read is refused, since it can be repeated, and a write has failed.
func (p *Postgres) boundedResponse(c *command, response []byte) []byte {
	if len(response) <= smallMessageBytes || p.heldBytes+len(response) <= p.heldLimit() {
		return response
	}
	p.loop.Metrics().Add(metrics.ClientLimits, "no_memory_for_answer")
	if c.isWrite {
		return failure(p.scratch[:0])
	}
	return refusal(p.scratch[:0], p.noMemoryRetryMs())
}

// noMemoryRetryMs returns the time in milliseconds after which a client may repeat a request that was refused for lack of memory.
func (p *Postgres) noMemoryRetryMs() float64 { return min(manyClientsIdleMs, p.budget.MaxRetryAfterMs) }

// enforceMemoryLimit closes connections of clients that do not read their answers while all clients together hold too much
// memory: each time that of the client for which the most is held. All other memory is bounded before it is taken.
func (p *Postgres) enforceMemoryLimit() {
	defer func() { p.enforcingMemory = false }()
	for p.heldBytes > p.heldLimit() {
		var largest *session
		p.sessions.Each(func(_ slots.Ref, s *session) {
			s.updateHeldBytes() // the client may have read its answers since the last update
			if s.conn != nil && s.conn.UnsentBytes() > 0 && (largest == nil || s.unreadBytes > largest.unreadBytes) {
				largest = s
			}
		})
		if largest == nil || p.heldBytes <= p.heldLimit() {
			return
		}
		p.log.Warn("a client does not read its answers", "bytes", largest.heldBytes)
		largest.close(closeMemory)
	}
}
