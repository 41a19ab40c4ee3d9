package front

import (
	"beechgrade/internal/loop"
	"beechgrade/internal/slots"
)

// Bounds on what a client may hold without asking for anything, in milliseconds.
const (
	sweepMs   = 250
	startupMs = 1000  // until its startup message is whole
	messageMs = 1500  // until a message it has begun is whole
	stuckMs   = 5000  // until it goes on reading its answers
	lingerMs  = 250   // after its last word, until it closes
	thinMs    = 20    // idle for so long, its connection may be closed where those that ask are many
	restMs    = 2000  // ...where clients are many
	idleMs    = 60000 // ...and where they are few
)

const (
	maxDropped = 1 << 18 // bytes from a client that has had its last word
	maxLeaving = 16      // such clients
	heldPart   = 8       // of the memory, what waits here for clients or of theirs may take 1 in so many
)

// Why this side closes a client's connection.
const (
	closeLeft     loop.Reason = "front.left"      // it has had its last word and does not close
	closeStuck    loop.Reason = "front.stuck"     // it does not read its answers
	closeSilent   loop.Reason = "front.silent"    // it sends no startup message
	closeIdle     loop.Reason = "front.idle"      // it has asked nothing for long
	closeEvicted  loop.Reason = "front.evicted"   // it makes room for another
	closeMemory   loop.Reason = "front.memory"    // it holds most while all hold too much
	closeEnd      loop.Reason = "front.end"       // the program ends
	closeDrain    loop.Reason = "front.drain"     // it rests while the program drains
	closeProtocol loop.Reason = "front.protocol"  // it sends more after its end than is taken
	closeCancel   loop.Reason = "front.cancel"    // it asked to cancel, which has no answer
	closeLastWord loop.Reason = "front.last_word" // it has had its last word and cannot be given time to close
)

// Budget is what the machine allows.
type Budget struct {
	SpareDescriptors    func() int  // descriptors left for clients, below 0 if there are too many clients
	ActiveClientLimit   func() int  // with more active clients than this, idle ones are closed
	CloseIdleServerConn func() bool // closes an idle connection to a server and reports whether there was one
	MemoryBytes         func() int  // bytes

	MaxRetryAfterMs float64 // longest retry-after that a client may be sent, 0 for none
}

// use ranks clients by what closing their connection would cost.
type use int

const (
	leaving use = iota // they have had their last word
	silent             // their startup message is not whole
	mute               // idle, and have never put a request
	resting            // idle
	halfway            // in the midst of a message
	busy               // never closed to make room
	uses
)

func (s *session) rank() use {
	switch {
	case s.leaving:
		return leaving
	case !s.started:
		return silent
	case s.idle() && !s.asked:
		return mute
	case s.idle():
		return resting
	case len(s.queue) == 0 && s.in.Buffered() > 0:
		return halfway
	}
	return busy
}

// place files a session by its present use.
func (s *session) place() {
	s.count()
	p, now := s.front, s.rank()
	if s.at != nil && (s.closed || now != s.use) {
		p.crowd[s.use].Remove(s.at)
		s.at = nil
	}
	if s.at == nil && !s.closed {
		s.use = now
		s.at = p.crowd[now].PushBack(s)
	}
}

// count brings the sum of what is held up to date.
func (s *session) count() {
	n, open := 0, 0
	if !s.closed {
		n = s.in.Buffered()
		if s.conn != nil {
			n += s.conn.UnsentBytes()
		}
		for _, a := range s.queue {
			n += a.size
			if a.open {
				open += a.size
			}
		}
	}
	s.front.held += n - s.held
	s.front.heldOpen += open - s.open
	s.held, s.open = n, open
}

// aside is what the client holds beside its open requests: what it sends ahead and does not read.
func (s *session) aside() int { return s.held - s.open }

// StartSweeps starts the periodic check of clients' connections. It has to be called on the loop.
func (p *Postgres) StartSweeps() { p.loop.At(p.loop.Now()+sweepMs, p.sweep) }

