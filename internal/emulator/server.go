package emulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"beechgrade/internal/pgwire"
)

// Server is an emulated db server, the primary or a replica of one group. It stores no data and runs any number of statements
// at once, without a queue. It answers each statement with a value that is derived from the request's ID.
type Server struct {
	id     string
	role   string
	ledger *Ledger

	mu           sync.Mutex
	addr         string
	listener     net.Listener
	conns        map[net.Conn]*connState
	hungUntil    time.Time // no statement is answered before this time
	slowFactor   float64   // by which the time of work is multiplied; 0 if the server is not slow
	drainKnownAt time.Time // when its drain counts as known to all poolers; zero if it does not drain
}

// connState holds the last attempt on a connection.
type connState struct {
	mu      sync.Mutex
	attempt *Attempt
}

// StartServer starts a server on a free port of the loopback network.
func StartServer(id, role string, ledger *Ledger) (*Server, error) {
	s := &Server{id: id, role: role, ledger: ledger, conns: map[net.Conn]*connState{}}
	return s, s.listen("127.0.0.1:0")
}

func (s *Server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.id, err)
	}
	s.mu.Lock()
	s.listener, s.addr = l, l.Addr().String()
	s.mu.Unlock()
	go s.accept(l)
	return nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		state := &connState{}
		s.mu.Lock()
		s.conns[c] = state
		s.mu.Unlock()
		go s.session(c, state)
	}
}

// session serves one connection until it is closed.
func (s *Server) session(conn net.Conn, state *connState) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		state.mu.Lock()
		s.ledger.EndAttempt(state.attempt)
		state.mu.Unlock()
	}()
	var size [4]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(size[:]))-4); err != nil {
		return
	}
	if _, err := conn.Write(pgwire.AppendStartupReply(nil)); err != nil {
		return
	}
	reader, buf := pgwire.NewReader(1<<18), make([]byte, 1<<14)
	for {
		m, ok, err := reader.Next()
		if err != nil {
			return
		}
		if !ok {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			reader.Feed(buf[:n])
			continue
		}
		sql, err := pgwire.ParseText(m.Body)
		if m.Type != 'Q' || err != nil {
			return
		}
		s.handleStatement(conn, state, sql)
	}
}

// handleStatement starts one statement, whose answer is sent later. The session keeps reading meanwhile, so that it notices
// when the pooler closes the connection.
func (s *Server) handleStatement(conn net.Conn, state *connState, sql string) {
	if sql == "SHOW load" || sql == "SELECT 1" {
		s.schedule(0, func() { _, _ = conn.Write(s.loadReport()) })
		return
	}
	stmt, err := pgwire.ParseStatement(sql)
	if err != nil {
		s.ledger.AddViolation(RuleWrong, "server %s received %.80q: %v", s.id, sql, err)
		return
	}
	rejected := stmt.IsWrite && s.role != rolePrimary
	attempt := s.ledger.BeginAttempt(stmt.ID, s.id, time.Duration(stmt.TimeoutMs)*time.Millisecond, rejected)
	if attempt == nil {
		return
	}
	s.checkDrain(attempt)
	state.mu.Lock()
	state.attempt = attempt
	state.mu.Unlock()
	work := time.Duration(rand.ExpFloat64() * float64(attempt.request.Class.MeanWork))
	if rejected {
		work = 0
	}
	s.schedule(work, func() {
		s.ledger.EndAttempt(attempt) // before the answer, since the pooler may send the next attempt at once
		_, _ = conn.Write(s.answer(stmt.ID, rejected))
	})
}