// sweep ends what clients have held for too long.
func (p *Postgres) sweep() {
	now := p.loop.Now()
	p.sessions.Each(func(_ slots.Ref, s *session) {
		if s.conn == nil {
			return
		}
		s.place() // by now it may have read its answers
		if s.conn.UnsentBytes() == 0 {
			s.stuck = 0
		} else if s.stuck == 0 {
			s.stuck = now
		}
		age := now - s.since
		switch {
		case s.leaving && age >= lingerMs:
			s.close(closeLeft)
		case s.stuck != 0 && now-s.stuck >= stuckMs:
			s.close(closeStuck)
		case s.use == silent && s.conn.UnsentBytes() > 0: // it waits for this side's answer
		case (s.use == silent || s.use == halfway) && !s.conn.NoPendingInput(): // what is to come has come, and is only not read yet
		case s.use == silent && s.in.Buffered() == 0 && age >= startupMs:
			s.close(closeSilent)
		case (s.use == mute || s.use == resting) && age >= idleMs && s.conn.NoPendingInput():
			s.close(closeIdle)
		case s.use == silent && age >= startupMs:
			s.fatal(codeProtocol, "the startup message is not whole in time")
		case s.use == halfway && s.stuck == 0 && age >= messageMs:
			s.fatal(codeProtocol, "the message is not whole in time")
		}
	})
	if p.sessions.Len() > p.budget.ActiveClientLimit() {
		for p.evict(mute, restMs) {
		}
	}
	if p.turned > 0 {
		p.log.Warn("too many clients", "turned_away", p.turned, "sessions", p.sessions.Len())
		p.turned = 0
	}
	p.StartSweeps()
}

// admit tells whether there is a descriptor for a new client, and makes room: first where nobody waits for
// anything, then among connections to servers, then among idle clients, which may connect anew, and those that
// have long been in the midst of a message.
func (p *Postgres) admit(s *session) bool {
	for p.budget.SpareDescriptors() < 0 {
		if !p.evict(leaving, 0) && !p.evict(silent, 0) && !p.evict(mute, 0) && !p.budget.CloseIdleServerConn() &&
			!p.evict(resting, 0) && !p.evict(halfway, sweepMs) {
			p.turned++
			return false
		}
	}
	if p.budget.SpareDescriptors() < p.sessions.Len() && !p.evict(mute, restMs) { // half of them are taken
		p.evict(resting, restMs)
	}
	p.thin()
	return true
}

// FreeDescriptor closes one connection: that of a client that waits for nothing, an idle one to a server, or that of an idle
// client, in this order. It reports whether there was one. It is called when the system has no descriptor left.
func (p *Postgres) FreeDescriptor() bool {
	return p.evict(leaving, 0) || p.evict(silent, 0) || p.evict(mute, 0) || p.budget.CloseIdleServerConn() || p.evict(resting, 0)
}

// thin closes clients' connections that rest, where those that ask are many: clients may open only so many, and
// some keep each for a while after a single request.
func (p *Postgres) thin() {
	for p.crowd[resting].Len()+p.crowd[halfway].Len()+p.crowd[busy].Len() > p.budget.ActiveClientLimit() && p.evict(resting, thinMs) {
	}
}

// evict closes the connection that has been of this use for longest, if that is as long as given; not one whose
// next words have come and are only not read yet.
func (p *Postgres) evict(u use, ms float64) bool {
	for e := p.crowd[u].Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		if p.loop.Now()-s.since < ms {
			return false
		}
		if s.rank() != u { // it is filed anew only after what it is at now
			continue
		}
		if u == leaving || s.conn.NoPendingInput() {
			s.close(closeEvicted)
			return true
		}
	}
	return false
}

// full tells whether open requests hold over half of what clients may, so that no further one is taken.
func (p *Postgres) full() bool { return p.heldOpen > p.budget.MemoryBytes()/heldPart/2 }

// bound cuts off whoever holds most, beside its open requests, while all hold too much together.
func (p *Postgres) bound() {
	for p.held > p.budget.MemoryBytes()/heldPart {
		var most *session
		p.sessions.Each(func(_ slots.Ref, s *session) {
			s.count() // by now it may have read its answers
			if most == nil || s.aside() > most.aside() {
				most = s
			}
		})
		if most == nil || most.aside() == 0 || p.held <= p.budget.MemoryBytes()/heldPart {
			return
		}
		p.log.Warn("a client holds too much", "bytes", most.held)
		most.close(closeMemory)
	}
}