// checkDrain checks that the attempt did not arrive more than drainGrace after the time at which the server's drain counts as
// known.
func (s *Server) checkDrain(attempt *Attempt) {
	s.mu.Lock()
	drainKnownAt := s.drainKnownAt
	s.mu.Unlock()
	if drainKnownAt.IsZero() || !attempt.arrived.After(drainKnownAt.Add(drainGrace+timingTolerance)) {
		return
	}
	if s.ledger.WasImpaired(attempt.request.Pooler, drainKnownAt.Add(-propagationTime), attempt.arrived) {
		return // the pooler may have been unable to read the change
	}
	s.ledger.AddViolation(RuleDrain, "%s of %s at %s: to %s, %v after its drain counts as known", attempt.request.ID,
		attempt.request.Class.Name, attempt.request.Pooler, s.id, attempt.arrived.Sub(drainKnownAt))
}

// schedule runs f after the given time of work, and not while the server hangs.
func (s *Server) schedule(work time.Duration, f func()) {
	s.mu.Lock()
	if s.slowFactor > 0 {
		work = time.Duration(float64(work) * s.slowFactor)
	}
	if hang := time.Until(s.hungUntil); hang > work {
		work = hang
	}
	s.mu.Unlock()
	time.AfterFunc(work, func() {
		s.mu.Lock()
		hung := time.Now().Before(s.hungUntil)
		s.mu.Unlock()
		if hung {
			s.schedule(0, f)
			return
		}
		f()
	})
}

// expectedValue returns the value with which the request of that ID has to be served.
func expectedValue(id string) []byte { return []byte("made for " + id) }

const rolePrimary, roleReplica = "primary", "replica"

// codeNotPrimary is the SQLSTATE code with which a replica rejects a write.
const codeNotPrimary = "25006"

func (s *Server) answer(id string, rejected bool) []byte {
	now := time.Now().UnixMilli()
	var b []byte
	if rejected {
		b = pgwire.AppendError(nil, "ERROR", codeNotPrimary, "this is no primary", "")
	} else {
		b = pgwire.AppendComplete(pgwire.AppendRow(nil, "content", expectedValue(id)), "SELECT 1")
	}
	b = pgwire.AppendParameter(b, "role", s.role)
	b = pgwire.AppendParameter(b, "applied_ms", fmt.Sprint(now))
	return pgwire.AppendReady(b)
}

// loadReport returns the answer to a probe.
func (s *Server) loadReport() []byte {
	now, primary := time.Now().UnixMilli(), 0
	if s.role == rolePrimary {
		primary = 1
	}
	text := fmt.Appendf(nil, "x0=%d.%03d,x1=%d", now/1000, now%1000, primary)
	return pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", text), "SHOW"))
}

// Hang makes the server answer no statement for the duration d. It still accepts connections and reads what arrives.
func (s *Server) Hang(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hungUntil = time.Now().Add(d)
}

// Slow multiplies the time of work by a factor for the duration d.
func (s *Server) Slow(factor float64, d time.Duration) {
	s.mu.Lock()
	s.slowFactor = factor
	s.mu.Unlock()
	time.AfterFunc(d, func() {
		s.mu.Lock()
		s.slowFactor = 0
		s.mu.Unlock()
	})
}

// Reset resets each connection with the probability share. With onlyIdle it leaves out those with an attempt in flight.
func (s *Server) Reset(share float64, onlyIdle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		state.mu.Lock()
		busy := s.ledger.InFlight(state.attempt)
		state.mu.Unlock()
		if onlyIdle && busy || rand.Float64() >= share {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Crash resets all connections and refuses new ones for the duration d.
func (s *Server) Crash(d time.Duration) {
	s.mu.Lock()
	l, addr := s.listener, s.addr
	s.mu.Unlock()
	_ = l.Close()
	s.Reset(1, false)
	time.AfterFunc(d, func() { s.relisten(addr) })
}

// relisten listens at the old address again as soon as it is free. It gives up after 100 tries.
func (s *Server) relisten(addr string) {
	for range 100 {
		if s.listen(addr) == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// MarkDraining records the time from which on the server's drain counts as known to all poolers.
func (s *Server) MarkDraining(knownAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainKnownAt = knownAt
}

// Stop closes the listener and resets all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	_ = l.Close()
	s.Reset(1, false)
}

// Draining reports whether MarkDraining was called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drainKnownAt.IsZero()
}
